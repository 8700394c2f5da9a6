package coordination

import (
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// isOpenerAnswer reports whether a packet of a target answers an opener.
func (c *packetContext) isOpenerAnswer() bool {
	switch c.in.Packet.Kind {
	case protocol.KindSYNACK:
		return true
	case protocol.KindOpener, protocol.KindHandshake:
		return c.service.Protocol == objects.ProtocolQUIC
	}
	return false
}

// cameViaOwner reports whether this balancer is the backup and an owner, perhaps
// under another view, has already processed the packet. A backup whose binding
// differs then adopts the target of the packet: its own binding may be from a time
// when this balancer was the owner in its own view.
func (c *packetContext) cameViaOwner() bool {
	return c.shard.role == roleBackup && c.in.Hops > 0
}

// mayAnswerOtherOpener reports whether a packet may belong to an opener that this
// owner has not forwarded: the packet is late, or another owner admitted that
// opener. The binding does not change then, because the caller can tell the
// connections apart.
func (c *packetContext) mayAnswerOtherOpener() bool {
	openerUnknown := c.isOpenerAnswer() && !c.entry.Has(state.FlagOpenerTag) && c.entry.HasTarget()
	fromOtherTarget := c.entry.Target != c.in.Packet.Source
	return c.answersOtherOpener() || fromOtherTarget && (openerUnknown || c.acknowledgesOtherConnection())
}

// acknowledgesOtherConnection reports whether a TCP segment of a target belongs to
// a connection other than the one that is being established. Otherwise a late
// segment of an earlier connection would rebind the flow to its target.
func (c *packetContext) acknowledgesOtherConnection() bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolTCP || p.Kind != protocol.KindData || !p.HasTag {
		return false
	}
	establishing := e.Strength == state.StrengthTentative && e.Has(state.FlagOpenerTag)
	return establishing && p.Tag-e.OpenerTag >= tagWindow
}

// answersOtherOpener reports whether a packet answers an opener other than that of the entry.
func (c *packetContext) answersOtherOpener() bool {
	e, p := &c.entry, &c.in.Packet
	if !c.isOpenerAnswer() || !e.Has(state.FlagOpenerTag) {
		return false
	}
	if c.service.Protocol == objects.ProtocolQUIC {
		return p.HasTag && p.Tag != e.OpenerTag
	}
	return p.SourceTag != 0 && p.SourceTag != e.OpenerTag
}

// answersNextConnection reports whether an answer of the bound target begins
// another connection. Its opener was forwarded by the owner, which may be another
// balancer under another view.
func (c *packetContext) answersNextConnection() bool {
	e := &c.entry
	return c.answersOtherOpener() || c.isOpenerAnswer() && e.Has(state.FlagClosed) && (e.Has(state.FlagReopened) || !e.Has(state.FlagOpenerTag))
}

// answerTag returns the tag of an opener answer that the caller's packets will echo,
// and whether the answer has one.
func (c *packetContext) answerTag() (uint32, bool) {
	p := &c.in.Packet
	if c.service.Protocol == objects.ProtocolQUIC {
		return p.SourceTag, p.SourceTag != 0
	}
	return p.Tag, p.HasTag
}

// updateAnswerTag sets the answer tag of the entry from a packet that follows the
// opener answer: caller packets will echo its sequence number. Without the update, the
// next caller packet would be compared with the tag of an earlier connection on the
// flow, and would seem to contradict the binding.
func (d *Dispatcher) updateAnswerTag(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	e.Clear(state.FlagUnverified | state.FlagAnswerTag)
	if c.service.Protocol == objects.ProtocolTCP && p.SourceTag != 0 {
		e.AnswerTag = p.SourceTag
		e.Set(state.FlagAnswerTag)
	}
}

// endsOtherConnection reports whether a FIN or RST from the bound TCP target
// belongs to another connection. That may be a connection that this target never
// had: the sequence number of its RST is then the acknowledgement number of the
// misrouted packet.
func (c *packetContext) endsOtherConnection() bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolTCP || p.SourceTag == 0 || !e.Has(state.FlagAnswerTag) {
		return false
	}
	distance := int32(p.SourceTag - e.AnswerTag)
	return distance >= tagWindow || distance <= -tagWindow
}
