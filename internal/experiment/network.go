package experiment

import (
	"fmt"
	"net/netip"
	"sort"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	hopDelay     = time.Millisecond // one way, between any two parties
	tickInterval = 50 * time.Millisecond
	// handoffInterval and handoffLimit pace the transfer of bindings.
	handoffInterval = 250 * time.Millisecond
	handoffLimit    = 32
	// bindingBytes is the encoded size of one binding in a handoff message.
	bindingBytes = 36
	// fabricDropDelay is how long the fabric hands packets to a dead balancer.
	fabricDropDelay = time.Second
)

// segment is one packet on the emulated network.
type segment struct {
	packet protocol.Packet
	// connection is the attempt of the caller that the packet belongs to.
	connection *connection
	content    content
	// sequence numbers the feed updates of a connection.
	sequence int
}

// content tells what a segment carries, beside its protocol kind.
type content uint8

const (
	contentNone content = iota
	contentRequest
	contentResponse
	contentUpdate
	contentUpdateAck
	contentKeepAlive
	contentKeepAliveAck
	contentClose
)

// balancer is one member of the emulated fleet.
type balancer struct {
	vm       string
	place    string
	data     netip.AddrPort
	core     *coordination.Dispatcher
	up       bool
	leaving  bool
	admitted int
	// copies counts the packets that owners relayed to it as their backup.
	copies int
	// view is the number of the latest view that it has.
	view int
}

// network is the fabric with the balancers and hosts behind it.
type network struct {
	*clock
	options   Options
	set       objects.Set
	table     *state.Table
	balancers []*balancer
	// listed are the balancers that the fabric hands packets to.
	listed  []*balancer
	byData  map[netip.AddrPort]*balancer
	hosts   map[protocol.Endpoint]*host
	callers map[protocol.Endpoint]*connection
	service map[string]protocol.Endpoint
	tcp     map[protocol.Endpoint]bool
	result  Result
	// views counts the views that were spread.
	views int
}

// Options are the parameters that all experiments share.
type Options struct {
	Variant coordination.Variant
	// Shards, unless 0, sets the number of deciders for each service.
	Shards int
	// Bound, unless 0, sets the bound of open flows per target.
	Bound     float64
	Balancers int
	Seed      uint64
}

// Result counts what was seen in one run.
type Result struct {
	Packets     int
	RelayedOnce int
	RelayedMore int
	// Crossings are packets that reached a host of another service.
	Crossings    int
	HandoffBytes int
}

func newNetwork(o Options, set objects.Set) (*network, error) {
	n := &network{
		clock:   newClock(o.Seed),
		options: o,
		set:     set,
		byData:  map[netip.AddrPort]*balancer{},
		hosts:   map[protocol.Endpoint]*host{},
		callers: map[protocol.Endpoint]*connection{},
		service: map[string]protocol.Endpoint{},
		tcp:     map[protocol.Endpoint]bool{},
	}
	for _, s := range set.Services {
		e := protocol.NewEndpoint(netip.AddrPortFrom(s.Address, s.Port))
		n.service[s.Name] = e
		n.tcp[e] = s.Protocol == objects.ProtocolTCP
	}
	n.addHosts(set)
	table, err := state.NewTable(1, "experiment", set)
	if err != nil {
		return nil, err
	}
	n.table = table
	for range o.Balancers {
		n.addBalancer()
	}
	n.spreadView(0, 0)
	n.every(tickInterval, n.tick)
	n.every(handoffInterval, n.handoff)
	return n, nil
}

// addBalancer starts a balancer and has the fabric list it.
func (n *network) addBalancer() *balancer {
	i := len(n.balancers)
	b := &balancer{
		vm:    fmt.Sprintf("vm-%02d", i),
		place: n.set.Places[i%len(n.set.Places)].Name,
		data:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 4754),
		up:    true,
	}
	b.core = coordination.NewDispatcher(coordination.Options{
		Self: b.vm, Place: b.place, Variant: n.options.Variant, ShardsPerService: n.options.Shards, OpenFlowBound: n.options.Bound,
		Seed: n.options.Seed + uint64(i),
	})
	b.core.AdoptTable(n.now, n.table)
	n.balancers = append(n.balancers, b)
	n.byData[b.data] = b
	n.listed = append(n.listed, b)
	return b
}

// setView takes a view unless the balancer has a later one; a member that died
// does not come back with the delayed news of an earlier death.
func (b *balancer) setView(now time.Time, number int, view coordination.View) {
	if number < b.view {
		return
	}
	b.view = number
	b.core.SetView(now, view)
}

// spreadView gives each balancer the present view after a delay of its own.
func (n *network) spreadView(low, high time.Duration) {
	n.views++
	number := n.views
	view := coordination.View{}
	for _, b := range n.balancers {
		if b.up {
			view.Members = append(view.Members, coordination.Member{VM: b.vm, Place: b.place, DataAddress: b.data, Leaving: b.leaving})
		}
	}
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].VM < view.Members[j].VM })
	for _, b := range n.balancers {
		if high == 0 {
			b.setView(n.now, number, view)
			continue
		}
		n.after(n.within(low, high), func() { b.setView(n.now, number, view) })
	}
}

