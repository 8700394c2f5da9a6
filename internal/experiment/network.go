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
	hopDelay     = time.Millisecond // one-way delay between any two nodes
	tickInterval = 50 * time.Millisecond
	// handoffInterval and maxBindingsPerHandoff limit the rate at which a balancer hands off bindings.
	handoffInterval       = 250 * time.Millisecond
	maxBindingsPerHandoff = 32
	// bindingBytes is the encoded size of one binding in a handoff message.
	bindingBytes = 36
	// fabricDetectionDelay is how long the fabric still forwards packets to a dead balancer.
	fabricDetectionDelay = time.Second
)

// segment is one packet on the emulated network.
type segment struct {
	packet protocol.Packet
	// connection is the caller's connection that the packet belongs to.
	connection *connection
	content    contentKind
	// sequence is the number of the feed update or keep-alive, also in its acknowledgement.
	sequence int
}

// contentKind is the application content of a segment, in addition to its protocol kind.
type contentKind uint8

const (
	contentNone contentKind = iota
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
	vm            string
	place         string
	dataAddress   netip.AddrPort
	dispatcher    *coordination.Dispatcher
	alive         bool
	leaving       bool
	admittedFlows int
	// packetsAsBackup counts the packets that owners relayed to this balancer as their backup.
	packetsAsBackup int
	// viewNumber is the number of the latest view that the balancer received.
	viewNumber int
}

// network is the emulated fabric with its balancers, hosts and callers.
type network struct {
	*clock
	options   Options
	set       objects.Set
	table     *state.Table
	balancers []*balancer
	// inRotation are the balancers that the fabric forwards packets to.
	inRotation       []*balancer
	byDataAddress    map[netip.AddrPort]*balancer
	hosts            map[protocol.Endpoint]*host
	callers          map[protocol.Endpoint]*connection
	serviceEndpoints map[string]protocol.Endpoint
	isTCP            map[protocol.Endpoint]bool
	result           Result
	// lastViewNumber is the number of the latest view that was sent.
	lastViewNumber int
}

// Options are the parameters common to all experiments.
type Options struct {
	Variant coordination.Variant
	// ShardsPerService, unless 0, overrides the number of shards of each service. Each
	// shard has an owner of its own.
	ShardsPerService int
	// OpenFlowBound, unless 0, overrides the limit on the open flows of a target, as a
	// multiple of its fair share.
	OpenFlowBound float64
	Balancers     int
	Seed          uint64
}

// Result holds the counters of one run.
type Result struct {
	Packets           int
	RelayedOnce       int
	RelayedRepeatedly int
	// WrongServicePackets is the number of packets that reached a host of another service.
	WrongServicePackets int
	HandoffBytes        int
}

func newNetwork(o Options, set objects.Set) (*network, error) {
	n := &network{
		clock:            newClock(o.Seed),
		options:          o,
		set:              set,
		byDataAddress:    map[netip.AddrPort]*balancer{},
		hosts:            map[protocol.Endpoint]*host{},
		callers:          map[protocol.Endpoint]*connection{},
		serviceEndpoints: map[string]protocol.Endpoint{},
		isTCP:            map[protocol.Endpoint]bool{},
	}
	for _, s := range set.Services {
		e := protocol.NewEndpoint(netip.AddrPortFrom(s.Address, s.Port))
		n.serviceEndpoints[s.Name] = e
		n.isTCP[e] = s.Protocol == objects.ProtocolTCP
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
	n.every(handoffInterval, n.sendHandoffs)
	return n, nil
}

// addBalancer starts a balancer and adds it to the rotation of the fabric.
func (n *network) addBalancer() *balancer {
	i := len(n.balancers)
	b := &balancer{
		vm:          fmt.Sprintf("vm-%02d", i),
		place:       n.set.Places[i%len(n.set.Places)].Name,
		dataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 4754),
		alive:       true,
	}
	b.dispatcher = coordination.NewDispatcher(coordination.Options{
		Self: b.vm, Place: b.place, Variant: n.options.Variant, ShardsPerService: n.options.ShardsPerService, OpenFlowBound: n.options.OpenFlowBound,
		Seed: n.options.Seed + uint64(i),
	})
	b.dispatcher.AdoptTable(n.now, n.table)
	n.balancers = append(n.balancers, b)
	n.byDataAddress[b.dataAddress] = b
	n.inRotation = append(n.inRotation, b)
	return b
}

// setView applies a view unless the balancer has a later one. Views arrive after
// random delays, so an older view could otherwise bring a dead member back.
func (b *balancer) setView(now time.Time, number int, view coordination.View) {
	if number < b.viewNumber {
		return
	}
	b.viewNumber = number
	b.dispatcher.SetView(now, view)
}

// spreadView sends the current view to each balancer after a random delay. If
// maxDelay is 0, the balancers receive it at once.
func (n *network) spreadView(minDelay, maxDelay time.Duration) {
	n.lastViewNumber++
	number := n.lastViewNumber
	view := coordination.View{}
	for _, b := range n.balancers {
		if b.alive {
			view.Members = append(view.Members, coordination.Member{VM: b.vm, Place: b.place, DataAddress: b.dataAddress, Leaving: b.leaving})
		}
	}
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].VM < view.Members[j].VM })
	for _, b := range n.balancers {
		if maxDelay == 0 {
			b.setView(n.now, number, view)
			continue
		}
		n.after(n.uniform(minDelay, maxDelay), func() { b.setView(n.now, number, view) })
	}
}

