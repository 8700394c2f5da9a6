package coordination

import (
	"slices"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// judgeConflict handles a return packet of a target other than the bound one.
// Two owners with different views may have sent one opener to two targets.
func (d *Dispatcher) judgeConflict(c *packetContext) Reason {
	e, p := &c.entry, &c.in.Packet
	switch {
	case isEnd(p.Kind):
		return ReasonWrongGuess
	case d.cancelled(c):
		return ReasonCancelled
	case e.Has(state.FlagClosed), e.Has(state.FlagReopened) && c.isAnswer():
		d.adopt(c) // the bound target holds an earlier connection only
		return ""
	case d.isStrayReset(c):
		return ReasonWrongGuess
	case e.Strength == state.StrengthTentative:
		return d.conflictOnTentative(c)
	case e.Has(state.FlagUnverified) && !c.isAnswer():
		d.adopt(c)
		return ""
	}
	d.note(c, ActionDrop, p.Source, ReasonForeignAnswer)
	return ReasonForeignAnswer
}

// isStrayReset reports whether a return packet may be a stateless reset. A QUIC
// target sends one for a packet of a connection that it does not have. It looks
// like data, but does not begin with the caller's connection id. Nothing can be
// told when the caller has none and the opener tag is that of its opener.
func (d *Dispatcher) isStrayReset(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolQUIC || c.isAnswer() || !e.Has(state.FlagOpenerTag) {
		return false
	}
	a, ok := d.serviceState(c.service.Address).attempts[c.flow]
	return ok && a.tag != 0 && a.tag != e.OpenerTag && p.HasTag && p.Tag != e.OpenerTag
}

// conflictOnTentative adopts the other target when it alone has answered or when it sends data.
func (d *Dispatcher) conflictOnTentative(c *packetContext) Reason {
	e, p := &c.entry, &c.in.Packet
	if c.isAnswer() && e.Has(state.FlagAnswered) {
		if c.service.Protocol == objects.ProtocolQUIC {
			d.noteRival(c)
		}
		return ReasonForeignAnswer
	}
	d.note(c, ActionReturn, p.Source, ReasonReturn)
	d.adopt(c)
	return ""
}

// cancelled reports whether the target was given up for this flow and sent a
// reset. Data of a TCP target shows a later connection that another owner admitted.
func (d *Dispatcher) cancelled(c *packetContext) bool {
	if c.service.Protocol == objects.ProtocolTCP && !c.isAnswer() {
		return false
	}
	a, ok := d.serviceState(c.service.Address).attempts[c.flow]
	return ok && slices.Contains(a.tried, c.in.Packet.Source)
}

// loser returns the target that is sent a reset along with the decision about a
// return packet, or a zero endpoint. before is the entry as it was.
func (c *packetContext) loser(before *state.Entry, r Reason) protocol.Endpoint {
	source := c.in.Packet.Source
	switch {
	case r == ReasonCancelled:
		return source
	case r == ReasonForeignAnswer && c.isAnswer() && before.Strength == state.StrengthConfirmed:
		return source
	case r == "" && halfOpen(before) && before.Target != c.entry.Target:
		return before.Target
	}
	return protocol.Endpoint{}
}
