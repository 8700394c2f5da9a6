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
type rival struct {
	target protocol.Endpoint
	tag    uint32
}

// noteRival remembers a target whose answer does not change the binding.
func (d *Dispatcher) noteRival(c *packetContext) {
	if tag, ok := c.answerTag(); ok {
		d.attempt(c).rival = rival{target: c.in.Packet.Source, tag: tag}
	}
}

// towardsRival returns the rival when a caller packet goes to it. A packet that
// echoes its answer rebinds the flow. A QUIC packet with an id of neither target
// goes to both in turn, until one of them has established the connection.
func (d *Dispatcher) towardsRival(c *packetContext) (protocol.Endpoint, bool) {
	e, p := &c.entry, &c.in.Packet
	if !c.strong() || !e.HasTarget() || !p.HasTag || c.service.Protocol == objects.ProtocolUDP {
		return protocol.Endpoint{}, false
	}
	a, ok := d.serviceState(c.service.Address).attempts[c.flow]
	if !ok || a.rival.target.IsZero() || !d.mayForward(c.service, a.rival.target) {
		return protocol.Endpoint{}, false
	}
	if c.service.Protocol == objects.ProtocolTCP {
		return e.Target, d.towardsRivalTCP(c, a)
	}
	if e.Strength != state.StrengthTentative {
		return protocol.Endpoint{}, false
	}
	if p.Tag == a.rival.tag {
		d.rebind(c, a.rival)
		return e.Target, true
	}
	if p.Kind == protocol.KindOpener || e.AnswerTag == p.Tag {
		return protocol.Endpoint{}, false
	}
	return a.rival.target, c.randomTurn()%2 == 1
}

// towardsRivalTCP rebinds the flow when the acknowledgement number of a packet is
// closer to the answer of the rival than to that of the bound target. The latter
// becomes the rival, since the packet may be late.
func (d *Dispatcher) towardsRivalTCP(c *packetContext, a *attempt) bool {
	e, p := &c.entry, &c.in.Packet
	ahead := p.Tag - a.rival.tag
	if p.Kind != protocol.KindData || ahead >= tagWindow || e.Has(state.FlagAnswerTag) && p.Tag-e.AnswerTag <= ahead {
		return false
	}
	to := a.rival
	a.rival = rival{}
	if e.Has(state.FlagAnswerTag) {
		a.rival = rival{target: e.Target, tag: e.AnswerTag}
	}
	d.rebind(c, to)
	return true
}

// tookOther reports whether a QUIC caller took the answer of a target that is
// unknown here: its Initial is addressed neither to the connection id that it
// chose first nor to that of the bound target.
func (d *Dispatcher) tookOther(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol != objects.ProtocolQUIC || !p.HasTag || !c.strong() || e.Strength != state.StrengthTentative {
		return false
	}
	a, ok := d.serviceState(c.service.Address).attempts[c.flow]
	if !ok || a.tag == 0 || a.tag == p.Tag {
		return false
	}
	return !e.Has(state.FlagAnswerTag) || e.AnswerTag != p.Tag
}

// undecidedInitial reports whether a packet is a later Initial on a tentative
// binding: the caller may have taken the answer of another target.
func (d *Dispatcher) undecidedInitial(c *packetContext) bool {
	e, p := &c.entry, &c.in.Packet
	if !p.LaterInitial || !c.strong() || !e.HasTarget() || e.Strength != state.StrengthTentative {
		return false
	}
	return p.SourceTag == 0 || c.sameConnection()
}

// laterInitial decides about a later Initial on a tentative binding. The owner
// knows the opener, so it alone can tell that the caller took another answer.
func (d *Dispatcher) laterInitial(c *packetContext) Decision {
	if owner := c.shard.owner(); !c.isOwner() && c.mayRelay(owner) {
		return relay(owner, ReasonToOwner)
	}
	if d.tookOther(c) {
		return d.towardsOther(c)
	}
	d.noteOpener(c)
	d.save(c)
	return d.forward(c, c.entry.Target, ReasonKnownFlow)
}

// noteHandedRival remembers the target that a former owner has for a tentative flow.
func (d *Dispatcher) noteHandedRival(c *packetContext, b *state.Binding) {
	tentative := c.entry.Strength == state.StrengthTentative && c.service.Protocol == objects.ProtocolQUIC
	if !tentative || b.AnswerTag == 0 || b.Target == c.entry.Target {
		return
	}
	if a := d.attempt(c); a.rival.target.IsZero() {
		a.rival = rival{target: b.Target, tag: b.AnswerTag}
	}
}

// towardsOther sends an Initial in turn to the target that the table names, which another
// owner may have chosen, and to the balancers that may have forwarded the opener
// too. The answer of the target then shows which one the caller took.
func (d *Dispatcher) towardsOther(c *packetContext) Decision {
	choices := slices.DeleteFunc(d.tableChoices(c.service, c.flow), func(t protocol.Endpoint) bool { return t == c.entry.Target })
	others := d.others(c.shard, c.in.From)
	if c.in.Hops >= maxHops {
		others = nil
	}
	if len(choices)+len(others) == 0 {
		return d.forward(c, c.entry.Target, ReasonRepeated)
	}
	turn := c.randomTurn() % (len(choices) + len(others))
	if turn < len(choices) {
		return d.forward(c, choices[turn], ReasonTableChoice)
	}
	return relay(others[turn-len(choices)], ReasonToHolder)
}

// rebind moves a flow to the target whose answer the caller took.
func (d *Dispatcher) rebind(c *packetContext, to rival) {
	e := &c.entry
	d.note(c, ActionForward, to.target, ReasonKnownFlow)
	d.uncount(c.service, c.flow, e)
	e.Target = to.target
	e.AnswerTag = to.tag
	e.Strength = state.StrengthConfirmed
	e.Epoch = c.shard.epoch
	e.Set(state.FlagAnswered | state.FlagAnswerTag)
	e.Clear(state.FlagOpenerFailed | state.FlagUnverified)
	d.count(c)
	d.counts(c).StartRequest(c.now, c.flow, e.Target, c.hidden())
	d.counts(c).RecordOpenerAnswer(c.now, c.flow)
	d.save(c)
}