// publishConfiguration activates a changed configuration on each balancer after a random delay.
func (n *network) publishConfiguration(change func(*objects.Set)) error {
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
		n.after(n.uniform(0, time.Second), func() { b.dispatcher.AdoptTable(n.now, table) })
	}
	return nil
}

func (n *network) tick() {
	for _, b := range n.balancers {
		if b.alive {
			b.dispatcher.Tick(n.now)
		}
	}
}

func (n *network) sendHandoffs() {
	for _, b := range n.balancers {
		if !b.alive {
			continue
		}
		for _, batch := range b.dispatcher.Handoff(n.now, maxBindingsPerHandoff) {
			n.deliverHandoff(batch)
		}
	}
}

func (n *network) deliverHandoff(batch coordination.HandoffBatch) {
	n.result.HandoffBytes += bindingBytes * len(batch.Bindings)
	for _, peer := range n.balancers {
		if peer.vm == batch.VM && peer.alive {
			n.after(hopDelay, func() { peer.dispatcher.AcceptHandoff(n.now, batch.Bindings) })
		}
	}
}

// removeFromRotation stops the fabric from forwarding packets to b.
func (n *network) removeFromRotation(b *balancer) {
	kept := n.inRotation[:0:0]
	for _, other := range n.inRotation {
		if other != b {
			kept = append(kept, other)
		}
	}
	n.inRotation = kept
}

// kill stops b immediately. The fabric and the other balancers detect the failure later.
func (n *network) kill(b *balancer) {
	b.alive = false
	n.after(fabricDetectionDelay, func() { n.removeFromRotation(b) })
	n.spreadView(1500*time.Millisecond, 3*time.Second)
}

// removeGracefully announces that b leaves, removes it from the rotation after 3 s and stops it after 5 s.
func (n *network) removeGracefully(b *balancer) {
	b.leaving = true
	n.spreadView(0, 500*time.Millisecond)
	n.after(3*time.Second, func() { n.removeFromRotation(b) })
	n.after(5*time.Second, func() {
		b.alive = false
		n.spreadView(0, 500*time.Millisecond)
	})
}

// joinBalancer adds a balancer that receives the view before the fabric forwards packets to it.
func (n *network) joinBalancer() {
	b := n.addBalancer()
	n.removeFromRotation(b)
	n.spreadView(0, 500*time.Millisecond)
	n.after(time.Second, func() { n.inRotation = append(n.inRotation, b) })
}

// send forwards a segment from a caller or host to a random balancer.
func (n *network) send(s segment) {
	n.result.Packets++
	b := n.inRotation[n.random.IntN(len(n.inRotation))]
	n.after(hopDelay, func() { n.deliverToBalancer(b, s, 0, netip.AddrPort{}) })
}

// deliverToBalancer has a balancer handle a segment and carries out its decision.
func (n *network) deliverToBalancer(b *balancer, s segment, hops uint8, from netip.AddrPort) {
	if !b.alive {
		return
	}
	d := b.dispatcher.Handle(n.now, coordination.Ingress{Packet: s.packet, Hops: hops, From: from})
	if !d.ResetTarget.IsZero() {
		n.resetTarget(d.ResetTarget, s)
	}
	switch d.Action {
	case coordination.ActionForward:
		n.countRelays(hops)
		if d.Reason == coordination.ReasonAdmitted {
			b.admittedFlows++
		}
		s.packet.Destination = d.Endpoint
		n.after(hopDelay, func() { n.deliverToHost(s) })
	case coordination.ActionReturn:
		n.countRelays(hops)
		s.packet.Source = d.Endpoint
		n.after(hopDelay, func() { n.deliverToCaller(s) })
	case coordination.ActionRelay:
		peer := n.byDataAddress[d.Peer]
		if d.Reason == coordination.ReasonToBackup {
			peer.packetsAsBackup++
		}
		n.after(hopDelay, func() { n.deliverToBalancer(peer, s, hops+1, b.dataAddress) })
	case coordination.ActionRefuse:
		n.after(hopDelay, func() { s.connection.handleRefusal() })
	case coordination.ActionDrop:
	}
}

func (n *network) countRelays(hops uint8) {
	switch {
	case hops == 1:
		n.result.RelayedOnce++
	case hops > 1:
		n.result.RelayedRepeatedly++
	}
}

func (n *network) resetTarget(target protocol.Endpoint, s segment) {
	if h := n.hosts[target]; h != nil && s.packet.Transport == protocol.TransportTCP {
		n.after(hopDelay, func() { h.removeHalfOpen(s.connection) })
	}
}

func (n *network) deliverToHost(s segment) {
	h := n.hosts[s.packet.Destination]
	if h == nil {
		return
	}
	if h.service != s.connection.service {
		n.result.WrongServicePackets++
		return
	}
	h.receive(s)
}

func (n *network) deliverToCaller(s segment) {
	if c := n.callers[s.packet.Destination]; c != nil && s.packet.Source == c.service {
		c.receive(s)
	}
}
