package coordination

import (
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// isAnswer reports whether a packet of a target answers an opener.
func (c *packetContext) isAnswer() bool {
	switch c.in.Packet.Kind {
	case protocol.KindOpenerAnswer:
		return true
	case protocol.KindOpener, protocol.KindHandshake:
		return c.service.Protocol == objects.ProtocolQUIC
	}
	return false
}

// passedOwner reports whether an owner, perhaps in another view, has judged the
// packet. A backup whose binding differs follows it: the binding may be from a
// time when this balancer was the owner in its own view.
func (c *packetContext) passedOwner() bool {
	return c.shard.role == roleBackup && c.in.Hops > 0
}

// maybeOther reports whether a packet may belong to an opener that this owner has
// not forwarded: it is late, or another owner admitted that opener. The caller
// tells them apart; nothing is learned from it.
func (c *packetContext) maybeOther() bool {
	unknown := c.isAnswer() && !c.entry.Has(state.FlagOpenerTag) && c.entry.HasTarget()
	foreign := c.entry.Target != c.in.Packet.Source
	return c.answersOther() || foreign && (unknown || c.acknowledgesOther())
}

// acknowledgesOther reports whether a TCP segment of a target acknowledges
// another connection than the one that is about to be established. A late
// segment of an earlier connection would otherwise take the flow over.
func (c *packetContext) acknowledgesOther() bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolTCP || p.Kind != protocol.KindData || !p.HasTag {
		return false
	}
	opening := e.Strength == state.StrengthTentative && e.Has(state.FlagOpenerTag)
	return opening && p.Tag-e.OpenerTag >= tagWindow
}

// answersOther reports whether a packet answers an opener other than that of the entry.
func (c *packetContext) answersOther() bool {
	e, p := &c.entry, &c.in.Packet
	if !c.isAnswer() || !e.Has(state.FlagOpenerTag) {
		return false
	}
	if c.service.Protocol == objects.ProtocolQUIC {
		return p.HasTag && p.Tag != e.OpenerTag
	}
	return p.SourceTag != 0 && p.SourceTag != e.OpenerTag
}

// answersNext reports whether an answer of the bound target begins another
// connection. The owner has forwarded its opener, here or in another view.
func (c *packetContext) answersNext() bool {
	e := &c.entry
	return c.answersOther() || c.isAnswer() && e.Has(state.FlagClosed) && (e.Has(state.FlagReopened) || !e.Has(state.FlagOpenerTag))
}

// answerTag returns the tag that caller packets will echo.
func (c *packetContext) answerTag() (uint32, bool) {
	p := &c.in.Packet
	if c.service.Protocol == objects.ProtocolQUIC {
		return p.SourceTag, p.SourceTag != 0
	}
	return p.Tag, p.HasTag
}

// noteSequence takes the tag that caller packets will echo from a packet after
// the answer. Without it, a binding from an earlier connection on the flow would
// take the next caller packet for its own.
func (d *Dispatcher) noteSequence(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	e.Clear(state.FlagUnverified | state.FlagAnswerTag)
	if c.service.Protocol == objects.ProtocolTCP && p.SourceTag != 0 {
		e.AnswerTag = p.SourceTag
		e.Set(state.FlagAnswerTag)
	}
}

// endsOther reports whether an end from the bound TCP target belongs to another
// connection, such as one that this target never had: the sequence number of a
// reset is then the acknowledgement number of the packet that went astray.
func (c *packetContext) endsOther() bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolTCP || p.SourceTag == 0 || !e.Has(state.FlagAnswerTag) {
		return false
	}
	moved := int32(p.SourceTag - e.AnswerTag)
	return moved >= tagWindow || moved <= -tagWindow
}
