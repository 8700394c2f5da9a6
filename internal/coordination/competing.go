package coordination

import (
	"slices"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// rival is a target other than the bound one that answered an opener: an owner
// with another view sent it a copy, or admitted another connection on the flow.
// The caller may have taken either answer.
type competingAnswer struct {
	target    protocol.Endpoint
	answerTag uint32
}

// noteRival remembers a target whose answer does not change the binding.
func (d *Dispatcher) recordCompetingAnswer(c *packetContext) {
	if tag, ok := c.answerTag(); ok {
		d.pendingOpener(c).competing = competingAnswer{target: c.in.Packet.Source, answerTag: tag}
	}
}

// towardsRival returns the rival when a caller packet goes to it. A packet that
// echoes its answer rebinds the flow. A QUIC packet with an id of neither target
// goes to both in turn, until one of them has established the connection.
func (d *Dispatcher) competingTarget(c *packetContext) (protocol.Endpoint, bool) {
	e, p := &c.entry, &c.in.Packet
	if !c.isAuthoritative() || !e.Bound() || !p.HasTag || c.service.Protocol == objects.ProtocolUDP {
		return protocol.Endpoint{}, false
	}
	a, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]
	if !ok || a.competing.target.IsZero() || !d.mayForward(c.service, a.competing.target) {
		return protocol.Endpoint{}, false
	}
	if c.service.Protocol == objects.ProtocolTCP {
		return e.Target, d.rebindTCP(c, a)
	}
	if e.Strength != state.StrengthTentative {
		return protocol.Endpoint{}, false
	}
	if p.Tag == a.competing.answerTag {
		d.rebind(c, a.competing)
		return e.Target, true
	}
	if p.Kind == protocol.KindOpener || e.AnswerTag == p.Tag {
		return protocol.Endpoint{}, false
	}
	return a.competing.target, c.pseudoRandomTurn()%2 == 1
}

// towardsRivalTCP rebinds the flow when the acknowledgement number of a packet is
// closer to the answer of the rival than to that of the bound target. The latter
// becomes the rival, since the packet may be late.
func (d *Dispatcher) rebindTCP(c *packetContext, a *pendingOpener) bool {
	e, p := &c.entry, &c.in.Packet
	ahead := p.Tag - a.competing.answerTag
	if p.Kind != protocol.KindData || ahead >= tagWindow || e.Has(state.FlagAnswerTag) && p.Tag-e.AnswerTag <= ahead {
		return false
	}
	accepted := a.competing
	a.competing = competingAnswer{}
	if e.Has(state.FlagAnswerTag) {
		a.competing = competingAnswer{target: e.Target, answerTag: e.AnswerTag}
	}
	d.rebind(c, accepted)
	return true
}

// tookOther reports whether a QUIC caller took the answer of a target that is
// unknown here: its Initial is addressed neither to the connection id that it
// chose first nor to that of the bound target.
func (d *Dispatcher) acceptedOtherAnswer(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolQUIC || !p.HasTag || !c.isAuthoritative() || e.Strength != state.StrengthTentative {
		return false
	}
	a, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]
	if !ok || a.originalDCID == 0 || a.originalDCID == p.Tag {
		return false
	}
	return !e.Has(state.FlagAnswerTag) || e.AnswerTag != p.Tag
}

// undecidedInitial reports whether a packet is a later Initial on a tentative
// binding: the caller may have taken the answer of another target.
func (d *Dispatcher) isUndecidedInitial(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if !p.LaterInitial || !c.isAuthoritative() || !e.Bound() || e.Strength != state.StrengthTentative {
		return false
	}
	return p.SourceTag == 0 || c.sameConnection()
}

// laterInitial decides about a later Initial on a tentative binding. The owner
// knows the opener, so it alone can tell that the caller took another answer.
func (d *Dispatcher) handleLaterInitial(c *packetContext) Decision {
	if owner := c.shard.owner(); !c.isOwner() && c.mayRelay(owner) {
		return relay(owner, ReasonToOwner)
	}
	if d.acceptedOtherAnswer(c) {
		return d.tryOtherTargets(c)
	}
	d.confirmByInitial(c)
	d.storeEntry(c)
	return d.forward(c, c.entry.Target, ReasonKnownFlow)
}

// noteHandedRival remembers the target that a former owner has for a tentative flow.
func (d *Dispatcher) recordHandedOffAnswer(c *packetContext, b *state.Binding) {
	tentative := c.entry.Strength == state.StrengthTentative && c.service.Protocol == objects.ProtocolQUIC
	if !tentative || b.AnswerTag == 0 || b.Target == c.entry.Target {
		return
	}
	if a := d.pendingOpener(c); a.competing.target.IsZero() {
		a.competing = competingAnswer{target: b.Target, answerTag: b.AnswerTag}
	}
}

// towardsOther sends an Initial in turn to the target that the table names, which another
// owner may have chosen, and to the balancers that may have forwarded the opener
// too. The answer of the target then shows which one the caller took.
func (d *Dispatcher) tryOtherTargets(c *packetContext) Decision {
	choices := slices.DeleteFunc(d.tableChoices(c.service, c.flow), func(t protocol.Endpoint) bool { return t == c.entry.Target })
	others := d.others(c.shard, c.in.From)
	if c.in.Hops >= maxHops {
		others = nil
	}
	if len(choices)+len(others) == 0 {
		return d.forward(c, c.entry.Target, ReasonRepeatedOpener)
	}
	turn := c.pseudoRandomTurn() % (len(choices) + len(others))
	if turn < len(choices) {
		return d.forward(c, choices[turn], ReasonTableChoice)
	}
	return relay(others[turn-len(choices)], ReasonToFormerOwner)
}

// rebind moves a flow to the target whose answer the caller took.
func (d *Dispatcher) rebind(c *packetContext, answer competingAnswer) {
	e := &c.entry
	d.note(c, ActionForward, answer.target, ReasonKnownFlow)
	d.uncountFlow(c.service, c.flow, e)
	e.Target = answer.target
	e.AnswerTag = answer.answerTag
	e.Strength = state.StrengthConfirmed
	e.Epoch = c.shard.epoch
	e.Set(state.FlagAnswered | state.FlagAnswerTag)
	e.Clear(state.FlagFailed | state.FlagDoubt)
	d.countFlow(c)
	d.counts(c).StartRun(c.now, c.flow, e.Target, c.hasHiddenClose())
	d.counts(c).RunAnswered(c.now, c.flow)
	d.storeEntry(c)
}
