package coordination

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/faketime"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// message is a packet with the request or response that it carries.
type message struct {
	packet protocol.Packet
	body   int
	// part is the piece of a response.
	part int
	// echo is the tag in the packet that a reset answers; endpoints ignore a reset without their own.
	echo uint32
}

// fleet is a network in memory: dispatchers with own views and tables, targets
// and callers. Every packet enters at a random balancer.
type fleet struct {
	t       assert.TestingT
	rng     *rand.Rand
	now     time.Time
	jitter  time.Duration
	queue   faketime.Queue
	options Options

	faults
	nodes   map[string]*Dispatcher
	members []Member
	started int
	// spray are the balancers that the fabric sends packets to.
	spray []string
	set   objects.Set
	table *state.Table
	// tables are all published tables; inForce is the latest of each balancer.
	tables  []*state.Table
	inForce map[string]*state.Table
	targets map[protocol.Endpoint]*fakeTarget
	callers map[protocol.FlowKey]*fakeCaller

	packets, relays, crossings int
	reasons                    map[Reason]int
	// runs counts the executions of each request; openers tells who forwarded the
	// opener of a connection, refused which openers were refused.
	runs                    map[request]int
	openers                 map[connection]map[string]bool
	refused                 map[connection]bool
	refusals, falseRefusals int
	// onForward, if set, sees each packet that a balancer forwards.
	onForward func(vm string, d Decision, m message)
	// work notes when a target received an opener, by target.
	work map[protocol.Endpoint]time.Time
	// cut tells which pairs of places cannot reach each other.
	cut map[[2]string]bool
}

func newFleet(t assert.TestingT, seed uint64, balancers int, set objects.Set, o Options) *fleet {
	f := &fleet{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1_800_000_000, 0),
		options: o,
		nodes:   make(map[string]*Dispatcher),
		targets: make(map[protocol.Endpoint]*fakeTarget),
		callers: make(map[protocol.FlowKey]*fakeCaller),
		reasons: make(map[Reason]int),
		work:    make(map[protocol.Endpoint]time.Time),
		cut:     make(map[[2]string]bool),
		inForce: make(map[string]*state.Table),
		runs:    make(map[request]int),
		openers: make(map[connection]map[string]bool),
		refused: make(map[connection]bool),
	}
	f.frozen = make(map[string]bool)
	f.set = set
	f.publish(set)
	for range balancers {
		f.addNode()
	}
	f.setView()
	f.advance(5 * time.Second)
	return f
}

func placeName(i int) string { return fmt.Sprintf("p%d", i%3) }

// addNode starts a balancer. It takes part once the view is set.
func (f *fleet) addNode() string {
	i := f.started
	f.started++
	m := Member{
		VM:    fmt.Sprintf("vm-%02d", i),
		Place: placeName(i),
		Data:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 6000),
	}
	o := f.options
	o.Self, o.Place = m.VM, m.Place
	f.members = append(f.members, m)
	f.nodes[m.VM] = NewDispatcher(o)
	f.adopt(m.VM, f.table)
	f.spray = append(f.spray, m.VM)
	return m.VM
}

// kill ends a balancer at once; the others learn of it by setView.
func (f *fleet) kill(vm string) {
	delete(f.nodes, vm)
	f.members = keep(f.members, func(m Member) bool { return m.VM != vm })
	f.spray = keep(f.spray, func(s string) bool { return s != vm })
}

func keep[T any](all []T, ok func(T) bool) []T {
	var kept []T
	for _, x := range all {
		if ok(x) {
			kept = append(kept, x)
		}
	}
	return kept
}

func (f *fleet) setLeaving(vm string) {
	for i := range f.members {
		f.members[i].Leaving = f.members[i].Leaving || f.members[i].VM == vm
	}
}

// addMember starts a balancer that the others see at once.
func (f *fleet) addMember() {
	f.addNode()
	f.setView()
}

func (f *fleet) setView() {
	for _, m := range f.members {
		f.nodes[m.VM].SetView(f.now, View{Members: f.members})
	}
}

// publish puts a configuration in force at all balancers.
func (f *fleet) publish(set objects.Set) {
	table := f.newTable(set)
	f.prepare(set, table)
	for _, vm := range f.spray {
		f.adopt(vm, table)
	}
}

func (f *fleet) newTable(set objects.Set) *state.Table {
	generation := uint64(len(f.tables) + 1)
	table, err := state.NewTable(generation, fmt.Sprint(generation), set)
	assert.NilError(f.t, err)
	return table
}

// prepare makes a table known without putting it in force.
func (f *fleet) prepare(set objects.Set, table *state.Table) {
	f.set, f.table = set, table
	f.tables = append(f.tables, table)
	table.ForEachService(func(s *state.Service) {
		for _, t := range s.Targets {
			if old := f.targets[t.Endpoint]; old == nil || old.service != s.Address.Endpoint {
				f.targets[t.Endpoint] = newFakeTarget(f, t)
			}
		}
	})
}

func (f *fleet) adopt(vm string, table *state.Table) {
	f.inForce[vm] = table
	f.nodes[vm].AdoptTable(f.now, table)
}

