package coordination

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// fakeConn is one connection at a target.
type fakeConn struct {
	openerTag, answerTag uint32
	established          bool
}

// fakeTarget answers openers, runs requests and resets packets without a connection.
type fakeTarget struct {
	f         *fleet
	self      protocol.Endpoint
	service   protocol.Endpoint
	place     string
	quic      bool
	dead      bool
	resetting bool
	conns     map[protocol.FlowKey]*fakeConn
	runs      map[int]int
}

func newFakeTarget(f *fleet, t *state.Target) *fakeTarget {
	return &fakeTarget{
		f: f, self: t.Endpoint, service: t.Service.Address.Endpoint, place: t.Place,
		quic:  t.Service.Protocol != objects.ProtocolTCP,
		conns: make(map[protocol.FlowKey]*fakeConn), runs: make(map[int]int),
	}
}

func (t *fakeTarget) send(key protocol.FlowKey, kind protocol.Kind, tag, sourceTag uint32, body int) {
	p := protocol.Packet{
		Source: t.self, Destination: key.Caller, Transport: key.Transport,
		Kind: kind, Tag: tag, HasTag: true, SourceTag: sourceTag,
	}
	if body > 0 {
		p.PayloadBytes = 500
	}
	t.f.send(message{packet: p, body: body})
}

func (t *fakeTarget) receive(m message) {
	p := m.packet
	key := protocol.FlowKey{Caller: p.Source, Service: t.service, Transport: p.Transport}
	conn := t.conns[key]
	switch {
	case t.dead:
	case p.Kind == protocol.KindReset:
		delete(t.conns, key)
	case p.Kind == protocol.KindOpener:
		t.open(key, conn, p.Tag)
	case conn == nil || !conn.established && p.Tag != conn.answerTag:
		if !t.quic {
			t.send(key, protocol.KindReset, 0, 0, 0)
		}
	case p.Kind == protocol.KindFin:
		delete(t.conns, key)
		t.send(key, protocol.KindFin, 0, 0, 0)
	default:
		conn.established = true
		if m.body > 0 {
			t.runs[m.body]++
			t.send(key, protocol.KindData, conn.openerTag+1, 0, m.body)
		}
	}
}

func (t *fakeTarget) open(key protocol.FlowKey, conn *fakeConn, tag uint32) {
	t.f.noteWork(t.self)
	if t.resetting {
		t.send(key, protocol.KindReset, 0, 0, 0)
		return
	}
	if conn != nil && conn.established && conn.openerTag != tag {
		t.send(key, protocol.KindData, conn.openerTag+1, 0, 0)
		return
	}
	if conn == nil || conn.openerTag != tag {
		conn = &fakeConn{openerTag: tag, answerTag: t.f.rng.Uint32() | 1}
		t.conns[key] = conn
	}
	if t.quic {
		t.send(key, protocol.KindHandshake, tag, conn.answerTag, 0)
		return
	}
	t.send(key, protocol.KindOpenerAnswer, conn.answerTag, tag, 0)
}

// fakeCaller is one connection of a caller.
type fakeCaller struct {
	f     *fleet
	key   protocol.FlowKey
	quic  bool
	opens uint32

	openerTag, answerTag                uint32
	opened, established, reset, refused bool
	closed                              bool
	got                                 map[int]int
	foreign                             int
}

// newCaller makes a caller of a service; it sends nothing yet.
func (f *fleet) newCaller(service int, number int) *fakeCaller {
	s := f.set.Services[service]
	ip := netip.AddrFrom4([4]byte{172, byte(16 + service), byte(number >> 8), byte(number)})
	c := &fakeCaller{
		f:    f,
		quic: s.Protocol != objects.ProtocolTCP,
		got:  make(map[int]int),
		key: protocol.FlowKey{
			Caller:    protocol.NewEndpoint(netip.AddrPortFrom(ip, 40000)),
			Service:   protocol.NewEndpoint(netip.AddrPortFrom(s.Address, s.Port)),
			Transport: s.Protocol.Transport(),
		},
	}
	f.callers[c.key] = c
	return c
}

func (c *fakeCaller) packet(kind protocol.Kind, tag uint32, body int) message {
	p := protocol.Packet{
		Source: c.key.Caller, Destination: c.key.Service, Transport: c.key.Transport,
		Kind: kind, Tag: tag, HasTag: true,
	}
	if body > 0 {
		p.PayloadBytes = 200
	}
	return message{packet: p, body: body}
}

// open begins a new connection from the same port and repeats the opener until it is answered.
func (c *fakeCaller) open() {
	c.opens++
	c.openerTag = c.f.rng.Uint32()
	c.opened, c.established, c.reset, c.refused, c.closed = true, false, false, false, false
	c.repeat(c.openerTag, 1200*time.Millisecond, 5)
}

