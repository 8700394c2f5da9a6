package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxHops is the maximum number of relays of a packet.
const maxHops = 2

// packetContext is the data that the steps of one decision share.
type packetContext struct {
	now     time.Time
	stamp   state.Timestamp
	in      Ingress
	service *state.Service
	// serviceRemoved is set when the configuration no longer has the service.
	serviceRemoved bool
	flow           protocol.FlowKey
	shard          *shardState
	entry          state.Entry
	known          bool
	// actingOwner is set when this balancer is not the owner in its own view, but
	// decides as owner because the owner in that view relayed the packet to it.
	actingOwner bool
}

// Handle decides what happens to one packet.
func (d *Dispatcher) Handle(now time.Time, in Ingress) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return drop(ReasonNoTable)
	}
	p := &in.Packet
	c := packetContext{now: now, stamp: state.NewTimestamp(now), in: in}
	destination := state.Address{Endpoint: p.Destination, Transport: p.Transport}
	if s, removed := d.serviceAt(destination); s != nil {
		c.service, c.serviceRemoved = s, removed
		c.flow = protocol.FlowKey{Caller: p.Source, Service: p.Destination, Transport: p.Transport}
		return c.markOwner(d.handleCallerPacket(&c))
	}
	source := state.Address{Endpoint: p.Source, Transport: p.Transport}
	if s := d.serviceOfTarget(source); s != nil {
		c.service = s
		c.flow = protocol.FlowKey{Caller: p.Destination, Service: s.Address.Endpoint, Transport: p.Transport}
		return c.markOwner(d.handleTargetPacket(&c))
	}
	return drop(ReasonUnknownAddress)
}

// markOwner sets ByOwner in a decision that was taken as owner.
func (c *packetContext) markOwner(d Decision) Decision {
	d.ByOwner = c.shard != nil && c.isOwner()
	return d
}

func drop(r Reason) Decision { return Decision{Action: ActionDrop, Reason: r} }

func relay(m *Member, r Reason) Decision {
	return Decision{Action: ActionRelay, Peer: m.DataAddress, Reason: r}
}

// loadEntry loads shard and entry of the flow into the context. It removes a
// binding to a target of another service.
func (d *Dispatcher) loadEntry(c *packetContext) {
	c.shard = d.shardOf(c.service, c.flow)
	c.entry, c.known = d.flows.Get(c.flow)
	if c.known && c.entry.HasTarget() && !d.belongsToService(c.service, c.entry.Target) {
		d.recordDecision(c, ActionDrop, c.entry.Target, ReasonOtherServiceTarget)
		d.removeEntry(c.service, c.flow, &c.entry)
		c.entry, c.known = state.Entry{}, false
	}
}

// storeEntry stores the entry with the time of this packet. It returns false when
// the flow table is full.
func (d *Dispatcher) storeEntry(c *packetContext) bool {
	c.entry.RecordPacket(c.stamp)
	if !d.flows.Put(c.flow, c.entry) {
		return false
	}
	c.known = true
	return true
}

// removeEntry deletes an entry and no longer counts its flow as open.
func (d *Dispatcher) removeEntry(s *state.Service, flow protocol.FlowKey, e *state.Entry) {
	d.uncountFlow(s, flow, e)
	d.flows.Delete(flow)
}

// countFlow counts the flow as open at its target, unless it is counted already.
func (d *Dispatcher) countFlow(c *packetContext) {
	if c.entry.Has(state.FlagCounted) {
		return
	}
	c.entry.Set(state.FlagCounted)
	d.loadCounts(c).AddFlow(c.entry.Target)
}

// uncountFlow reverses countFlow. An entry that is not counted stays as it is.
func (d *Dispatcher) uncountFlow(s *state.Service, flow protocol.FlowKey, e *state.Entry) {
	if !e.Has(state.FlagCounted) {
		return
	}
	e.Clear(state.FlagCounted)
	d.serviceState(s.Address).loadCounts.RemoveFlow(flow, e.Target)
}

func (d *Dispatcher) loadCounts(c *packetContext) *state.LoadCounts {
	return d.serviceState(c.service.Address).loadCounts
}

// hasHiddenClose reports whether a balancer cannot see when a flow of the service
// is closed, as with QUIC and plain UDP.
func (c *packetContext) hasHiddenClose() bool { return c.service.Protocol != objects.ProtocolTCP }

// isAuthoritative reports whether the flow has an entry that was stored or updated
// since this balancer became owner or backup.
func (c *packetContext) isAuthoritative() bool { return c.known && c.shard.isAuthoritative(&c.entry) }

// isOwner reports whether this balancer decides as owner of the flow.
func (c *packetContext) isOwner() bool { return c.actingOwner || c.shard.role == roleOwner }

// mayRelay reports whether the packet may be relayed to a member: the hop limit
// is not reached and the member is not the sender.
func (c *packetContext) mayRelay(m *Member) bool {
	return m != nil && c.in.Hops < maxHops && m.DataAddress != c.in.From
}

// forward returns the decision to send the packet to a target. It drops the
// packet if the target does not belong to the service: a flow must never reach a
// target of another service.
func (d *Dispatcher) forward(c *packetContext, target protocol.Endpoint, r Reason) Decision {
	if !d.belongsToService(c.service, target) {
		return drop(ReasonOtherServiceTarget)
	}
	return Decision{
		Action:       ActionForward,
		Endpoint:     target,
		Reason:       r,
		StripZeroRTT: c.in.Packet.HasZeroRTT && c.service.Protocol == objects.ProtocolQUIC,
	}
}

// isEnd reports whether a packet ends one direction of a flow or the flow.
func isEnd(k protocol.Kind) bool {
	return k == protocol.KindFIN || isAbort(k)
}

// isAbort reports whether a packet is a reset or an ICMP unreachable message.
func isAbort(k protocol.Kind) bool {
	return k == protocol.KindReset || k == protocol.KindUnreachable
}
