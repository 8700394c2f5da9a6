package fabric

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// connQueue is the number of received packets that an inner endpoint holds.
const connQueueCapacity = 1024

type receivedPacket struct {
	from    *net.UDPAddr
	payload []byte
}

// Conn is an inner UDP endpoint. It implements net.PacketConn.
type Conn struct {
	attachment *Attachment
	local      protocol.Endpoint
	queue      chan receivedPacket
	closed     chan struct{}
	closeOnce  sync.Once

	// Packets counts the packets received.
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

// Refused is closed when a port unreachable message arrived before any other packet.
func (c *Conn) Refused() <-chan struct{} { return c.refused }

// refuse notes a port unreachable message about this endpoint's flow.
func (c *Conn) handleUnreachable() {
	if c.packetsReceived.Load() == 0 {
		c.refusedOnce.Do(func() { close(c.refused) })
	}
}

// push queues a packet and reports whether there was room.
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

// WriteTo implements net.PacketConn.
func (c *Conn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	remote := protocol.NewEndpoint(to.(*net.UDPAddr).AddrPort())
	// A real network loses packets without an error too.
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

// SetDeadline implements net.PacketConn. Writes never wait.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. Writes never wait.
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

// SetReadBuffer tells QUIC that it need not look for a socket buffer: the
// attachment has sized the one socket that all inner endpoints share.
func (c *Conn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, as SetReadBuffer.
func (c *Conn) SetWriteBuffer(int) error { return nil }
