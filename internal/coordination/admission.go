package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// reuseTimeTCP and reuseTimeQUIC are how long a flow to a leaving target must
	// be silent before another opener on it begins a new flow. A QUIC connection
	// may be idle for 30 s and live.
	reuseTimeTCP  = 3 * time.Second
	reuseTimeQUIC = 30 * time.Second
	// reuseTimeUDP is how long a datagram flow stays with a leaving target.
	reuseTimeUDP = 5 * time.Second
)

// opener decides about a packet that may begin a connection. Only the owner admits or refuses.
func (d *Dispatcher) opener(c *packetContext) Decision {
	owner := c.shard.owner()
	switch {
	case c.gone:
		return drop(ReasonServiceRemoved)
	case owner == nil:
		return drop(ReasonNoMembers)
	case c.shard.role == roleOwner:
	case c.mayRelay(owner):
		return relay(owner, ReasonToOwner)
	case owner.Data == c.in.From:
		c.acting = true
	default:
		return drop(ReasonViewsDiffer)
	}
	if !c.known || c.entry.Has(state.FlagLookupPending) {
		return d.admit(c)
	}
	return d.openerOnEntry(c)
}

// openerOnEntry decides about an opener of a flow that the owner knows.
func (d *Dispatcher) openerOnEntry(c *packetContext) Decision {
	e := &c.entry
	switch same := c.sameConnection(); {
	case e.Has(state.FlagRefused):
		if same {
			return d.refuse(c, ReasonRefused)
		}
		return d.admit(c)
	case c.service.Protocol == objects.ProtocolUDP:
		return d.datagram(c)
	case e.Has(state.FlagClosed):
		// An end that came before the answer to a second opener may belong to the
		// earlier connection, so a copy of that opener is admitted.
		if same && !e.Has(state.FlagReopened) {
			return drop(ReasonLateOpener)
		}
		return d.admit(c)
	case same && d.tookOther(c):
		return d.towardsOther(c)
	case !c.strong():
		return d.openerOnWeak(c)
	case e.Strength == state.StrengthTentative && !e.Has(state.FlagAnswered):
		if same {
			return d.repeatOpener(c)
		}
		return d.admit(c)
	case same && !e.Has(state.FlagReopened):
		d.noteOpener(c)
		d.save(c)
		return d.forward(c, e.Target, ReasonRepeated)
	}
	return d.secondConnection(c)
}

// openerOnWeak decides about an opener of a flow that was learned while others
// decided. The binding may be that of an earlier connection.
func (d *Dispatcher) openerOnWeak(c *packetContext) Decision {
	if c.entry.Has(state.FlagUnverified) {
		return d.admit(c)
	}
	return d.secondConnection(c)
}

// openerTag identifies the connection of an opener. A QUIC caller may use
// another connection id of the target in its later Initials, but keeps its own
// in every packet with a long header.
func (c *packetContext) openerTag() uint32 {
	p := &c.in.Packet
	if c.service.Protocol == objects.ProtocolQUIC && p.SourceTag != 0 {
		return p.SourceTag
	}
	return p.Tag
}

// sameConnection reports whether an opener belongs to the connection of the entry.
func (c *packetContext) sameConnection() bool {
	e, p := &c.entry, &c.in.Packet
	if !p.HasTag {
		return true
	}
	if e.Has(state.FlagOpenerTag) && e.OpenerTag == c.openerTag() {
		return true
	}
	quic := c.service.Protocol == objects.ProtocolQUIC
	return quic && e.Has(state.FlagAnswerTag) && e.AnswerTag == p.Tag
}

// noteOpener confirms a QUIC binding when an Initial is addressed to the connection id of the target.
func (d *Dispatcher) noteOpener(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol == objects.ProtocolQUIC && e.Has(state.FlagAnswerTag) && e.AnswerTag == p.Tag {
		e.Strength = state.StrengthConfirmed
	}
}

