package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	openRetryDelay = 500 * time.Millisecond
	maxOpenRetries = 8
	sendRetryDelay = 400 * time.Millisecond
	maxSendRetries = 20
	// firstCallerPort is above the well-known ports.
	firstCallerPort       = 10000
	portsPerCallerAddress = 50000
)

// connection is the caller's side of one connection, including its handshake.
type connection struct {
	net       *network
	endpoint  protocol.Endpoint
	service   protocol.Endpoint
	transport uint8
	// tag and hostTag identify the connection in packets to the caller and to the host; see
	// protocol.Packet.
	tag     uint32
	hostTag uint32
	// isFeed is set for a long-lived feed; otherwise the connection carries one request.
	isFeed          bool
	idle            bool
	interval        time.Duration
	requestDuration time.Duration

	established      bool
	answered         bool
	closed           bool
	broken           bool
	wasRefused       bool
	runCount         int
	lastKeepAlive    int
	lastKeepAliveAck int
}

// newConnection returns a connection from an unused caller endpoint to a service.
func (n *network) newConnection(service string) *connection {
	index := len(n.callers)
	address := 0xc6120000 + uint32(index/portsPerCallerAddress) // 198.18.0.0/15, for benchmarks (RFC 2544)
	c := &connection{
		net: n,
		endpoint: protocol.Endpoint{
			IP:   [4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), byte(address)},
			Port: uint16(firstCallerPort + index%portsPerCallerAddress),
		},
		service:   n.serviceEndpoints[service],
		transport: protocol.TransportUDP,
		tag:       n.random.Uint32(),
	}
	if n.isTCP[c.service] {
		c.transport = protocol.TransportTCP
	}
	n.callers[c.endpoint] = c
	return c
}

// startRequest opens a connection for one request that holds a slot for the given duration.
func (n *network) startRequest(service string, duration time.Duration) *connection {
	c := n.newConnection(service)
	c.requestDuration = duration
	c.sendOpener(0)
	return c
}

// startFeed opens a long-lived feed. An idle feed carries only keep-alives of the
// caller, one in each interval. For an active feed, the interval is the mean time
// between an acknowledged update and the next.
func (n *network) startFeed(service string, interval time.Duration, idle bool) *connection {
	c := n.newConnection(service)
	c.isFeed, c.interval, c.idle = true, interval, idle
	c.sendOpener(0)
	return c
}

func (c *connection) sendOpener(retries int) {
	if c.established || c.closed || c.broken {
		return
	}
	if retries > maxOpenRetries {
		c.markBroken()
		return
	}
	c.send(protocol.KindOpener, contentNone, 0)
	c.net.after(openRetryDelay<<min(retries, 2), func() { c.sendOpener(retries + 1) })
}

// send sends a segment to the service.
func (c *connection) send(kind protocol.Kind, content contentKind, sequence int) {
	p := protocol.Packet{
		Source: c.endpoint, Destination: c.service, Transport: c.transport, Kind: kind,
		Tag: c.hostTag, HasTag: true, PayloadBytes: 60,
	}
	if kind == protocol.KindOpener {
		p.Tag = c.tag
		p.SourceTag = c.tag + 1
	}
	c.net.send(segment{packet: p, connection: c, content: content, sequence: sequence})
}

func (c *connection) receive(s segment) {
	if s.connection != c || c.closed || c.broken {
		return
	}
	if s.packet.Kind == protocol.KindReset {
		// A TCP stack accepts a reset only for an existing connection with a matching sequence number.
		if c.established && s.packet.Tag == c.hostTag {
			c.markBroken()
		}
		return
	}
	if !c.established {
		c.establish(s)
		return
	}
	switch s.content {
	case contentResponse:
		c.finish()
	case contentUpdate:
		c.send(protocol.KindData, contentUpdateAck, s.sequence)
	case contentKeepAliveAck:
		c.lastKeepAliveAck = max(c.lastKeepAliveAck, s.sequence)
	}
}

// establish completes the handshake with the first answer to the opener. Later
// answers from other hosts are ignored.
func (c *connection) establish(s segment) {
	if s.packet.Kind != protocol.KindSYNACK && s.packet.Kind != protocol.KindOpener {
		return
	}
	c.established = true
	c.hostTag = s.packet.SourceTag
	if c.transport == protocol.TransportTCP {
		c.hostTag = s.packet.Tag
	}
	confirmationKind := protocol.KindHandshake
	if c.transport == protocol.TransportTCP {
		confirmationKind = protocol.KindData
	}
	c.send(confirmationKind, contentNone, 0)
	if c.isFeed {
		c.startFeedTraffic()
		return
	}
	c.net.after(c.net.uniform(0, time.Millisecond), func() { c.sendRequest(0) })
}

func (c *connection) sendRequest(retries int) {
	if c.answered || c.broken {
		return
	}
	if retries > maxSendRetries {
		c.markBroken()
		return
	}
	c.send(protocol.KindData, contentRequest, 0)
	// A host that queues the request answers late, so the retry delay grows exponentially.
	c.net.after(sendRetryDelay<<min(retries, 4), func() { c.sendRequest(retries + 1) })
}

// finish closes the connection after the complete response has arrived.
func (c *connection) finish() {
	c.answered = true
	c.closed = true
	kind := protocol.KindData // QUIC encrypts its close
	if c.transport == protocol.TransportTCP {
		kind = protocol.KindFIN
	}
	c.send(kind, contentClose, 0)
}

func (c *connection) startFeedTraffic() {
	if c.idle {
		c.net.after(c.net.uniform(0, c.interval), func() { c.sendKeepAlive(0) })
		return
	}
	// Sends the handshake confirmation twice more, in case the first one was lost: the
	// host starts to send updates only when a confirmation arrives.
	c.net.after(openRetryDelay, func() { c.send(protocol.KindData, contentNone, 0) })
	c.net.after(2*openRetryDelay, func() { c.send(protocol.KindData, contentNone, 0) })
}

// sendKeepAlive retransmits the current keep-alive until it is acknowledged, and
// sends the next one after the interval.
func (c *connection) sendKeepAlive(retries int) {
	switch {
	case c.broken:
		return
	case c.lastKeepAliveAck > c.lastKeepAlive:
		panic("experiment: acknowledgement of a keep-alive that was not sent")
	case retries > 0 && c.lastKeepAliveAck == c.lastKeepAlive:
		c.net.after(c.interval, func() { c.sendKeepAlive(0) })
		return
	case retries > maxSendRetries:
		c.markBroken()
		return
	case retries == 0:
		c.lastKeepAlive++
	}
	c.send(protocol.KindData, contentKeepAlive, c.lastKeepAlive)
	c.net.after(sendRetryDelay, func() { c.sendKeepAlive(retries + 1) })
}

func (c *connection) handleRefusal() {
	if !c.established {
		c.wasRefused = true
		c.closed = true
	}
}

func (c *connection) markBroken() {
	if !c.closed {
		c.broken = true
	}
}
