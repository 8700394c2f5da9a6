package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// faults are the faults that the simulated network injects.
type faults struct {
	lossRate, duplicateRate float64
	// maxDuplicateDelay is the upper limit of the extra delay of a duplicate.
	maxDuplicateDelay time.Duration
	// frozen holds the balancers that are frozen. They lose all packets, since a
	// balancer discards its backlog when it resumes.
	frozen map[string]bool
}

// request identifies a request of a caller. A retransmission has the same ID.
type request struct {
	flow protocol.FlowKey
	id   int
}

// connection identifies one connection on a flow by the tag of its opener.
type connection struct {
	flow protocol.FlowKey
	tag  uint32
}

// connectionOf returns the connection of an opener of a caller.
func connectionOf(m message) connection {
	p := &m.packet
	return connection{protocol.FlowKey{Caller: p.Source, Service: p.Destination, Transport: p.Transport}, p.Tag}
}

// transmit sends a packet over one link, which may lose or duplicate it.
func (f *fleet) transmit(deliver func()) {
	if f.duplicateRate > 0 && f.rng.Float64() < f.duplicateRate {
		f.schedule(f.randomLatency()+time.Duration(f.rng.Int64N(int64(f.maxDuplicateDelay))), deliver)
	}
	if f.lossRate > 0 && f.rng.Float64() < f.lossRate {
		return
	}
	f.schedule(f.randomLatency(), deliver)
}

// makeUnreliable makes the network lose, duplicate, delay and reorder packets.
func (f *fleet) makeUnreliable() {
	f.lossRate, f.duplicateRate = 0.02, 0.05
	f.jitter, f.maxDuplicateDelay = 5*time.Millisecond, 400*time.Millisecond
}

// checkServiceSeparation checks for one packet between a service and a target that
// the target belongs to the service (property P2). Of the tables up to that of the
// balancer, the latest that has the target must assign it to the service.
func (f *fleet) checkServiceSeparation(vm string, service, target protocol.Endpoint, transport uint8) {
	for i := len(f.tables) - 1; i >= 0; i-- {
		if f.tables[i].Generation > f.currentTables[vm].Generation {
			continue
		}
		if t := f.tables[i].Target(state.Address{Endpoint: target, Transport: transport}); t != nil {
			if t.Service.Address.Endpoint != service {
				f.crossServicePackets++
			}
			return
		}
	}
	f.crossServicePackets++
}

// recordRefusal counts a refusal as false if the opener may have reached a target
// before. That is stricter than property P4, by which the request of a refused opener
// did not run: before the first refusal no balancer may have forwarded the opener,
// and the refusing balancer must never have done so. An owner under another view may
// forward a late copy of a refused opener, since it carries no request.
func (f *fleet) recordRefusal(vm string, m message) {
	c := connectionOf(m)
	f.refusals++
	if f.openerForwarders[c][vm] || !f.refused[c] && len(f.openerForwarders[c]) > 0 {
		f.falseRefusals++
	}
	f.refused[c] = true
}

// recordOpenerForwarder records that a balancer forwarded the opener of a connection.
func (f *fleet) recordOpenerForwarder(vm string, c connection) {
	if f.openerForwarders[c] == nil {
		f.openerForwarders[c] = make(map[string]bool)
	}
	f.openerForwarders[c][vm] = true
}

// duplicateRuns returns the number of requests that ran more than once.
func (f *fleet) duplicateRuns() int {
	duplicates := 0
	for _, n := range f.runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// ownerOf returns the owner of a service with one shard.
func (f *fleet) ownerOf(service int) string {
	flow := f.newFlow(service, 0)
	s := f.table.Service(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
	return newRendezvousRanking(View{Members: f.members}).topMembers(shardKey{serviceHash: s.Hash})[0].VM
}

// setViewOf sets the view of one balancer only.
func (f *fleet) setViewOf(vm string, members []Member) {
	f.dispatchers[vm].SetView(f.now, View{Members: members})
}

// propagateView sets the view of all balancers to the current members, for each at a
// random time within an interval from now.
func (f *fleet) propagateView(from, to time.Duration) {
	members := append([]Member(nil), f.members...)
	for _, m := range members {
		f.schedule(from+time.Duration(f.rng.Int64N(int64(to-from))), func() {
			if f.dispatchers[m.VM] != nil && !f.frozen[m.VM] {
				f.setViewOf(m.VM, members)
			}
		})
	}
}
