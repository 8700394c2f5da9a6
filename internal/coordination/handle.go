package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxHops is the number of relays that a packet may take.
const maxHops = 2

// packetContext is what the steps of one decision share.
type packetContext struct {
	now     time.Time
	stamp   state.Timestamp
	in      Ingress
	service *state.Service
	// gone is set when the configuration has dropped the service.
	gone  bool
	flow  protocol.FlowKey
	shard *shardState
	entry state.Entry
	known bool
	// acting is set when this balancer decides as owner because the sender takes it for the owner.
	acting bool
}

// Handle decides about one packet.
func (d *Dispatcher) Handle(now time.Time, in Ingress) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return drop(ReasonNoTable)
	}
	p := &in.Packet
	c := packetContext{now: now, stamp: state.NewTimestamp(now), in: in}
	destination := state.Address{Endpoint: p.Destination, Transport: p.Transport}
	if s, gone := d.serviceAt(destination); s != nil {
		c.service, c.gone = s, gone
		c.flow = protocol.FlowKey{Caller: p.Source, Service: p.Destination, Transport: p.Transport}
		return c.decided(d.fromCaller(&c))
	}
	source := state.Address{Endpoint: p.Source, Transport: p.Transport}
	if s := d.serviceOf(source); s != nil {
		c.service = s
		c.flow = protocol.FlowKey{Caller: p.Destination, Service: s.Address.Endpoint, Transport: p.Transport}
		return c.decided(d.fromTarget(&c))
	}
	return drop(ReasonUnknownAddress)
}

// decided marks decisions taken as owner.
func (c *packetContext) decided(d Decision) Decision {
	d.Owner = c.shard != nil && c.isOwner()
	return d
}

func drop(r Reason) Decision { return Decision{Action: ActionDrop, Reason: r} }

func relay(m *Member, r Reason) Decision {
	return Decision{Action: ActionRelay, Peer: m.Data, Reason: r}
}

// find looks up shard and entry of the flow. A binding to a target of another service is removed.
func (d *Dispatcher) find(c *packetContext) {
	c.shard = d.shardOf(c.service, c.flow)
	c.entry, c.known = d.flows.Get(c.flow)
	if c.known && c.entry.HasTarget() && !d.mayForward(c.service, c.entry.Target) {
		d.note(c, ActionDrop, c.entry.Target, ReasonForeignTarget)
		d.remove(c.service, c.flow, &c.entry)
		c.entry, c.known = state.Entry{}, false
	}
}

// save stores the entry. It returns false when the table is full.
func (d *Dispatcher) save(c *packetContext) bool {
	c.entry.RecordPacket(c.stamp)
	if !d.flows.Put(c.flow, c.entry) {
		return false
	}
	c.known = true
	return true
}

// remove deletes an entry and its counts.
func (d *Dispatcher) remove(s *state.Service, flow protocol.FlowKey, e *state.Entry) {
	d.uncount(s, flow, e)
	d.flows.Delete(flow)
}

func (d *Dispatcher) count(c *packetContext) {
	if c.entry.Has(state.FlagCounted) {
		return
	}
	c.entry.Set(state.FlagCounted)
	d.counts(c).AddFlow(c.entry.Target)
}

func (d *Dispatcher) uncount(s *state.Service, flow protocol.FlowKey, e *state.Entry) {
	if !e.Has(state.FlagCounted) {
		return
	}
	e.Clear(state.FlagCounted)
	d.serviceState(s.Address).counts.RemoveFlow(flow, e.Target)
}

func (d *Dispatcher) counts(c *packetContext) *state.LoadCounts {
	return d.serviceState(c.service.Address).counts
}

// hidden reports whether the end of a flow of the service cannot be seen.
func (c *packetContext) hidden() bool { return c.service.Protocol != objects.ProtocolTCP }

// strong reports whether the entry was bound while this balancer was owner or backup.
func (c *packetContext) strong() bool { return c.known && c.shard.strong(&c.entry) }

// isOwner reports whether this balancer decides about the flow.
func (c *packetContext) isOwner() bool { return c.acting || c.shard.role == roleOwner }

// mayRelay reports whether the packet may take another relay to a member.
func (c *packetContext) mayRelay(m *Member) bool {
	return m != nil && c.in.Hops < maxHops && m.Data != c.in.From
}

// forward sends the packet to a target. The check is an invariant: a binding
// to a target of another service is never used.
func (d *Dispatcher) forward(c *packetContext, target protocol.Endpoint, r Reason) Decision {
	if !d.mayForward(c.service, target) {
		return drop(ReasonForeignTarget)
	}
	return Decision{
		Action:       ActionForward,
		Endpoint:     target,
		Reason:       r,
		StripZeroRTT: c.in.Packet.ZeroRTT && c.service.Protocol == objects.ProtocolQUIC,
	}
}

func isEnd(k protocol.Kind) bool {
	return k == protocol.KindFin || isAbort(k)
}

func isAbort(k protocol.Kind) bool {
	return k == protocol.KindReset || k == protocol.KindUnreachable
}
