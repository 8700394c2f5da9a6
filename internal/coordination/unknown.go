package coordination

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// askInterval is how long the owner relays the packets of an unknown flow to
	// one member before it tries the next. It is about a retransmission timeout.
	askInterval = 200 * time.Millisecond
	// askTime is how long resets of targets are held back for an unknown flow.
	askTime = 3 * time.Second
	// likelyMembers is how many members are asked in turn about a flow whose
	// binding is doubtful: its former owners and backups come first.
	likelyMembers = 3
	// guesses is how many intervals the table's choices are tried after all members were asked.
	guesses = 2
)

// unknown decides about a packet within a flow that has no trusted binding
// here. It goes to the owner, then to a balancer that may know the flow.
func (d *Dispatcher) unknown(c *packetContext) Decision {
	if c.gone && !c.known {
		return drop(ReasonServiceRemoved)
	}
	owner := c.shard.owner()
	if !c.isOwner() && c.mayRelay(owner) {
		return relay(owner, ReasonToOwner)
	}
	if d.options.Variant == VariantBounded {
		return d.lastResort(c)
	}
	if c.in.Hops < maxHops {
		if m := d.ask(c); m != nil {
			return relay(m, ReasonToHolder)
		}
	}
	return d.lastResort(c)
}

// ask returns the next member to ask about the flow, or nil when it is time to
// use the choice of the table. The owner goes through the members by time, so
// that the packets of one moment take the same way.
func (d *Dispatcher) ask(c *packetContext) *Member {
	others := d.others(c.shard, c.in.From)
	if len(others) == 0 {
		return nil
	}
	if !c.isOwner() {
		return others[0]
	}
	if !c.known {
		c.entry = state.Entry{Flags: state.FlagLookupPending, Created: c.stamp, AnswerTag: uint32(c.stamp)}
	}
	if !c.entry.Has(state.FlagLookupPending) {
		return c.askDoubtful(others)
	}
	turn := d.asked(c) % (len(others) + guesses)
	if turn >= len(others) {
		return nil
	}
	return others[turn]
}

// askDoubtful returns the member to ask about a flow whose binding at the owner
// is not trusted, or nil when it is the turn of the bound target. A target that
// answered is contradicted by the caller, so only others have a turn then.
func (c *packetContext) askDoubtful(others []*Member) *Member {
	turn := c.randomTurn()
	contradicted := c.strong() && c.entry.Strength == state.StrengthTentative && !halfOpen(&c.entry)
	if !contradicted && turn%2 == 0 {
		return nil
	}
	return others[turn/2%min(len(others), likelyMembers)]
}

// randomTurn returns a number that changes with each interval. Numbers in
// sequence would repeat in step with retransmissions, whose intervals double.
func (c *packetContext) randomTurn() int {
	interval := uint64(c.stamp) / uint64(askInterval.Milliseconds())
	return int(state.Mix(state.FlowHash(c.flow), interval) >> 1)
}

// asked returns how many intervals with packets there were since the search for
// the holder of the flow began. An entry without binding keeps the number and
// the start of the present interval in its tags.
func (d *Dispatcher) asked(c *packetContext) int {
	e := &c.entry
	if c.stamp.Since(state.Timestamp(e.AnswerTag)) >= askInterval {
		e.AnswerTag = uint32(c.stamp)
		e.OpenerTag++
	}
	d.save(c)
	return int(e.OpenerTag)
}

// lastResort uses a doubtful binding, or else the choices of the present table
// and of earlier ones in turn. A wrong guess reaches a target without the
// connection; its reset is held back.
func (d *Dispatcher) lastResort(c *packetContext) Decision {
	if c.known && c.entry.HasTarget() {
		if c.strong() && c.entry.Strength == state.StrengthTentative && !halfOpen(&c.entry) {
			return drop(ReasonContradicted)
		}
		return d.forward(c, c.entry.Target, ReasonUncertain)
	}
	choices := d.tableChoices(c.service, c.flow)
	if c.service.Protocol == objects.ProtocolUDP || len(choices) == 0 {
		return drop(ReasonUnknownFlow)
	}
	turn := c.randomTurn()
	if c.known && c.entry.Has(state.FlagLookupPending) {
		turn = int(c.entry.OpenerTag)
	}
	turn %= len(choices)
	if turn == 0 {
		return d.forward(c, choices[0], ReasonTableChoice)
	}
	return d.forward(c, choices[turn], ReasonPreviousChoice)
}

// tableChoices returns the targets that the tables name for a flow, latest table first.
func (d *Dispatcher) tableChoices(service *state.Service, flow protocol.FlowKey) []protocol.Endpoint {
	hash := state.FlowHash(flow)
	var choices []protocol.Endpoint
	for _, table := range d.history {
		s := table.Service(service.Address)
		if s == nil {
			continue
		}
		t := s.RendezvousTarget(hash)
		if t == nil || !d.mayForward(service, t.Endpoint) || slices.Contains(choices, t.Endpoint) {
			continue
		}
		choices = append(choices, t.Endpoint)
	}
	return choices
}
