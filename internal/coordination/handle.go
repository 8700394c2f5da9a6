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
	stamp   state.Stamp
	in      *Ingress
	service *state.Service
	flow    protocol.FlowKey
	shard   shardKey
}

// Handle decides about one packet.
func (d *Dispatcher) Handle(now time.Time, in Ingress) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return drop(ReasonNoTable)
	}
	p := &in.Packet
	c := packetContext{now: now, stamp: state.NewStamp(now), in: &in}
	if s := d.table.Service(state.Address{Endpoint: p.Destination, Transport: p.Transport}); s != nil {
		c.service = s
		c.flow = protocol.FlowKey{Caller: p.Source, Service: p.Destination, Transport: p.Transport}
		return d.fromCaller(&c)
	}
	if t := d.table.Target(state.Address{Endpoint: p.Source, Transport: p.Transport}); t != nil {
		c.service = t.Service
		c.flow = protocol.FlowKey{Caller: p.Destination, Service: t.Service.Address.Endpoint, Transport: p.Transport}
		return d.fromTarget(&c)
	}
	return drop(ReasonUnknownAddress)
}

func drop(r Reason) Decision { return Decision{Action: ActionDrop, Reason: r} }

func (d *Dispatcher) fromCaller(c *packetContext) Decision {
	p := &c.in.Packet
	if p.SynData && !c.service.Idempotent {
		return drop(ReasonSynData)
	}
	c.shard = d.shard(c.service, c.flow)
	e, known := d.flows.Get(c.flow)
	opener := isOpener(c.service, p)
	if known && !opener {
		e.Seen = c.stamp
		d.flows.Put(c.flow, e)
		return d.forward(c, &e, ReasonKnownFlow)
	}
	owner := d.ring.at(c.shard, 0)
	if owner == nil {
		return drop(ReasonNoMembers)
	}
	if owner.VM != d.options.Self && c.in.Hops < maxHops {
		return Decision{Action: ActionRelay, Peer: owner.Data, Reason: ReasonToOwner}
	}
	if known {
		return d.forward(c, &e, ReasonKnownFlow)
	}
	target := c.service.Choice(state.FlowHash(c.flow))
	if target == nil {
		return Decision{Action: ActionRefuse, Reason: ReasonNoTarget}
	}
	e = state.Entry{Target: target.Endpoint, Strength: state.StrengthTentative, Created: c.stamp, Seen: c.stamp}
	d.flows.Put(c.flow, e)
	return d.forward(c, &e, ReasonAdmitted)
}

func (d *Dispatcher) forward(c *packetContext, e *state.Entry, r Reason) Decision {
	return Decision{
		Action:       ActionForward,
		Endpoint:     e.Target,
		Reason:       r,
		StripZeroRTT: c.in.Packet.ZeroRTT && !c.service.Idempotent,
	}
}

func (d *Dispatcher) fromTarget(c *packetContext) Decision {
	e, known := d.flows.Get(c.flow)
	if !known {
		e = state.Entry{Created: c.stamp}
	}
	e.Target = c.in.Packet.Source
	e.Seen = c.stamp
	d.flows.Put(c.flow, e)
	return Decision{Action: ActionReturn, Endpoint: c.service.Address.Endpoint, Reason: ReasonReturn}
}

// isOpener reports whether a caller packet may begin a flow.
func isOpener(s *state.Service, p *protocol.Packet) bool {
	if s.Protocol == objects.ProtocolUDP {
		return true
	}
	return p.Kind == protocol.KindOpener
}