// publish puts a changed configuration in force, at each balancer after a delay of its own.
func (n *network) publish(change func(*objects.Set)) error {
	set := n.set
	set.Targets = append([]objects.Target(nil), n.set.Targets...)
	change(&set)
	table, err := state.NewTable(n.table.Generation+1, "experiment", set)
	if err != nil {
		return err
	}
	n.set, n.table = set, table
	n.addHosts(set)
	for _, b := range n.balancers {
		n.after(n.within(0, time.Second), func() { b.core.AdoptTable(n.now, table) })
	}
	return nil
}

func (n *network) tick() {
	for _, b := range n.balancers {
		if b.up {
			b.core.Tick(n.now)
		}
	}
}

func (n *network) handoff() {
	for _, b := range n.balancers {
		if !b.up {
			continue
		}
		for _, batch := range b.core.Handoff(n.now, handoffLimit) {
			n.deliverHandoff(batch)
		}
	}
}

func (n *network) deliverHandoff(batch coordination.HandoffBatch) {
	n.result.HandoffBytes += bindingBytes * len(batch.Bindings)
	for _, peer := range n.balancers {
		if peer.vm == batch.VM && peer.up {
			n.after(hopDelay, func() { peer.core.AcceptHandoff(n.now, batch.Bindings) })
		}
	}
}

// unlist stops the fabric from handing packets to b.
func (n *network) unlist(b *balancer) {
	kept := n.listed[:0:0]
	for _, other := range n.listed {
		if other != b {
			kept = append(kept, other)
		}
	}
	n.listed = kept
}

// kill stops b at once; the others and the fabric find out later.
func (n *network) kill(b *balancer) {
	b.up = false
	n.after(fabricDropDelay, func() { n.unlist(b) })
	n.spreadView(1500*time.Millisecond, 3*time.Second)
}

// leave stops b in the planned way.
func (n *network) leave(b *balancer) {
	b.leaving = true
	n.spreadView(0, 500*time.Millisecond)
	n.after(3*time.Second, func() { n.unlist(b) })
	n.after(5*time.Second, func() {
		b.up = false
		n.spreadView(0, 500*time.Millisecond)
	})
}

// join adds a balancer that learns the view before it gets packets.
func (n *network) join() {
	b := n.addBalancer()
	n.unlist(b)
	n.spreadView(0, 500*time.Millisecond)
	n.after(time.Second, func() { n.listed = append(n.listed, b) })
}

// send hands a segment of an endpoint to a random balancer.
func (n *network) send(s segment) {
	n.result.Packets++
	b := n.listed[n.random.IntN(len(n.listed))]
	n.after(hopDelay, func() { n.arrive(b, s, 0, netip.AddrPort{}) })
}

// arrive lets a balancer decide about a segment.
func (n *network) arrive(b *balancer, s segment, hops uint8, from netip.AddrPort) {
	if !b.up {
		return
	}
	d := b.core.Handle(n.now, coordination.Ingress{Packet: s.packet, Hops: hops, From: from})
	if !d.ResetTarget.IsZero() {
		n.cancel(d.ResetTarget, s)
	}
	switch d.Action {
	case coordination.ActionForward:
		n.noteHops(hops)
		if d.Reason == coordination.ReasonAdmitted {
			b.admitted++
		}
		s.packet.Destination = d.Endpoint
		n.after(hopDelay, func() { n.reachHost(s) })
	case coordination.ActionReturn:
		n.noteHops(hops)
		s.packet.Source = d.Endpoint
		n.after(hopDelay, func() { n.reachCaller(s) })
	case coordination.ActionRelay:
		peer := n.byData[d.Peer]
		if d.Reason == coordination.ReasonToBackup {
			peer.copies++
		}
		n.after(hopDelay, func() { n.arrive(peer, s, hops+1, b.data) })
	case coordination.ActionRefuse:
		n.after(hopDelay, func() { s.connection.refused() })
	case coordination.ActionDrop:
	}
}

func (n *network) noteHops(hops uint8) {
	switch {
	case hops == 1:
		n.result.RelayedOnce++
	case hops > 1:
		n.result.RelayedMore++
	}
}

func (n *network) cancel(target protocol.Endpoint, s segment) {
	if h := n.hosts[target]; h != nil && s.packet.Transport == protocol.TransportTCP {
		n.after(hopDelay, func() { h.cancel(s.connection) })
	}
}

func (n *network) reachHost(s segment) {
	h := n.hosts[s.packet.Destination]
	if h == nil {
		return
	}
	if h.service != s.connection.service {
		n.result.Crossings++
		return
	}
	h.receive(s)
}

func (n *network) reachCaller(s segment) {
	if c := n.callers[s.packet.Destination]; c != nil && s.packet.Source == c.service {
		c.receive(s)
	}
}
