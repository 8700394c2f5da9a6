package fabric

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// connQueueCapacity is the maximum number of packets in the receive queue of an inner
// endpoint.
const connQueueCapacity = 1024

type receivedPacket struct {
	from    *net.UDPAddr
	payload []byte
}

// Conn is a net.PacketConn for an inner UDP endpoint.
type Conn struct {
	attachment *Attachment
	local      protocol.Endpoint
	queue      chan receivedPacket
	closed     chan struct{}
	closeOnce  sync.Once

	// packetsReceived includes packets that were dropped because the queue was full. It
	// excludes port unreachable messages.
	packetsReceived atomic.Uint64
	refused         chan struct{}
	refusedOnce     sync.Once

	mu              sync.Mutex
	deadlineExpired chan struct{}
	deadlineTimer   *time.Timer
}

var _ net.PacketConn = (*Conn)(nil)

func newConn(a *Attachment, local protocol.Endpoint) *Conn {
	return &Conn{
		attachment:      a,
		local:           local,
		queue:           make(chan receivedPacket, connQueueCapacity),
		closed:          make(chan struct{}),
		refused:         make(chan struct{}),
		deadlineExpired: make(chan struct{}),
	}
}

// Refused returns a channel that is closed when an ICMP port unreachable message arrives
// before any other packet, which means that the connection was refused.
func (c *Conn) Refused() <-chan struct{} { return c.refused }

// handleUnreachable processes an ICMP port unreachable message for a flow of this endpoint.
func (c *Conn) handleUnreachable() {
	if c.packetsReceived.Load() == 0 {
		c.refusedOnce.Do(func() { close(c.refused) })
	}
}

// enqueue adds a packet to the receive queue. It returns false if the queue is full.
func (c *Conn) enqueue(from protocol.Endpoint, payload []byte) bool {
	c.packetsReceived.Add(1)
	select {
	case c.queue <- receivedPacket{from: net.UDPAddrFromAddrPort(from.AddrPort()), payload: payload}:
		return true
	default:
		return false
	}
}

// ReadFrom implements net.PacketConn.
func (c *Conn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.mu.Lock()
	expired := c.deadlineExpired
	c.mu.Unlock()
	select {
	case packet := <-c.queue:
		return copy(b, packet.payload), packet.from, nil
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. It returns no error if the packet could not be sent.
func (c *Conn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	remote := protocol.NewEndpoint(to.(*net.UDPAddr).AddrPort())
	// A network also loses packets without reporting an error.
	_ = c.attachment.send(c.local, remote, b)
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.attachment.removeConn(c.local)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *Conn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.local.AddrPort()) }

// SetDeadline implements net.PacketConn. It sets only the read deadline because writes do
// not block.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. It does nothing because writes do not block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlineTimer != nil && !c.deadlineTimer.Stop() || c.isDeadlineExpired() {
		c.deadlineExpired = make(chan struct{})
	}
	c.deadlineTimer = nil
	if t.IsZero() {
		return nil
	}
	expired := c.deadlineExpired
	if wait := time.Until(t); wait > 0 {
		c.deadlineTimer = time.AfterFunc(wait, func() { close(expired) })
		return nil
	}
	close(expired)
	return nil
}

func (c *Conn) isDeadlineExpired() bool {
	select {
	case <-c.deadlineExpired:
		return true
	default:
		return false
	}
}

// SetReadBuffer does nothing. quic-go calls it to enlarge the socket's receive buffer, but the
// attachment has already set the size for the socket that all inner endpoints share.
func (c *Conn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, for the same reason as SetReadBuffer.
func (c *Conn) SetWriteBuffer(int) error { return nil }