func (c *fakeCaller) repeat(tag uint32, wait time.Duration, left int) {
	if c.established || c.refused || c.reset || c.openerTag != tag || left == 0 {
		return
	}
	c.f.send(c.packet(protocol.KindOpener, tag, 0))
	c.f.after(wait, func() { c.repeat(tag, wait, left-1) })
}

func (c *fakeCaller) request(body int) { c.f.send(c.packet(protocol.KindData, c.answerTag, body)) }

// ask sends a request and repeats it, as a transport would, until it is answered.
func (c *fakeCaller) ask(body int) { c.askAgain(body, 200*time.Millisecond, 7) }

func (c *fakeCaller) askAgain(body int, wait time.Duration, left int) {
	if c.got[body] > 0 || c.reset || left == 0 {
		return
	}
	c.request(body)
	c.f.after(wait, func() { c.askAgain(body, 2*wait, left-1) })
}

func (c *fakeCaller) close() {
	c.closed = true
	c.f.send(c.packet(protocol.KindFin, c.answerTag, 0))
}

func (c *fakeCaller) refuse() {
	if !c.established {
		c.refused = true
	}
}

func (c *fakeCaller) receive(m message) {
	p := m.packet
	switch {
	case p.Kind == protocol.KindReset:
		c.reset = c.reset || !c.closed
	case p.Kind == protocol.KindOpenerAnswer || p.Kind == protocol.KindHandshake:
		c.answer(p)
	case p.Tag != c.openerTag+1:
		c.foreign++
	case m.body > 0:
		c.got[m.body]++
	}
}

func (c *fakeCaller) answer(p protocol.Packet) {
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
	c.f.send(c.packet(kind, c.answerTag, 0))
}

// testService describes one service of a test configuration.
type testService struct {
	protocol   objects.Protocol
	preference objects.Preference
	targets    int
	slots      uint32
	limit      uint32
}

func testSet(services ...testService) objects.Set {
	set := objects.Set{}
	for i := range 3 {
		set.Places = append(set.Places, objects.Place{Name: placeName(i)})
	}
	for i, s := range services {
		pool := fmt.Sprintf("pool-%d", i)
		set.Pools = append(set.Pools, objects.Pool{Name: pool, Slots: s.slots, Connections: s.limit})
		set.Services = append(set.Services, objects.Service{
			Name: fmt.Sprintf("service-%d", i), Address: netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}), Port: 443,
			Protocol: s.protocol, Pool: pool, Preference: s.preference,
		})
		for range s.targets {
			set.Targets = append(set.Targets, newTarget(set, pool, i))
		}
	}
	return set
}

// newTarget makes one more target of a pool with an address of its own.
func newTarget(set objects.Set, pool string, service int) objects.Target {
	n := len(set.Targets)
	return objects.Target{
		Name: fmt.Sprintf("target-%02d", n), Pool: pool, Place: placeName(n), Weight: 100,
		Address: netip.AddrFrom4([4]byte{10, 1, byte(service), byte(n + 1)}), Port: 8443,
	}
}

func clone(set objects.Set) objects.Set {
	set.Targets = append([]objects.Target(nil), set.Targets...)
	set.Services = append([]objects.Service(nil), set.Services...)
	return set
}

// twoServices is a mix like that of the users: affinity over TCP and evenness over QUIC.
func twoServices() objects.Set {
	return testSet(
		testService{objects.ProtocolTCP, objects.PreferenceAffinity, 14, 2, 2000},
		testService{objects.ProtocolQUIC, objects.PreferenceEvenness, 14, 3, 2000},
	)
}

// establish opens n flows spread over the services, with one request on each.
func (f *fleet) establish(n int) []*fakeCaller {
	var all []*fakeCaller
	for i := range n {
		c := f.newCaller(i%len(f.set.Services), i)
		all = append(all, c)
		f.after(time.Duration(f.rng.IntN(2000))*time.Millisecond, c.open)
	}
	f.advance(8 * time.Second)
	for _, c := range all {
		f.after(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { c.ask(1) })
	}
	f.advance(15 * time.Second)
	return all
}

// broken asks once more on each flow and counts those that get no answer.
func (f *fleet) broken(all []*fakeCaller, body int) int {
	for _, c := range all {
		f.after(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { c.ask(body) })
	}
	f.advance(40 * time.Second)
	broken := 0
	for _, c := range all {
		if c.reset || c.foreign > 0 || c.got[body] == 0 {
			broken++
		}
	}
	return broken
}