// handOff delivers handoffs of all balancers until none is left, and returns how many bindings they held.
func (f *fleet) handOff() int {
	total := 0
	for _, m := range f.members {
		for {
			batches := f.nodes[m.VM].Handoff(f.now, 100)
			if len(batches) == 0 {
				break
			}
			for _, b := range batches {
				total += len(b.Bindings)
				if n := f.nodes[b.VM]; n != nil {
					n.AcceptHandoff(f.now, b.Bindings)
				}
			}
		}
	}
	return total
}

func (f *fleet) after(d time.Duration, run func()) {
	f.queue.Schedule(f.now.Add(d), run)
}

func (f *fleet) latency() time.Duration {
	d := time.Millisecond
	if f.jitter > 0 {
		d += time.Duration(f.rng.Int64N(int64(f.jitter)))
	}
	return d
}

// advance runs events for a time; balancers tick every 100 ms.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for t := f.now.Add(100 * time.Millisecond); !t.After(end); t = t.Add(100 * time.Millisecond) {
		f.runUntil(t)
		for _, vm := range f.spray {
			if !f.frozen[vm] {
				f.nodes[vm].Tick(f.now)
			}
		}
	}
	f.runUntil(end)
}

func (f *fleet) runUntil(end time.Time) { f.queue.RunUntil(&f.now, end) }

// send gives a packet from a place to the fabric, which sends it to a random balancer that the place reaches.
func (f *fleet) send(place string, m message) {
	reached := f.spray
	if len(f.cut) > 0 {
		reached = keep(f.spray, func(vm string) bool { return !f.cut[[2]string{place, f.placeOf(vm)}] })
	}
	f.sendVia(reached[f.rng.IntN(len(reached))], m)
}

func (f *fleet) sendVia(vm string, m message) {
	f.hop(func() { f.deliver(vm, m, 0, netip.AddrPort{}) })
}

func (f *fleet) placeOf(vm string) string {
	for _, m := range f.members {
		if m.VM == vm {
			return m.Place
		}
	}
	return ""
}

func (f *fleet) deliver(vm string, m message, hops uint8, from netip.AddrPort) {
	node := f.nodes[vm]
	if node == nil || f.frozen[vm] {
		return
	}
	assert.Assert(f.t, hops <= maxHops)
	f.packets++
	d := node.Handle(f.now, Ingress{Packet: m.packet, Hops: hops, From: from})
	f.reasons[d.Reason]++
	if !d.Cancel.IsZero() {
		f.cancel(d.Cancel, m.packet)
	}
	switch d.Action {
	case ActionRelay:
		f.relay(vm, d, m, hops)
	case ActionForward:
		f.forward(vm, d, m)
	case ActionReturn:
		f.checkCrossing(vm, d.Endpoint, m.packet.Source, m.packet.Transport)
		f.toCaller(vm, d, m)
	case ActionRefuse:
		f.noteRefusal(vm, m)
		f.toCaller(vm, d, m)
	}
}

func (f *fleet) forward(vm string, d Decision, m message) {
	f.checkCrossing(vm, m.packet.Destination, d.Endpoint, m.packet.Transport)
	if f.onForward != nil {
		f.onForward(vm, d, m)
	}
	if d.StripZeroRTT {
		m.packet.ZeroRTT, m.body = false, 0
	}
	if m.packet.Kind == protocol.KindOpener {
		f.noteOpener(vm, connectionOf(m))
	}
	if target := f.targets[d.Endpoint]; target != nil && !f.cut[[2]string{f.placeOf(vm), target.place}] {
		f.hop(func() { target.receive(m) })
	}
}

func (f *fleet) relay(vm string, d Decision, m message, hops uint8) {
	f.relays++
	from := f.nodes[vm].members[vm].Data
	for _, peer := range f.members {
		if peer.Data == d.Peer && !f.cut[[2]string{f.placeOf(vm), peer.Place}] {
			f.hop(func() { f.deliver(peer.VM, m, hops+1, from) })
		}
	}
}

func (f *fleet) toCaller(vm string, d Decision, m message) {
	key := protocol.FlowKey{Caller: m.packet.Source, Service: m.packet.Destination, Transport: m.packet.Transport}
	if d.Action == ActionReturn {
		key = protocol.FlowKey{Caller: m.packet.Destination, Service: d.Endpoint, Transport: m.packet.Transport}
	}
	caller := f.callers[key]
	if caller == nil || f.cut[[2]string{f.placeOf(vm), caller.place}] {
		return
	}
	if d.Action == ActionRefuse {
		f.hop(func() { caller.refuse(m.packet.Tag) })
		return
	}
	f.hop(func() { caller.receive(m) })
}

// cancel resets a half-open connection of a target. The reset echoes the tag of
// the opener, which a packet of a target acknowledges.
func (f *fleet) cancel(target protocol.Endpoint, p protocol.Packet) {
	caller, service, echo := p.Source, p.Destination, p.Tag
	if f.targets[p.Source] != nil {
		caller, service, echo = p.Destination, f.targets[p.Source].service, p.SourceTag
	}
	reset := protocol.Packet{Source: caller, Destination: service, Transport: p.Transport, Kind: protocol.KindReset}
	if t := f.targets[target]; t != nil {
		f.hop(func() { t.receive(message{packet: reset, echo: echo}) })
	}
}

func (f *fleet) noteWork(target protocol.Endpoint) { f.work[target] = f.now }

func eachSeed(t *testing.T, seeds int, run func(t *testing.T, seed uint64)) {
	t.Helper()
	if testing.Short() {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, seed) })
	}
}