// secondConnection decides about another connection on an established flow.
// The packets of both cannot be told apart, so both go to one target.
func (d *Dispatcher) secondConnection(c *packetContext) Decision {
	e := &c.entry
	if d.leaving(c.service, e.Target) {
		if c.stamp.Since(e.LastSeen) >= c.reuseTime() {
			return d.admit(c)
		}
		d.note(c, ActionDrop, e.Target, ReasonSecondConnection)
		return drop(ReasonSecondConnection)
	}
	if e.Has(state.FlagReopened) && c.sameConnection() {
		d.noteOpener(c)
		d.save(c)
		return d.forward(c, e.Target, ReasonRepeated)
	}
	e.OpenerTag = c.openerTag()
	e.Set(state.FlagOpenerTag | state.FlagReopened)
	e.Epoch = c.shard.epoch
	d.count(c)
	d.counts(c).StartRequest(c.now, c.flow, e.Target, c.hidden())
	d.save(c)
	return d.forward(c, e.Target, ReasonReopened)
}

func (c *packetContext) reuseTime() time.Duration {
	if c.service.Protocol == objects.ProtocolTCP {
		return reuseTimeTCP
	}
	return reuseTimeQUIC
}

// datagram decides about a packet of a flow without connections. Each may be
// new work, so a flow leaves a leaving target once it pauses.
func (d *Dispatcher) datagram(c *packetContext) Decision {
	if d.leaving(c.service, c.entry.Target) && c.stamp.Since(c.entry.LastSeen) >= reuseTimeUDP {
		return d.admit(c)
	}
	d.save(c)
	return d.forward(c, c.entry.Target, ReasonKnownFlow)
}

// admit chooses a target for a new connection.
func (d *Dispatcher) admit(c *packetContext) Decision {
	if d.blocked(c.now) {
		return drop(ReasonFrozen)
	}
	if c.entry.Has(state.FlagCounted) {
		d.uncount(c.service, c.flow, &c.entry)
		d.flows.Put(c.flow, c.entry) // the earlier entry stays if no target has room
	}
	earlier := c.entry
	forwarded := earlier.HasTarget() && c.sameConnection()
	c.entry = state.Entry{}
	target := d.choose(c, nil)
	if target == nil && forwarded {
		return drop(ReasonLateOpener) // a target got it, so it must not be refused
	}
	if target == nil {
		return d.refuse(c, ReasonNoTarget)
	}
	if !d.bind(c, target.Endpoint) {
		return drop(ReasonTableFull)
	}
	decision := d.forward(c, target.Endpoint, ReasonAdmitted)
	if halfOpen(&earlier) && earlier.Target != target.Endpoint {
		decision.Cancel = earlier.Target
	}
	d.note(c, ActionForward, target.Endpoint, ReasonAdmitted)
	return decision
}

// halfOpen reports whether an entry is an opener that its target has not answered.
func halfOpen(e *state.Entry) bool {
	return e.HasTarget() && e.Strength == state.StrengthTentative && !e.Has(state.FlagAnswered|state.FlagClosed)
}

// bind stores a tentative binding, counts it and waits for the answer.
func (d *Dispatcher) bind(c *packetContext, target protocol.Endpoint) bool {
	p := &c.in.Packet
	c.entry.Target = target
	c.entry.Strength = state.StrengthTentative
	c.entry.Created = c.stamp
	c.entry.Epoch = c.shard.epoch
	if p.HasTag && c.service.Protocol != objects.ProtocolUDP {
		c.entry.OpenerTag = c.openerTag()
		c.entry.Set(state.FlagOpenerTag)
	}
	if !d.save(c) {
		return false
	}
	d.count(c)
	d.save(c)
	d.counts(c).StartRequest(c.now, c.flow, target, c.hidden())
	if c.service.Protocol != objects.ProtocolUDP {
		one := &attempt{deadline: c.now.Add(c.service.OpenTimeout)}
		if c.service.Protocol == objects.ProtocolQUIC && p.HasTag {
			one.tag = p.Tag
		}
		d.serviceState(c.service.Address).attempts[c.flow] = one
	}
	return true
}

func (d *Dispatcher) choose(c *packetContext, excluded []protocol.Endpoint) *state.Target {
	d.sweep(c.now, c.service.Address, d.serviceState(c.service.Address))
	rule := state.SelectionRule{Algorithm: state.AlgorithmPreference, LoadBound: d.options.Bound}
	if d.options.Variant == VariantBounded {
		rule.Algorithm = state.AlgorithmBoundedLoad
	}
	return d.counts(c).SelectTarget(c.now, c.service, state.FlowHash(c.flow), rule, excluded, &d.passed)
}
