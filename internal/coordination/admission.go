package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// reuseIdleTCP and reuseIdleQUIC are the idle times after which another
	// opener on a flow to a leaving target is admitted to a different target. A
	// QUIC connection can be idle for 30 s and still be open.
	reuseIdleTCP  = 3 * time.Second
	reuseIdleQUIC = 30 * time.Second
	// reuseIdleUDP is the idle time after which a datagram flow moves away from
	// a leaving target.
	reuseIdleUDP = 5 * time.Second
)

// handleOpener handles a packet that may open a connection. Only the owner of
// the flow admits or refuses it; other balancers relay it to the owner.
func (d *Dispatcher) handleOpener(c *packetContext) Decision {
	owner := c.shard.owner()
	switch {
	case c.serviceRemoved:
		return drop(ReasonServiceRemoved)
	case owner == nil:
		return drop(ReasonNoMembers)
	case c.shard.role == roleOwner:
	case c.mayRelay(owner):
		return relay(owner, ReasonToOwner)
	case owner.DataAddress == c.in.From:
		c.actingOwner = true
	default:
		return drop(ReasonViewsDiffer)
	}
	if !c.known || c.entry.Has(state.FlagLookupPending) {
		return d.admit(c)
	}
	return d.handleOpenerOnKnownFlow(c)
}

// handleOpenerOnKnownFlow handles an opener on a flow that has an entry here. This
// balancer decides as owner.
func (d *Dispatcher) handleOpenerOnKnownFlow(c *packetContext) Decision {
	e := &c.entry
	switch same := c.sameConnection(); {
	case e.Has(state.FlagRefused):
		if same {
			return d.refuse(c, ReasonRefusedBefore)
		}
		return d.admit(c)
	case c.service.Protocol == objects.ProtocolUDP:
		return d.handleDatagram(c)
	case e.Has(state.FlagClosed):
		// A FIN or RST that arrived before the answer to a second opener may belong
		// to the earlier connection, so a copy of that opener is admitted.
		if same && !e.Has(state.FlagReopened) {
			return drop(ReasonLateOpener)
		}
		return d.admit(c)
	case same && d.acceptedOtherAnswer(c):
		return d.tryOtherTargets(c)
	case !c.isAuthoritative():
		return d.handleOpenerOnWeakBinding(c)
	case e.Strength == state.StrengthTentative && !e.Has(state.FlagAnswered):
		if same {
			return d.handleRepeatedOpener(c)
		}
		return d.admit(c)
	case same && !e.Has(state.FlagReopened):
		d.confirmByInitial(c)
		d.storeEntry(c)
		return d.forward(c, e.Target, ReasonRepeatedOpener)
	}
	return d.handleSecondConnection(c)
}

// handleOpenerOnWeakBinding handles an opener on a flow that was learned while
// this balancer was neither owner nor backup. The binding may belong to an earlier
// connection.
func (d *Dispatcher) handleOpenerOnWeakBinding(c *packetContext) Decision {
	if c.entry.Has(state.FlagUnverified) {
		return d.admit(c)
	}
	return d.handleSecondConnection(c)
}

// openerTag returns the tag that identifies the connection of an opener. For
// QUIC it is the source connection ID when there is one: the destination ID
// changes to one of the target in later Initials, but the source ID is the same
// in every long-header packet of the caller.
func (c *packetContext) openerTag() uint32 {
	p := &c.in.Packet
	if c.service.Protocol == objects.ProtocolQUIC && p.SourceTag != 0 {
		return p.SourceTag
	}
	return p.Tag
}

// sameConnection reports whether an opener belongs to the connection in the entry.
// An opener without a tag cannot be distinguished and is taken as belonging to it.
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

// confirmByInitial confirms a QUIC binding when an Initial carries the connection
// ID that the target chose as its destination.
func (d *Dispatcher) confirmByInitial(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol == objects.ProtocolQUIC && e.Has(state.FlagAnswerTag) && e.AnswerTag == p.Tag {
		e.Strength = state.StrengthConfirmed
	}
}

