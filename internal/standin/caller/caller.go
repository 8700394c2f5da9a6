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
	firstPort = 10000
	// dialTimeout bounds the handshake.
	dialTimeout = 10 * time.Second
	// busyIdleTimeout is how long a connection with keepalives survives silence.
	busyIdleTimeout = 15 * time.Second
	// idleTimeout is how long a connection without keepalives survives silence.
	idleTimeout = 2 * time.Minute
	keepalive   = 500 * time.Millisecond
	// defaultAnswerTimeout bounds the wait for one answer.
	defaultAnswerTimeout = 20 * time.Second
)

// Options are the parameters of a caller.
type Options struct {
	// Address is the inner address of the caller.
	Address netip.Addr
	Service string
	// Endpoint is the address and port of the service.
	Endpoint netip.AddrPort
	// Prefix starts each request id, so that ids of several callers differ.
	Prefix string
	// AnswerTimeout bounds the wait for one answer; 0 is 20 s.
	AnswerTimeout time.Duration
}

// Caller sends requests and holds feeds. It is safe for concurrent use.
type Caller struct {
	options    Options
	attachment *fabric.Attachment

	mu     sync.Mutex
	next   uint64
	report Report
}

// New returns a caller on an attachment.
func New(attachment *fabric.Attachment, o Options) *Caller {
	if o.AnswerTimeout == 0 {
		o.AnswerTimeout = defaultAnswerTimeout
	}
	return &Caller{options: o, attachment: attachment, report: newReport(o.Service)}
}

// flow is one open connection to the service.
type flow struct {
	conn      *fabric.Conn
	transport *quic.Transport
	quic      *quic.Conn
}

// close ends the flow. It tells the target, unless the connection is already lost.
func (f *flow) close() {
	if f.quic != nil {
		_ = f.quic.CloseWithError(exchange.CodeDone, "done")
	}
	_ = f.transport.Close()
	f.conn.Close()
}

// errNotRun means that the flow was refused before any packet from the server arrived.
var errNotRun = errors.New("refused before any packet from the server")

// number returns the next flow number, from 1.
func (c *Caller) number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

func (c *Caller) id(number uint64) string {
	return fmt.Sprintf("%s-%d", c.options.Prefix, number)
}

// open opens a connection. idle connections send no keepalives.
func (c *Caller) open(ctx context.Context, number uint64, idle bool) (*flow, error) {
	port := uint16(firstPort + number%(1<<16-firstPort))
	local := protocol.NewEndpoint(netip.AddrPortFrom(c.options.Address, port))
	conn, err := c.attachment.Listen(local)
	if err != nil {
		return nil, err
	}
	f := &flow{conn: conn, transport: &quic.Transport{Conn: conn, ConnectionIDLength: 8}}
	dialing, cancel := context.WithTimeoutCause(ctx, dialTimeout, errors.New("no answer to the opener"))
	defer cancel()
	refused, refuse := context.WithCancelCause(dialing)
	defer refuse(nil)
	go func() {
		select {
		case <-conn.Refused():
			refuse(errNotRun)
		case <-refused.Done():
		}
	}()
	f.quic, err = f.transport.Dial(refused, net.UDPAddrFromAddrPort(c.options.Endpoint), clientTLS(), clientConfig(idle))
	if err != nil {
		f.close()
		if cause := context.Cause(refused); cause != nil {
			err = cause
		}
		return nil, err
	}
	return f, nil
}

func clientTLS() *tls.Config {
	// The stand-in targets have self-signed certificates.
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{exchange.ALPN}, MinVersion: tls.VersionTLS13}
}

func clientConfig(idle bool) *quic.Config {
	if idle {
		return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout}
	}
	return &quic.Config{MaxIdleTimeout: busyIdleTimeout, HandshakeIdleTimeout: dialTimeout, KeepAlivePeriod: keepalive}
}

// isShed reports whether the target refused the connection at its limit.
func isShed(err error) bool {
	var refused *quic.TransportError
	return errors.As(err, &refused) && refused.ErrorCode == quic.ConnectionRefused
}

// Report returns the counts so far.
func (c *Caller) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report.clone()
}

func (c *Caller) add(change func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}
