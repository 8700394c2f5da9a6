package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	openRetry = 500 * time.Millisecond
	openTries = 8
	sendRetry = 400 * time.Millisecond
	sendTries = 20
	// firstCallerPort leaves the well-known ports out.
	firstCallerPort = 10000
	portsPerCaller  = 50000
)

// connection is the caller's side of one connection attempt.
type connection struct {
	net       *network
	endpoint  protocol.Endpoint
	service   protocol.Endpoint
	transport uint8
	tag       uint32
	hostTag   uint32
	// feed is a long stream; otherwise the connection carries one request.
	feed     bool
	idle     bool
	interval time.Duration
	work     time.Duration

	established bool
	answered    bool
	closed      bool
	broken      bool
	notRun      bool
	ran         int
	keepAlive   int
	keepAcked   int
}

// newConnection makes a connection of a new caller endpoint to a service.
func (n *network) newConnection(service string) *connection {
	number := len(n.callers)
	address := 0xc6120000 + uint32(number/portsPerCaller) // 198.18.0.0/15, for benchmarks (RFC 2544)
	c := &connection{
		net: n,
		endpoint: protocol.Endpoint{
			IP:   [4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), byte(address)},
			Port: uint16(firstCallerPort + number%portsPerCaller),
		},
		service:   n.service[service],
		transport: protocol.TransportUDP,
		tag:       n.random.Uint32(),
	}
	if n.tcp[c.service] {
		c.transport = protocol.TransportTCP
	}
	n.callers[c.endpoint] = c
	return c
}

// startRequest opens a connection that carries one request of the given work.
func (n *network) startRequest(service string, work time.Duration) *connection {
	c := n.newConnection(service)
	c.work = work
	c.open(0)
	return c
}

// startFeed opens a long stream. An idle feed sends only keep-alives.
func (n *network) startFeed(service string, interval time.Duration, idle bool) *connection {
	c := n.newConnection(service)
	c.feed, c.interval, c.idle = true, interval, idle
	c.open(0)
	return c
}

func (c *connection) open(tries int) {
	if c.established || c.closed || c.broken {
		return
	}
	if tries > openTries {
		c.fail()
		return
	}
	c.send(protocol.KindOpener, contentNone, 0)
	c.net.after(openRetry<<min(tries, 2), func() { c.open(tries + 1) })
}

// send sends a segment to the service.
func (c *connection) send(kind protocol.Kind, what content, sequence int) {
	p := protocol.Packet{
		Source: c.endpoint, Destination: c.service, Transport: c.transport, Kind: kind,
		Tag: c.hostTag, HasTag: true, PayloadBytes: 60,
	}
	if kind == protocol.KindOpener {
		p.Tag = c.tag
		p.SourceTag = c.tag + 1
	}
	c.net.send(segment{packet: p, connection: c, content: what, sequence: sequence})
}

func (c *connection) receive(s segment) {
	if s.connection != c || c.closed || c.broken {
		return
	}
	if s.packet.Kind == protocol.KindReset {
		// A stack accepts a reset only for the connection that it has.
		if c.established && s.packet.Tag == c.hostTag {
			c.fail()
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
		c.keepAcked = max(c.keepAcked, s.sequence)
	}
}

// establish takes the first answer to the opener; later answers of other hosts are ignored.
func (c *connection) establish(s segment) {
	if s.packet.Kind != protocol.KindSYNACK && s.packet.Kind != protocol.KindOpener {
		return
	}
	c.established = true
	c.hostTag = s.packet.SourceTag
	if c.transport == protocol.TransportTCP {
		c.hostTag = s.packet.Tag
	}
	confirm := protocol.KindHandshake
	if c.transport == protocol.TransportTCP {
		confirm = protocol.KindData
	}
	c.send(confirm, contentNone, 0)
	if c.feed {
		c.beginFeed()
		return
	}
	c.net.after(c.net.within(0, time.Millisecond), func() { c.request(0) })
}

func (c *connection) request(tries int) {
	if c.answered || c.broken {
		return
	}
	if tries > sendTries {
		c.fail()
		return
	}
	c.send(protocol.KindData, contentRequest, 0)
	// A host that queues the request answers late, so the wait grows.
	c.net.after(sendRetry<<min(tries, 4), func() { c.request(tries + 1) })
}

// finish closes a connection whose whole response has arrived.
func (c *connection) finish() {
	c.answered = true
	c.closed = true
	kind := protocol.KindData // QUIC hides its close
	if c.transport == protocol.TransportTCP {
		kind = protocol.KindFIN
	}
	c.send(kind, contentClose, 0)
}

func (c *connection) beginFeed() {
	if c.idle {
		c.net.after(c.net.within(0, c.interval), func() { c.sendKeepAlive(0) })
		return
	}
	// Repeats the confirmation until the first update would have started.
	c.net.after(openRetry, func() { c.send(protocol.KindData, contentNone, 0) })
	c.net.after(2*openRetry, func() { c.send(protocol.KindData, contentNone, 0) })
}

// sendKeepAlive repeats the present keep-alive until it is acknowledged, then waits for the next.
func (c *connection) sendKeepAlive(tries int) {
	switch {
	case c.broken:
		return
	case c.keepAcked > c.keepAlive:
		panic("experiment: acknowledgement of a keep-alive that was not sent")
	case tries > 0 && c.keepAcked == c.keepAlive:
		c.net.after(c.interval, func() { c.sendKeepAlive(0) })
		return
	case tries > sendTries:
		c.fail()
		return
	case tries == 0:
		c.keepAlive++
	}
	c.send(protocol.KindData, contentKeepAlive, c.keepAlive)
	c.net.after(sendRetry, func() { c.sendKeepAlive(tries + 1) })
}

func (c *connection) refused() {
	if !c.established {
		c.notRun = true
		c.closed = true
	}
}

func (c *connection) fail() {
	if !c.closed {
		c.broken = true
	}
}