// handleSecondConnection handles an opener of another connection on an
// established flow. The packets of the two connections cannot be told apart, so
// both go to one target.
func (d *Dispatcher) handleSecondConnection(c *packetContext) Decision {
	e := &c.entry
	if d.isLeaving(c.service, e.Target) {
		if c.stamp.Since(e.LastSeen) >= c.reuseIdleTime() {
			return d.admit(c)
		}
		d.recordDecision(c, ActionDrop, e.Target, ReasonSecondConnection)
		return drop(ReasonSecondConnection)
	}
	if e.Has(state.FlagReopened) && c.sameConnection() {
		d.confirmByInitial(c)
		d.storeEntry(c)
		return d.forward(c, e.Target, ReasonRepeatedOpener)
	}
	e.OpenerTag = c.openerTag()
	e.Set(state.FlagOpenerTag | state.FlagReopened)
	e.Epoch = c.shard.epoch
	d.countFlow(c)
	d.loadCounts(c).StartRequest(c.now, c.flow, e.Target, c.hasHiddenClose())
	d.storeEntry(c)
	return d.forward(c, e.Target, ReasonReopenedFlow)
}

// reuseIdleTime returns the idle time after which another opener on a flow to a
// leaving target is admitted as a new flow.
func (c *packetContext) reuseIdleTime() time.Duration {
	if c.service.Protocol == objects.ProtocolTCP {
		return reuseIdleTCP
	}
	return reuseIdleQUIC
}

// handleDatagram handles a packet of a connectionless flow. Each datagram may be
// a new request, so a flow moves away from a leaving target after an idle time.
func (d *Dispatcher) handleDatagram(c *packetContext) Decision {
	if d.isLeaving(c.service, c.entry.Target) && c.stamp.Since(c.entry.LastSeen) >= reuseIdleUDP {
		return d.admit(c)
	}
	d.storeEntry(c)
	return d.forward(c, c.entry.Target, ReasonKnownFlow)
}

// admit chooses a target for a new connection and binds the flow to it. Without
// a target it refuses the opener, unless a copy of it was already forwarded.
func (d *Dispatcher) admit(c *packetContext) Decision {
	if d.awaitsView(c.now) {
		return drop(ReasonFrozen)
	}
	if c.entry.Has(state.FlagCounted) {
		d.uncountFlow(c.service, c.flow, &c.entry)
		d.flows.Put(c.flow, c.entry) // without a target the earlier entry stays, no longer counted
	}
	earlier := c.entry
	alreadyForwarded := earlier.HasTarget() && c.sameConnection()
	c.entry = state.Entry{}
	target := d.chooseTarget(c, nil)
	if target == nil && alreadyForwarded {
		return drop(ReasonLateOpener) // a target may have received a copy, so a refusal could be false
	}
	if target == nil {
		return d.refuse(c, ReasonNoTarget)
	}
	if !d.bind(c, target.Endpoint) {
		return drop(ReasonFlowTableFull)
	}
	decision := d.forward(c, target.Endpoint, ReasonAdmitted)
	if isHalfOpen(&earlier) && earlier.Target != target.Endpoint {
		decision.ResetTarget = earlier.Target
	}
	d.recordDecision(c, ActionForward, target.Endpoint, ReasonAdmitted)
	return decision
}

// isHalfOpen reports whether an entry holds an opener that its target has not answered.
func isHalfOpen(e *state.Entry) bool {
	return e.HasTarget() && e.Strength == state.StrengthTentative && !e.Has(state.FlagAnswered|state.FlagClosed)
}

// bind stores a tentative binding, counts the flow for its target and, except
// for plain UDP, starts the timeout for the answer. It returns false when the
// flow table is full.
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
	if !d.storeEntry(c) {
		return false
	}
	d.countFlow(c)
	d.storeEntry(c)
	d.loadCounts(c).StartRequest(c.now, c.flow, target, c.hasHiddenClose())
	if c.service.Protocol != objects.ProtocolUDP {
		pending := &pendingOpener{deadline: c.now.Add(c.service.OpenTimeout)}
		if c.service.Protocol == objects.ProtocolQUIC && p.HasTag {
			pending.originalDCID = p.Tag
		}
		d.serviceState(c.service.Address).pendingOpeners[c.flow] = pending
	}
	return true
}

// chooseTarget returns the target for a new connection by the method of the
// variant, or nil when no target is eligible. Targets in tried are not eligible.
func (d *Dispatcher) chooseTarget(c *packetContext, tried []protocol.Endpoint) *state.Target {
	d.expireRequests(c.now, c.service.Address, d.serviceState(c.service.Address))
	rule := state.SelectionRule{Algorithm: state.AlgorithmPreference, LoadBound: d.options.OpenFlowBound}
	if d.options.Variant == VariantBounded {
		rule.Algorithm = state.AlgorithmBoundedLoad
	}
	return d.loadCounts(c).SelectTarget(c.now, c.service, state.FlowHash(c.flow), rule, tried, &d.latestSelection)
}
