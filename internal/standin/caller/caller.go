// Package caller is a stand-in for the callers of a service: it opens QUIC
// connections through the fabric, sends requests or holds feeds, and checks that
// each answer is complete, its own and from the right service.
package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
)

const (
	// firstPort is the inner port of the first flow. Each flow has its own port.
	firstSourcePort = 10000
	// dialTimeout bounds the handshake.
	dialTimeout = 10 * time.Second
	// busyIdleTimeout is how long a connection with keepalives survives silence.
	activeFlowIdleTimeout = 15 * time.Second
	// idleTimeout is how long a connection without keepalives survives silence.
	idleFlowIdleTimeout = 2 * time.Minute
	keepaliveInterval   = 500 * time.Millisecond
	// defaultAnswerTimeout bounds the wait for one answer.
	defaultResponseTimeout = 20 * time.Second
)

// Options are the parameters of a caller.
type Options struct {
	// Address is the inner address of the caller.
	Address netip.Addr
	Service string
	// Endpoint is the address and port of the service.
	Endpoint netip.AddrPort
	// Prefix starts each request id, so that ids of several callers differ.
	RequestIDPrefix string
	// AnswerTimeout bounds the wait for one answer; 0 is 20 s.
	ResponseTimeout time.Duration
}

// Caller sends requests and holds feeds. It is safe for concurrent use.
type Caller struct {
	options    Options
	attachment *fabric.Attachment

	mu             sync.Mutex
	lastFlowNumber uint64
	report         Report
}

// New returns a caller on an attachment.
func New(attachment *fabric.Attachment, options Options) *Caller {
	if options.ResponseTimeout == 0 {
		options.ResponseTimeout = defaultResponseTimeout
	}
	return &Caller{options: options, attachment: attachment, report: newReport(options.Service)}
}

// flow is one open connection to the service.
type flow struct {
	packetConn *fabric.Conn
	transport  *quic.Transport
	quicConn   *quic.Conn
}

// close ends the flow. It tells the target, unless the connection is already lost.
func (f *flow) close() {
	if f.quicConn != nil {
		_ = f.quicConn.CloseWithError(exchange.CodeNoError, "done")
	}
	_ = f.transport.Close()
	f.packetConn.Close()
}

// errNotRun means that the flow was refused before any packet from the server arrived.
var errRefused = errors.New("refused before any packet from the server")

// number returns the next flow number, from 1.
func (c *Caller) nextFlowNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFlowNumber++
	return c.lastFlowNumber
}

func (c *Caller) requestID(number uint64) string {
	return fmt.Sprintf("%s-%d", c.options.RequestIDPrefix, number)
}

// open opens a connection. idle connections send no keepalives.
func (c *Caller) open(ctx context.Context, number uint64, idle bool) (*flow, error) {
	port := uint16(firstSourcePort + number%(1<<16-firstSourcePort))
	local := protocol.NewEndpoint(netip.AddrPortFrom(c.options.Address, port))
	conn, err := c.attachment.Listen(local)
	if err != nil {
		return nil, err
	}
	f := &flow{packetConn: conn, transport: &quic.Transport{Conn: conn, ConnectionIDLength: 8}}
	timeoutCtx, cancel := context.WithTimeoutCause(ctx, dialTimeout, errors.New("no answer to the opener"))
	defer cancel()
	dialCtx, cancelDial := context.WithCancelCause(timeoutCtx)
	defer cancelDial(nil)
	go func() {
		select {
		case <-conn.Refused():
			cancelDial(errRefused)
		case <-dialCtx.Done():
		}
	}()
	f.quicConn, err = f.transport.Dial(dialCtx, net.UDPAddrFromAddrPort(c.options.Endpoint), clientTLSConfig(), clientQUICConfig(idle))
	if err != nil {
		f.close()
		if cause := context.Cause(dialCtx); cause != nil {
			err = cause
		}
		return nil, err
	}
	return f, nil
}

func clientTLSConfig() *tls.Config {
	// The stand-in targets have self-signed certificates.
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{exchange.ALPN}, MinVersion: tls.VersionTLS13}
}

func clientQUICConfig(idle bool) *quic.Config {
	if idle {
		return &quic.Config{MaxIdleTimeout: idleFlowIdleTimeout, HandshakeIdleTimeout: dialTimeout}
	}
	return &quic.Config{MaxIdleTimeout: activeFlowIdleTimeout, HandshakeIdleTimeout: dialTimeout, KeepAlivePeriod: keepaliveInterval}
}

// isShed reports whether the target refused the connection at its limit.
func isConnectionRefused(err error) bool {
	var transportErr *quic.TransportError
	return errors.As(err, &transportErr) && transportErr.ErrorCode == quic.ConnectionRefused
}

// Report returns the counts so far.
func (c *Caller) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report.clone()
}

func (c *Caller) updateReport(update func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.report)
}
