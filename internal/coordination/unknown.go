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
	searchInterval = 200 * time.Millisecond
	// askTime is how long resets of targets are held back for an unknown flow.
	searchResetTimeout = 3 * time.Second
	// likelyMembers is how many members are asked in turn about a flow whose
	// binding is doubtful: its former owners and backups come first.
	maxDoubtfulCandidates = 3
	// guesses is how many intervals the table's choices are tried after all members were asked.
	tableChoiceIntervals = 2
)

// unknown decides about a packet within a flow that has no trusted binding
// here. It goes to the owner, then to a balancer that may know the flow.
func (d *Dispatcher) handleUnknownFlow(c *packetContext) Decision {
	if c.serviceRemoved && !c.known {
		return drop(ReasonServiceRemoved)
	}
	owner := c.shard.owner()
	if !c.isOwner() && c.mayRelay(owner) {
		return relay(owner, ReasonToOwner)
	}
	if d.options.Variant == VariantBounded {
		return d.forwardFallback(c)
	}
	if c.in.Hops < maxHops {
		if m := d.nextCandidate(c); m != nil {
			return relay(m, ReasonToFormerOwner)
		}
	}
	return d.forwardFallback(c)
}

// ask returns the next member to ask about the flow, or nil when it is time to
// use the choice of the table. The owner goes through the members by time, so
// that the packets of one moment take the same way.
func (d *Dispatcher) nextCandidate(c *packetContext) *Member {
	others := d.others(c.shard, c.in.From)
	if len(others) == 0 {
		return nil
	}
	if !c.isOwner() {
		return others[0]
	}
	if !c.known {
		c.entry = state.Entry{Flags: state.FlagAsking, Created: c.stamp, AnswerTag: uint32(c.stamp)}
	}
	if !c.entry.Has(state.FlagAsking) {
		return c.nextDoubtfulCandidate(others)
	}
	turn := d.searchIntervals(c) % (len(others) + tableChoiceIntervals)
	if turn >= len(others) {
		return nil
	}
	return others[turn]
}

// askDoubtful returns the member to ask about a flow whose binding at the owner
// is not trusted, or nil when it is the turn of the bound target. A target that
// answered is contradicted by the caller, so only others have a turn then.
func (c *packetContext) nextDoubtfulCandidate(others []*Member) *Member {
	turn := c.pseudoRandomTurn()
	contradicted := c.isAuthoritative() && c.entry.Strength == state.StrengthTentative && !isHalfOpen(&c.entry)
	if !contradicted && turn%2 == 0 {
		return nil
	}
	return others[turn/2%min(len(others), maxDoubtfulCandidates)]
}

// randomTurn returns a number that changes with each interval. Numbers in
// sequence would repeat in step with retransmissions, whose intervals double.
func (c *packetContext) pseudoRandomTurn() int {
	intervalIndex := uint64(c.stamp) / uint64(searchInterval.Milliseconds())
	return int(state.Mix(state.FlowHash(c.flow), intervalIndex) >> 1)
}

// asked returns how many intervals with packets there were since the search for
// the holder of the flow began. An entry without binding keeps the number and
// the start of the present interval in its tags.
func (d *Dispatcher) searchIntervals(c *packetContext) int {
	e := &c.entry
	if c.stamp.Since(state.Stamp(e.AnswerTag)) >= searchInterval {
		e.AnswerTag = uint32(c.stamp)
		e.OpenerTag++
	}
	d.storeEntry(c)
	return int(e.OpenerTag)
}

// lastResort uses a doubtful binding, or else the choices of the present table
// and of earlier ones in turn. A wrong guess reaches a target without the
// connection; its reset is held back.
func (d *Dispatcher) forwardFallback(c *packetContext) Decision {
	if c.known && c.entry.Bound() {
		if c.isAuthoritative() && c.entry.Strength == state.StrengthTentative && !isHalfOpen(&c.entry) {
			return drop(ReasonContradictedBinding)
		}
		return d.forward(c, c.entry.Target, ReasonUncertainBinding)
	}
	choices := d.tableChoices(c.service, c.flow)
	if c.service.Protocol == objects.ProtocolUDP || len(choices) == 0 {
		return drop(ReasonUnknownFlow)
	}
	turn := c.pseudoRandomTurn()
	if c.known && c.entry.Has(state.FlagAsking) {
		turn = int(c.entry.OpenerTag)
	}
	turn %= len(choices)
	if turn == 0 {
		return d.forward(c, choices[0], ReasonTableChoice)
	}
	return d.forward(c, choices[turn], ReasonPreviousTableChoice)
}

// tableChoices returns the targets that the tables name for a flow, latest table first.
func (d *Dispatcher) tableChoices(service *state.Service, flow protocol.FlowKey) []protocol.Endpoint {
	hash := state.FlowHash(flow)
	var choices []protocol.Endpoint
	for _, table := range d.recentTables {
		s := table.Service(service.Address)
		if s == nil {
			continue
		}
		t := s.Choice(hash)
		if t == nil || !d.mayForward(service, t.Endpoint) || slices.Contains(choices, t.Endpoint) {
			continue
		}
		choices = append(choices, t.Endpoint)
	}
	return choices
}
