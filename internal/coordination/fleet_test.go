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

// message is a packet and the ID of the request that it carries or responds to, 0
// for none.
type message struct {
	packet    protocol.Packet
	requestID int
	// part is the index of this packet in a response.
	part int
	// resetTag is the tag of the packet that a reset answers. Endpoints ignore a
	// reset with a tag other than their own.
	resetTag uint32
}

// fleet simulates a network in memory: dispatchers, each with its own view and
// table, targets and callers. Every packet enters at a random balancer.
type fleet struct {
	t       assert.TestingT
	rng     *rand.Rand
	now     time.Time
	jitter  time.Duration
	queue   faketime.Queue
	options Options

	faults
	dispatchers      map[string]*Dispatcher
	members          []Member
	startedBalancers int
	// nextHops are the balancers that the fabric sends packets to.
	nextHops []string
	set      objects.Set
	table    *state.Table
	// tables are all published tables; currentTables holds the table of each balancer.
	tables        []*state.Table
	currentTables map[string]*state.Table
	targets       map[protocol.Endpoint]*fakeTarget
	callers       map[protocol.FlowKey]*fakeCaller

	packets, relays, crossServicePackets int
	reasons                              map[Reason]int
	// runs counts the executions of each request. openerForwarders holds the balancers
	// that forwarded the opener of a connection, and refused the connections whose
	// opener was refused.
	runs                    map[request]int
	openerForwarders        map[connection]map[string]bool
	refused                 map[connection]bool
	refusals, falseRefusals int
	// onForward, if set, is called for each packet that a balancer forwards.
	onForward func(vm string, d Decision, m message)
	// lastOpenerAt is when each target last received an opener.
	lastOpenerAt map[protocol.Endpoint]time.Time
	// partitioned holds the pairs of places that cannot reach each other.
	partitioned map[[2]string]bool
}

func newFleet(t assert.TestingT, seed uint64, balancers int, set objects.Set, o Options) *fleet {
	f := &fleet{
		t:                t,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              time.Unix(1_800_000_000, 0),
		options:          o,
		dispatchers:      make(map[string]*Dispatcher),
		targets:          make(map[protocol.Endpoint]*fakeTarget),
		callers:          make(map[protocol.FlowKey]*fakeCaller),
		reasons:          make(map[Reason]int),
		lastOpenerAt:     make(map[protocol.Endpoint]time.Time),
		partitioned:      make(map[[2]string]bool),
		currentTables:    make(map[string]*state.Table),
		runs:             make(map[request]int),
		openerForwarders: make(map[connection]map[string]bool),
		refused:          make(map[connection]bool),
	}
	f.frozen = make(map[string]bool)
	f.set = set
	f.publish(set)
	for range balancers {
		f.startBalancer()
	}
	f.setAllViews()
	f.advance(5 * time.Second)
	return f
}

func placeName(i int) string { return fmt.Sprintf("p%d", i%3) }

// startBalancer starts a balancer and returns its VM name. It is in no view until
// the next setAllViews.
func (f *fleet) startBalancer() string {
	i := f.startedBalancers
	f.startedBalancers++
	m := Member{
		VM:          fmt.Sprintf("vm-%02d", i),
		Place:       placeName(i),
		DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 6000),
	}
	o := f.options
	o.Self, o.Place = m.VM, m.Place
	f.members = append(f.members, m)
	f.dispatchers[m.VM] = NewDispatcher(o)
	f.adoptTable(m.VM, f.table)
	f.nextHops = append(f.nextHops, m.VM)
	return m.VM
}

// kill removes a balancer at once. The other balancers keep it in their views
// until the next setAllViews.
func (f *fleet) kill(vm string) {
	delete(f.dispatchers, vm)
	f.members = filter(f.members, func(m Member) bool { return m.VM != vm })
	f.nextHops = filter(f.nextHops, func(s string) bool { return s != vm })
}

func filter[T any](all []T, match func(T) bool) []T {
	var matching []T
	for _, x := range all {
		if match(x) {
			matching = append(matching, x)
		}
	}
	return matching
}

func (f *fleet) markLeaving(vm string) {
	for i := range f.members {
		f.members[i].Leaving = f.members[i].Leaving || f.members[i].VM == vm
	}
}

// joinBalancer starts a balancer and adds it to all views.
func (f *fleet) joinBalancer() {
	f.startBalancer()
	f.setAllViews()
}

func (f *fleet) setAllViews() {
	for _, m := range f.members {
		f.dispatchers[m.VM].SetView(f.now, View{Members: f.members})
	}
}

// publish makes all balancers adopt a table of a new configuration.
func (f *fleet) publish(set objects.Set) {
	table := f.newTable(set)
	f.registerTable(set, table)
	for _, vm := range f.nextHops {
		f.adoptTable(vm, table)
	}
}

func (f *fleet) newTable(set objects.Set) *state.Table {
	generation := uint64(len(f.tables) + 1)
	table, err := state.NewTable(generation, fmt.Sprint(generation), set)
	assert.NilError(f.t, err)
	return table
}

