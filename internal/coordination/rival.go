package coordination

import (
	"slices"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// competingAnswer is the answer to an opener from a target other than the bound
// one: an owner with another view forwarded a copy of the opener to that target,
// or admitted another connection on the flow. The caller may have accepted either
// answer.
type competingAnswer struct {
	target    protocol.Endpoint
	answerTag uint32
}

// recordCompetingAnswer stores an answer that does not change the binding.
func (d *Dispatcher) recordCompetingAnswer(c *packetContext) {
	if tag, ok := c.answerTag(); ok {
		d.pendingOpener(c).competing = competingAnswer{target: c.in.Packet.Source, answerTag: tag}
	}
}

// competingTarget returns the target of a competing answer if a caller packet must
// go there. A packet that echoes that answer rebinds the flow. QUIC packets with
// a connection ID of neither target are sent to one or the other, chosen
// pseudo-randomly for each lookupInterval, until one of them has established the
// connection.
func (d *Dispatcher) competingTarget(c *packetContext) (protocol.Endpoint, bool) {
	e, p := &c.entry, &c.in.Packet
	if !c.isAuthoritative() || !e.HasTarget() || !p.HasTag || c.service.Protocol == objects.ProtocolUDP {
		return protocol.Endpoint{}, false
	}
	pending, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]
	if !ok || pending.competing.target.IsZero() || !d.belongsToService(c.service, pending.competing.target) {
		return protocol.Endpoint{}, false
	}
	if c.service.Protocol == objects.ProtocolTCP {
		return e.Target, d.rebindTCP(c, pending)
	}
	if e.Strength != state.StrengthTentative {
		return protocol.Endpoint{}, false
	}
	if p.Tag == pending.competing.answerTag {
		d.rebind(c, pending.competing)
		return e.Target, true
	}
	if p.Kind == protocol.KindOpener || e.AnswerTag == p.Tag {
		return protocol.Endpoint{}, false
	}
	return pending.competing.target, c.pseudoRandomTurn()%2 == 1
}

// rebindTCP rebinds the flow to the competing target when the acknowledgement
// number of a packet is closer to the competing answer than to that of the bound
// target. The formerly bound target becomes the competing one, because the packet
// may be a late one.
func (d *Dispatcher) rebindTCP(c *packetContext, pending *pendingOpener) bool {
	e, p := &c.entry, &c.in.Packet
	ahead := p.Tag - pending.competing.answerTag
	if p.Kind != protocol.KindData || ahead >= tagWindow || e.Has(state.FlagAnswerTag) && p.Tag-e.AnswerTag <= ahead {
		return false
	}
	accepted := pending.competing
	pending.competing = competingAnswer{}
	if e.Has(state.FlagAnswerTag) {
		pending.competing = competingAnswer{target: e.Target, answerTag: e.AnswerTag}
	}
	d.rebind(c, accepted)
	return true
}

// acceptedOtherAnswer reports whether a QUIC caller accepted the answer of a
// target that is unknown at this balancer: the destination ID of its Initial is
// neither the one that the caller chose first nor that of the bound target.
func (d *Dispatcher) acceptedOtherAnswer(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolQUIC || !p.HasTag || !c.isAuthoritative() || e.Strength != state.StrengthTentative {
		return false
	}
	pending, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]
	if !ok || pending.originalDCID == 0 || pending.originalDCID == p.Tag {
		return false
	}
	return !e.Has(state.FlagAnswerTag) || e.AnswerTag != p.Tag
}

// isUndecidedInitial reports whether a packet is a later Initial on a tentative
// binding. The caller may have accepted the answer of another target.
func (d *Dispatcher) isUndecidedInitial(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if !p.LaterInitialsOnly || !c.isAuthoritative() || !e.HasTarget() || e.Strength != state.StrengthTentative {
		return false
	}
	return p.SourceTag == 0 || c.sameConnection()
}

// handleLaterInitial handles a later Initial on a tentative binding. Only the
// owner knows the connection ID in the opener, so only it can detect that the
// caller accepted the answer of another target.
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

// recordHandedOffAnswer stores the binding that a former owner handed off for a
// tentatively bound QUIC flow as a competing answer, if its target differs.
func (d *Dispatcher) recordHandedOffAnswer(c *packetContext, b *state.Binding) {
	tentative := c.entry.Strength == state.StrengthTentative && c.service.Protocol == objects.ProtocolQUIC
	if !tentative || b.AnswerTag == 0 || b.Target == c.entry.Target {
		return
	}
	if pending := d.pendingOpener(c); pending.competing.target.IsZero() {
		pending.competing = competingAnswer{target: b.Target, answerTag: b.AnswerTag}
	}
}

// tryOtherTargets sends an Initial to one of the targets that the recent tables
// select by hash, since another owner may have chosen it, or relays it to a balancer
// that may have forwarded the opener too. The choice is pseudo-random and changes with
// each lookupInterval. The reply of the target then shows which answer the caller
// accepted.
func (d *Dispatcher) tryOtherTargets(c *packetContext) Decision {
	choices := slices.DeleteFunc(d.tableChoices(c.service, c.flow), func(t protocol.Endpoint) bool { return t == c.entry.Target })
	candidates := d.lookupCandidates(c.shard, c.in.From)
	if c.in.Hops >= maxHops {
		candidates = nil
	}
	if len(choices)+len(candidates) == 0 {
		return d.forward(c, c.entry.Target, ReasonRepeatedOpener)
	}
	turn := c.pseudoRandomTurn() % (len(choices) + len(candidates))
	if turn < len(choices) {
		return d.forward(c, choices[turn], ReasonTableChoice)
	}
	return relay(candidates[turn-len(choices)], ReasonToFormerOwner)
}

// rebind binds a flow to the target whose answer the caller accepted.
func (d *Dispatcher) rebind(c *packetContext, answer competingAnswer) {
	e := &c.entry
	d.recordDecision(c, ActionForward, answer.target, ReasonKnownFlow)
	d.uncountFlow(c.service, c.flow, e)
	e.Target = answer.target
	e.AnswerTag = answer.answerTag
	e.Strength = state.StrengthConfirmed
	e.Epoch = c.shard.epoch
	e.Set(state.FlagAnswered | state.FlagAnswerTag)
	e.Clear(state.FlagOpenerFailed | state.FlagUnverified)
	d.countFlow(c)
	d.loadCounts(c).StartRequest(c.now, c.flow, e.Target, c.hasHiddenClose())
	d.loadCounts(c).RecordOpenerAnswer(c.now, c.flow)
	d.storeEntry(c)
}
