package coordination

import (
	"slices"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// rival is a target other than the bound one that answered an opener, because
// an owner with another view sent it a copy. The caller may have taken either answer.
type rival struct {
	target protocol.Endpoint
	tag    uint32
}

// noteRival remembers a QUIC target whose answer is dropped while the binding is tentative.
func (d *Dispatcher) noteRival(c *packetContext) {
	tag, ok := c.answerTag()
	if c.service.Protocol != objects.ProtocolQUIC || !ok {
		return
	}
	d.attempt(c).rival = rival{target: c.in.Packet.Source, tag: tag}
}

// towardsRival returns the rival when a caller packet goes to it. A packet with
// its connection id rebinds the flow. One with an id of neither target goes to
// both in turn, until one of them has established the connection.
func (d *Dispatcher) towardsRival(c *packetContext) (protocol.Endpoint, bool) {
	e, p := &c.entry, &c.in.Packet
	if !c.strong() || e.Strength != state.StrengthTentative || !p.HasTag || c.service.Protocol != objects.ProtocolQUIC {
		return protocol.Endpoint{}, false
	}
	a, ok := d.serviceState(c.service.Address).attempts[c.flow]
	if !ok || a.rival.target.IsZero() || !d.mayForward(c.service, a.rival.target) {
		return protocol.Endpoint{}, false
	}
	if p.Tag == a.rival.tag {
		d.rebind(c, a.rival)
		return e.Target, true
	}
	if p.Kind == protocol.KindOpener || e.AnswerTag == p.Tag {
		return protocol.Endpoint{}, false
	}
	odd := int64(c.stamp)/askInterval.Milliseconds()%2 == 1
	return a.rival.target, odd
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
	turn := c.asked() % (len(choices) + len(others))
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
	e.Clear(state.FlagFailed | state.FlagDoubt)
	d.count(c)
	d.counts(c).StartRun(c.now, c.flow, e.Target, c.hidden())
	d.counts(c).RunAnswered(c.now, c.flow)
	d.save(c)
}