// registerTable adds a table and its targets to the simulation. No balancer
// adopts it yet.
func (f *fleet) registerTable(set objects.Set, table *state.Table) {
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

func (f *fleet) adoptTable(vm string, table *state.Table) {
	f.currentTables[vm] = table
	f.dispatchers[vm].AdoptTable(f.now, table)
}

// deliverHandoffs delivers the handoffs of all balancers until none is left, and
// returns the number of bindings.
func (f *fleet) deliverHandoffs() int {
	total := 0
	for _, m := range f.members {
		for {
			batches := f.dispatchers[m.VM].Handoff(f.now, 100)
			if len(batches) == 0 {
				break
			}
			for _, b := range batches {
				total += len(b.Bindings)
				if recipient := f.dispatchers[b.VM]; recipient != nil {
					recipient.AcceptHandoff(f.now, b.Bindings)
				}
			}
		}
	}
	return total
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.queue.Schedule(f.now.Add(d), run)
}

func (f *fleet) randomLatency() time.Duration {
	d := time.Millisecond
	if f.jitter > 0 {
		d += time.Duration(f.rng.Int64N(int64(f.jitter)))
	}
	return d
}

// advance runs the events of the next d; balancers tick every 100 ms.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for t := f.now.Add(100 * time.Millisecond); !t.After(end); t = t.Add(100 * time.Millisecond) {
		f.runUntil(t)
		for _, vm := range f.nextHops {
			if !f.frozen[vm] {
				f.dispatchers[vm].Tick(f.now)
			}
		}
	}
	f.runUntil(end)
}

func (f *fleet) runUntil(end time.Time) { f.queue.RunUntil(&f.now, end) }

// send sends a packet from a place to a random balancer that the place can reach.
func (f *fleet) send(place string, m message) {
	reachable := f.nextHops
	if len(f.partitioned) > 0 {
		reachable = filter(f.nextHops, func(vm string) bool { return !f.partitioned[[2]string{place, f.placeOf(vm)}] })
	}
	f.sendVia(reachable[f.rng.IntN(len(reachable))], m)
}

func (f *fleet) sendVia(vm string, m message) {
	f.transmit(func() { f.deliver(vm, m, 0, netip.AddrPort{}) })
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
	node := f.dispatchers[vm]
	if node == nil || f.frozen[vm] {
		return
	}
	assert.Assert(f.t, hops <= maxHops)
	f.packets++
	d := node.Handle(f.now, Ingress{Packet: m.packet, Hops: hops, From: from})
	f.reasons[d.Reason]++
	if !d.ResetTarget.IsZero() {
		f.cancelHalfOpen(d.ResetTarget, m.packet)
	}
	switch d.Action {
	case ActionRelay:
		f.relay(vm, d, m, hops)
	case ActionForward:
		f.forward(vm, d, m)
	case ActionReturn:
		f.checkServiceSeparation(vm, d.Endpoint, m.packet.Source, m.packet.Transport)
		f.sendToCaller(vm, d, m)
	case ActionRefuse:
		f.recordRefusal(vm, m)
		f.sendToCaller(vm, d, m)
	}
}

func (f *fleet) forward(vm string, d Decision, m message) {
	f.checkServiceSeparation(vm, m.packet.Destination, d.Endpoint, m.packet.Transport)
	if f.onForward != nil {
		f.onForward(vm, d, m)
	}
	if d.StripZeroRTT {
		m.packet.HasZeroRTT, m.requestID = false, 0
	}
	if m.packet.Kind == protocol.KindOpener {
		f.recordOpenerForwarder(vm, connectionOf(m))
	}
	if target := f.targets[d.Endpoint]; target != nil && !f.partitioned[[2]string{f.placeOf(vm), target.place}] {
		f.transmit(func() { target.receive(m) })
	}
}

func (f *fleet) relay(vm string, d Decision, m message, hops uint8) {
	f.relays++
	from := f.dispatchers[vm].members[vm].DataAddress
	for _, peer := range f.members {
		if peer.DataAddress == d.Peer && !f.partitioned[[2]string{f.placeOf(vm), peer.Place}] {
			f.transmit(func() { f.deliver(peer.VM, m, hops+1, from) })
		}
	}
}

func (f *fleet) sendToCaller(vm string, d Decision, m message) {
	key := protocol.FlowKey{Caller: m.packet.Source, Service: m.packet.Destination, Transport: m.packet.Transport}
	if d.Action == ActionReturn {
		key = protocol.FlowKey{Caller: m.packet.Destination, Service: d.Endpoint, Transport: m.packet.Transport}
	}
	caller := f.callers[key]
	if caller == nil || f.partitioned[[2]string{f.placeOf(vm), caller.place}] {
		return
	}
	if d.Action == ActionRefuse {
		f.transmit(func() { caller.handleRefusal(m.packet.Tag) })
		return
	}
	f.transmit(func() { caller.receive(m) })
}

// cancelHalfOpen resets the half-open connection of a target, as required by the
// decision on packet p. The reset carries the tag of the opener: that of p if p comes
// from a caller, or else the one that p acknowledges.
func (f *fleet) cancelHalfOpen(target protocol.Endpoint, p protocol.Packet) {
	caller, service, resetTag := p.Source, p.Destination, p.Tag
	if f.targets[p.Source] != nil {
		caller, service, resetTag = p.Destination, f.targets[p.Source].service, p.SourceTag
	}
	reset := protocol.Packet{Source: caller, Destination: service, Transport: p.Transport, Kind: protocol.KindReset}
	if t := f.targets[target]; t != nil {
		f.transmit(func() { t.receive(message{packet: reset, resetTag: resetTag}) })
	}
}

func (f *fleet) recordOpenerArrival(target protocol.Endpoint) { f.lastOpenerAt[target] = f.now }

func forEachSeed(t *testing.T, seeds int, run func(t *testing.T, seed uint64)) {
	t.Helper()
	if testing.Short() {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, seed) })
	}
}
