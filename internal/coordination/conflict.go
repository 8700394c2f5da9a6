package coordination

import (
	"slices"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// resolveConflict handles a return packet from a target other than the bound one:
// two owners with different views may have forwarded one opener to two targets.
// It either rebinds the flow to the sender or returns the reason for dropping
// the packet.
func (d *Dispatcher) resolveConflict(c *packetContext) Reason {
	e, p := &c.entry, &c.in.Packet
	switch {
	case isEnd(p.Kind):
		return ReasonStrayReset
	case d.isCancelledTarget(c):
		return ReasonCancelledTarget
	case e.Has(state.FlagClosed), e.Has(state.FlagReopened) && c.isOpenerAnswer():
		d.bindToSource(c) // the bound target has an earlier connection only
		return ""
	case d.maybeStatelessReset(c):
		return ReasonStrayReset
	case e.Strength == state.StrengthTentative:
		return d.resolveTentativeConflict(c)
	case e.Has(state.FlagUnverified) && !c.isOpenerAnswer():
		d.bindToSource(c)
		return ""
	}
	d.recordDecision(c, ActionDrop, p.Source, ReasonOtherTargetAnswer)
	return ReasonOtherTargetAnswer
}

// maybeStatelessReset reports whether a return packet may be a QUIC stateless
// reset, which a target sends for a packet of a connection that it does not
// have. A stateless reset looks like data, but does not begin with the caller's
// connection ID. It cannot be recognised when the caller has no connection ID;
// the opener tag is then the destination ID of the opener.
func (d *Dispatcher) maybeStatelessReset(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolQUIC || c.isOpenerAnswer() || !e.Has(state.FlagOpenerTag) {
		return false
	}
	pending, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]
	return ok && pending.originalDCID != 0 && pending.originalDCID != e.OpenerTag && p.HasTag && p.Tag != e.OpenerTag
}

// resolveTentativeConflict rebinds the flow to the other target when only that
// target has answered the opener or when it sends data.
func (d *Dispatcher) resolveTentativeConflict(c *packetContext) Reason {
	e, p := &c.entry, &c.in.Packet
	if c.isOpenerAnswer() && e.Has(state.FlagAnswered) {
		if c.service.Protocol == objects.ProtocolQUIC {
			d.recordCompetingAnswer(c)
		}
		return ReasonOtherTargetAnswer
	}
	d.recordDecision(c, ActionReturn, p.Source, ReasonReturn)
	d.bindToSource(c)
	return ""
}

// isCancelledTarget reports whether the opener was retried at another target
// after this one, which was sent a reset. Data from a TCP target does not count:
// it belongs to a later connection that another owner admitted.
func (d *Dispatcher) isCancelledTarget(c *packetContext) bool {
	if c.service.Protocol == objects.ProtocolTCP && !c.isOpenerAnswer() {
		return false
	}
	pending, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]
	return ok && slices.Contains(pending.triedTargets, c.in.Packet.Source)
}

// targetToReset returns the target whose half-open connection must be reset
// after a return packet was handled with the given reason, or a zero endpoint.
// before is the entry before the packet.
func (c *packetContext) targetToReset(before *state.Entry, r Reason) protocol.Endpoint {
	source := c.in.Packet.Source
	switch {
	case r == ReasonCancelledTarget:
		return source
	case r == ReasonOtherTargetAnswer && c.isOpenerAnswer() && before.Strength == state.StrengthConfirmed:
		return source
	case r == "" && isHalfOpen(before) && before.Target != c.entry.Target:
		return before.Target
	}
	return protocol.Endpoint{}
}
