package coordination

import (
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// fakeConn is one connection at a fake target.
type fakeConn struct {
	openerTag, answerTag uint32
	established          bool
	// executed holds the requests that ran. A retransmitted request does not run
	// again but gets its response again.
	executed map[int]bool
	// earlier is an older connection on the same flow. QUIC targets distinguish the
	// connections by their IDs.
	earlier *fakeConn
}

// findConn returns the latest connection that matches, or the latest of all if none does.
func (conn *fakeConn) findConn(matches func(*fakeConn) bool) *fakeConn {
	for x := conn; x != nil; x = x.earlier {
		if matches(x) {
			return x
		}
	}
	return conn
}

// fakeTarget is a target that answers openers, runs requests and resets packets
// that belong to no connection.
type fakeTarget struct {
	f             *fleet
	endpoint      protocol.Endpoint
	service       protocol.Endpoint
	place         string
	quic          bool
	dead          bool
	resetsOpeners bool
	// unansweredShare is the fraction of openers that stay unanswered.
	unansweredShare float64
	conns           map[protocol.FlowKey]*fakeConn
}

func newFakeTarget(f *fleet, t *state.Target) *fakeTarget {
	return &fakeTarget{
		f: f, endpoint: t.Endpoint, service: t.Service.Address.Endpoint, place: t.Place,
		quic:  t.Service.Protocol != objects.ProtocolTCP,
		conns: make(map[protocol.FlowKey]*fakeConn),
	}
}

func (t *fakeTarget) send(key protocol.FlowKey, kind protocol.Kind, tag, sourceTag uint32, requestID int) {
	t.sendMessage(key, message{packet: protocol.Packet{Kind: kind, Tag: tag, HasTag: true, SourceTag: sourceTag}, requestID: requestID})
}

func (t *fakeTarget) sendMessage(key protocol.FlowKey, m message) {
	m.packet.Source, m.packet.Destination, m.packet.Transport = t.endpoint, key.Caller, key.Transport
	if m.requestID > 0 {
		m.packet.PayloadBytes = 500
	}
	if conn := t.conns[key]; conn != nil && !t.quic && m.packet.SourceTag == 0 && m.packet.Kind != protocol.KindReset {
		m.packet.SourceTag = conn.answerTag // the sequence number
	}
	t.f.send(t.place, m)
}

// reset answers a TCP packet with a reset. The sequence number of the reset is the
// acknowledgement number of the packet, if there is one. QUIC targets send none.
func (t *fakeTarget) reset(key protocol.FlowKey, tag, sequence uint32) {
	if !t.quic {
		t.sendMessage(key, message{packet: protocol.Packet{Kind: protocol.KindReset, HasTag: true, SourceTag: sequence}, resetTag: tag})
	}
}

func (t *fakeTarget) receive(m message) {
	p := m.packet
	key := protocol.FlowKey{Caller: p.Source, Service: t.service, Transport: p.Transport}
	conn := t.conns[key].findConn(func(x *fakeConn) bool { return x.answerTag == p.Tag })
	switch {
	case t.dead:
	case p.Kind == protocol.KindReset:
		if conn != nil && m.resetTag == conn.openerTag {
			delete(t.conns, key)
		}
	case p.Kind == protocol.KindOpener:
		t.answerOpener(key, t.conns[key].findConn(func(x *fakeConn) bool { return x.openerTag == p.Tag }), m)
	case conn == nil || !conn.established && p.Tag != conn.answerTag:
		t.reset(key, p.Tag, p.Tag)
	case p.Tag != conn.answerTag: // a late packet of an earlier connection
	case p.Kind == protocol.KindFIN:
		delete(t.conns, key)
		t.send(key, protocol.KindFIN, conn.openerTag+1, 0, 0)
	default:
		conn.established = true
		t.run(key, conn, m.requestID)
	}
}

// run executes a request once per connection and sends the response in parts.
func (t *fakeTarget) run(key protocol.FlowKey, conn *fakeConn, requestID int) {
	if requestID == 0 {
		return
	}
	if !conn.executed[requestID] {
		conn.executed[requestID] = true
		t.f.runs[request{key, requestID}]++
	}
	for part := range responseParts {
		t.sendMessage(key, message{packet: protocol.Packet{Kind: protocol.KindData, Tag: conn.openerTag + 1, HasTag: true}, requestID: requestID, part: part})
	}
}

// answerOpener answers an opener. A TCP target that still has an earlier connection on the
// flow sends an acknowledgement of that connection instead.
func (t *fakeTarget) answerOpener(key protocol.FlowKey, conn *fakeConn, m message) {
	tag := m.packet.Tag
	t.f.recordOpenerArrival(t.endpoint)
	switch {
	case t.resetsOpeners:
		t.reset(key, tag, 0)
		return
	case t.unansweredShare > 0 && t.f.rng.Float64() < t.unansweredShare:
		return
	case !t.quic && conn != nil && conn.openerTag != tag:
		t.send(key, protocol.KindData, conn.openerTag+1, 0, 0)
		return
	}
	if conn == nil || conn.openerTag != tag {
		conn = &fakeConn{openerTag: tag, answerTag: t.f.rng.Uint32() | 1, executed: make(map[int]bool)}
		if t.quic {
			conn.earlier = t.conns[key]
		}
		t.conns[key] = conn
	}
	if t.quic {
		t.send(key, protocol.KindHandshake, tag, conn.answerTag, 0)
	} else {
		t.send(key, protocol.KindSYNACK, conn.answerTag, tag, 0)
	}
	t.run(key, conn, m.requestID)
}

// responseParts is the number of packets of a response.
const responseParts = 2

// fakeCaller is a caller with one connection at a time on one flow.
type fakeCaller struct {
	f         *fleet
	key       protocol.FlowKey
	place     string
	quic      bool
	openCount uint32
	// earlyRequest, unless 0, is the request that openers carry as early data.
	earlyRequest int
	// openerCopies is the number of copies of an opener that are sent, one per
	// retransmitInterval.
	openerCopies       int
	retransmitInterval time.Duration

	openerTag, answerTag                uint32
	opened, established, reset, refused bool
	closed                              bool
	// usedOpenerTags holds the opener tags of all connections; requested holds the
	// requests on the current connection.
	usedOpenerTags map[uint32]bool
	requested      map[int]bool
	receivedParts  map[int]int
	answered       map[int]int
	// misdirected counts the packets that belong to no connection of the caller or
	// answer no request of the current one.
	misdirected int
}

// newCaller returns a caller of a service. It sends nothing until it opens a connection.
func (f *fleet) newCaller(service int, number int) *fakeCaller {
	c := &fakeCaller{
		f:        f,
		quic:     f.set.Services[service].Protocol != objects.ProtocolTCP,
		key:      f.newFlow(service, number),
		answered: make(map[int]int),

		usedOpenerTags:     make(map[uint32]bool),
		openerCopies:       5,
		retransmitInterval: 1200 * time.Millisecond,
	}
	f.callers[c.key] = c
	return c
}

// newFlow returns the flow key of the caller with a number.
func (f *fleet) newFlow(service, number int) protocol.FlowKey {
	s := f.set.Services[service]
	ip := netip.AddrFrom4([4]byte{172, byte(16 + service), byte(number >> 8), byte(number)})
	return protocol.FlowKey{
		Caller:    protocol.NewEndpoint(netip.AddrPortFrom(ip, 40000)),
		Service:   protocol.NewEndpoint(netip.AddrPortFrom(s.Address, s.Port)),
		Transport: s.Protocol.Transport(),
	}
}

func (c *fakeCaller) packet(kind protocol.Kind, tag uint32, requestID int) message {
	p := protocol.Packet{
		Source: c.key.Caller, Destination: c.key.Service, Transport: c.key.Transport,
		Kind: kind, Tag: tag, HasTag: true,
	}
	if requestID > 0 {
		p.PayloadBytes = 200
	}
	return message{packet: p, requestID: requestID}
}

// open opens a new connection from the same port and retransmits the opener until it is answered.
func (c *fakeCaller) open() {
	c.openCount++
	c.openerTag = c.f.rng.Uint32()
	c.usedOpenerTags[c.openerTag] = true
	c.requested, c.receivedParts = make(map[int]bool), make(map[int]int)
	c.opened, c.established, c.reset, c.refused, c.closed = true, false, false, false, false
	c.retransmitOpener(c.openerTag, c.retransmitInterval, c.openerCopies)
}

func (c *fakeCaller) retransmitOpener(tag uint32, wait time.Duration, left int) {
	if c.established || c.refused || c.reset || c.openerTag != tag || left == 0 {
		return
	}
	c.sendOpener(left == c.openerCopies)
	c.f.schedule(wait, func() { c.retransmitOpener(tag, wait, left-1) })
}

// sendOpener sends an opener. Early data is added as by real transports: to each
// QUIC Initial, but only to the first TCP SYN.
func (c *fakeCaller) sendOpener(first bool) {
	m := c.packet(protocol.KindOpener, c.openerTag, 0)
	if c.earlyRequest > 0 && (c.quic || first) {
		m = c.packet(protocol.KindOpener, c.openerTag, c.earlyRequest)
		m.packet.HasSYNData, m.packet.HasZeroRTT = !c.quic, c.quic
		c.requested[c.earlyRequest] = true
	}
	c.f.send(c.place, m)
}

func (c *fakeCaller) sendRequest(requestID int) {
	c.requested[requestID] = true
	c.f.send(c.place, c.packet(protocol.KindData, c.answerTag, requestID))
}

// sendUntilAnswered sends a request and retransmits it with exponential backoff until it is answered.
func (c *fakeCaller) sendUntilAnswered(requestID int) {
	c.retransmitRequest(c.openerTag, requestID, 200*time.Millisecond, 7)
}

func (c *fakeCaller) retransmitRequest(tag uint32, requestID int, wait time.Duration, left int) {
	if c.answered[requestID] > 0 || c.reset || c.openerTag != tag || left == 0 {
		return
	}
	c.sendRequest(requestID)
	c.f.schedule(wait, func() { c.retransmitRequest(tag, requestID, 2*wait, left-1) })
}

func (c *fakeCaller) close() {
	c.closed = true
	c.f.send(c.place, c.packet(protocol.KindFIN, c.answerTag, 0))
}

func (c *fakeCaller) handleRefusal(tag uint32) {
	if !c.established && tag == c.openerTag {
		c.refused = true
	}
}

func (c *fakeCaller) receive(m message) {
	p := m.packet
	switch {
	case p.Kind == protocol.KindReset:
		c.handleReset(m.resetTag)
	case p.Kind == protocol.KindSYNACK || p.Kind == protocol.KindHandshake:
		c.handleAnswer(p)
	case p.Tag != c.openerTag+1 && c.usedOpenerTags[p.Tag-1]:
		c.handleLatePacket(p)
	case p.Tag != c.openerTag+1 || m.requestID > 0 && !c.requested[m.requestID]:
		c.misdirected++
	case m.requestID > 0:
		c.recordPart(m)
	}
}

// recordPart records one part of a response. A response with all its parts counts
// as received.
func (c *fakeCaller) recordPart(m message) {
	c.receivedParts[m.requestID] |= 1 << m.part
	if c.receivedParts[m.requestID] == 1<<responseParts-1 {
		c.answered[m.requestID] = 1
	}
}

// handleLatePacket handles a packet of an earlier connection. A TCP caller that is
// opening a connection resets the earlier one, which its target still has.
func (c *fakeCaller) handleLatePacket(p protocol.Packet) {
	if c.quic || c.established || c.refused || p.PayloadBytes > 0 {
		return
	}
	m := c.packet(protocol.KindReset, 0, 0)
	m.packet.HasTag, m.packet.SourceTag, m.resetTag = false, p.Tag, p.Tag-1
	c.f.send(c.place, m)
}

// handleReset applies a reset that answers a packet of the current connection and
// ignores any other.
func (c *fakeCaller) handleReset(resetTag uint32) {
	own := !c.established && resetTag == c.openerTag || c.established && resetTag == c.answerTag
	c.reset = c.reset || own && !c.closed
}

func (c *fakeCaller) handleAnswer(p protocol.Packet) {
	tag, acknowledged := p.Tag, p.SourceTag
	if c.quic {
		tag, acknowledged = p.SourceTag, p.Tag
	}
	if c.refused || c.reset || !c.opened || acknowledged != c.openerTag {
		return
	}
	if !c.established {
		c.established = true
		c.answerTag = tag
	}
	kind := protocol.KindData
	if c.quic {
		kind = protocol.KindHandshake
	}
	c.f.send(c.place, c.packet(kind, c.answerTag, 0))
}

// establish opens n flows, spread over the services, with one request on each.
func (f *fleet) establish(n int) []*fakeCaller {
	var all []*fakeCaller
	for i := range n {
		c := f.newCaller(i%len(f.set.Services), i)
		all = append(all, c)
	}
	f.openAll(all)
	return all
}

// openAll opens a flow for each caller and sends one request on each.
func (f *fleet) openAll(all []*fakeCaller) {
	for _, c := range all {
		f.schedule(time.Duration(f.rng.IntN(2000))*time.Millisecond, c.open)
	}
	f.advance(8 * time.Second)
	for _, c := range all {
		f.schedule(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { c.sendUntilAnswered(1) })
	}
	f.advance(15 * time.Second)
}

// countBroken sends one more request on each flow and returns the number of flows
// that get no answer.
func (f *fleet) countBroken(all []*fakeCaller, requestID int) int {
	for _, c := range all {
		f.schedule(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { c.sendUntilAnswered(requestID) })
	}
	f.advance(40 * time.Second)
	broken := 0
	for _, c := range all {
		if c.reset || c.misdirected > 0 || c.answered[requestID] == 0 {
			broken++
		}
	}
	return broken
}
