// Package caller is a stand-in for the callers of a service. It opens QUIC
// connections through the fabric, sends requests or keeps feeds open, and checks
// that each response is complete, belongs to the request and comes from the
// requested service.
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
	// firstSourcePort is the lowest inner source port. Each flow has its own port.
	firstSourcePort = 10000
	// dialTimeout limits the QUIC handshake.
	dialTimeout = 10 * time.Second
	// activeFlowIdleTimeout is the idle timeout of connections that send keepalives.
	activeFlowIdleTimeout = 15 * time.Second
	// idleFlowIdleTimeout is the idle timeout of connections that send no keepalives.
	idleFlowIdleTimeout = 2 * time.Minute
	keepaliveInterval   = 500 * time.Millisecond
	// defaultResponseTimeout limits the wait for one response or echo.
	defaultResponseTimeout = 20 * time.Second
)

// Options are the parameters of a caller.
type Options struct {
	// Address is the inner address of the caller.
	Address netip.Addr
	Service string
	// Endpoint is the inner address and port of the service.
	Endpoint netip.AddrPort
	// RequestIDPrefix is the start of each request ID. It keeps the IDs of several callers distinct.
	RequestIDPrefix string
	// ResponseTimeout limits the wait for one response or echo; 0 means 20 s.
	ResponseTimeout time.Duration
}

// Caller sends requests and opens feeds. It is safe for concurrent use.
type Caller struct {
	options    Options
	attachment *fabric.Attachment

	mu             sync.Mutex
	lastFlowNumber uint64
	report         Report
}

// New returns a caller that sends through the attachment.
func New(attachment *fabric.Attachment, options Options) *Caller {
	if options.ResponseTimeout == 0 {
		options.ResponseTimeout = defaultResponseTimeout
	}
	return &Caller{options: options, attachment: attachment, report: newReport(options.Service)}
}

// flow is one QUIC connection to the service, with its own inner UDP endpoint.
type flow struct {
	packetConn *fabric.Conn
	transport  *quic.Transport
	quicConn   *quic.Conn
}

// close closes the flow. It sends a CONNECTION_CLOSE frame to the target, unless the
// connection is already lost.
func (f *flow) close() {
	if f.quicConn != nil {
		_ = f.quicConn.CloseWithError(exchange.CodeNoError, "done")
	}
	_ = f.transport.Close()
	f.packetConn.Close()
}

// errRefused means that the flow was refused: an ICMP port unreachable message arrived
// before any packet from the server.
var errRefused = errors.New("flow refused before any packet from the server arrived")

// nextFlowNumber returns the number of a new flow. Numbers start at 1.
func (c *Caller) nextFlowNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFlowNumber++
	return c.lastFlowNumber
}

func (c *Caller) requestID(number uint64) string {
	return fmt.Sprintf("%s-%d", c.options.RequestIDPrefix, number)
}

// open opens a connection. An idle connection sends no keepalives.
func (c *Caller) open(ctx context.Context, number uint64, idle bool) (*flow, error) {
	port := uint16(firstSourcePort + number%(1<<16-firstSourcePort))
	local := protocol.NewEndpoint(netip.AddrPortFrom(c.options.Address, port))
	conn, err := c.attachment.Listen(local)
	if err != nil {
		return nil, err
	}
	f := &flow{packetConn: conn, transport: &quic.Transport{Conn: conn, ConnectionIDLength: 8}}
	timeoutCtx, cancel := context.WithTimeoutCause(ctx, dialTimeout, errors.New("no response to the opener within the dial timeout"))
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
	// The target stand-ins use self-signed certificates.
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{exchange.ALPN}, MinVersion: tls.VersionTLS13}
}

func clientQUICConfig(idle bool) *quic.Config {
	if idle {
		return &quic.Config{MaxIdleTimeout: idleFlowIdleTimeout, HandshakeIdleTimeout: dialTimeout}
	}
	return &quic.Config{MaxIdleTimeout: activeFlowIdleTimeout, HandshakeIdleTimeout: dialTimeout, KeepAlivePeriod: keepaliveInterval}
}

// isConnectionRefused reports whether the target refused the connection with
// CONNECTION_REFUSED, which it does at its connection limit.
func isConnectionRefused(err error) bool {
	var transportErr *quic.TransportError
	return errors.As(err, &transportErr) && transportErr.ErrorCode == quic.ConnectionRefused
}

// Report returns a copy of the counts up to now.
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
