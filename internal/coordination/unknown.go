package coordination

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// lookupInterval is how long the owner relays the packets of an unknown flow to
	// one member before it tries the next. It is about one retransmission timeout.
	lookupInterval = 200 * time.Millisecond
	// lookupResetTimeout is how long resets from targets are dropped for an unknown flow.
	lookupResetTimeout = 3 * time.Second
	// maxUncertainBindingCandidates is the number of members that packets of a flow
	// with an uncertain binding are relayed to, former owners and backups first.
	maxUncertainBindingCandidates = 3
	// tableChoiceIntervals is the number of lookup intervals in which the targets that
	// the recent tables select by hash are tried, after all members were tried.
	tableChoiceIntervals = 2
)

// handleUnknownFlow handles a packet of an established flow that has no binding at
// this balancer, or an uncertain one: unverified or contradicted by the packet. The
// packet is relayed to the owner, and from there to a balancer that may know the flow.
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
		if m := d.nextLookupCandidate(c); m != nil {
			return relay(m, ReasonToFormerOwner)
		}
	}
	return d.forwardFallback(c)
}

// nextLookupCandidate returns the member that may know the flow and receives its packets
// in this lookup interval, or nil when forwardFallback must handle the packet. The owner
// changes the member with each interval, not with each packet, so that packets that
// arrive together take the same path.
func (d *Dispatcher) nextLookupCandidate(c *packetContext) *Member {
	candidates := d.lookupCandidates(c.shard, c.in.From)
	if len(candidates) == 0 {
		return nil
	}
	if !c.isOwner() {
		return candidates[0]
	}
	if !c.known {
		c.entry = state.Entry{Flags: state.FlagLookupPending, Created: c.stamp, AnswerTag: uint32(c.stamp)}
	}
	if !c.entry.Has(state.FlagLookupPending) {
		return c.candidateForUncertainBinding(candidates)
	}
	turn := d.lookupIntervals(c) % (len(candidates) + tableChoiceIntervals)
	if turn >= len(candidates) {
		return nil
	}
	return candidates[turn]
}

// candidateForUncertainBinding returns the member that receives the packets of a
// flow whose binding at the owner is uncertain, or nil when they go to the bound
// target. When the target has answered and the caller contradicts its answer,
// the packets go to other members only.
func (c *packetContext) candidateForUncertainBinding(candidates []*Member) *Member {
	turn := c.pseudoRandomTurn()
	contradicted := c.isAuthoritative() && c.entry.Strength == state.StrengthTentative && !isHalfOpen(&c.entry)
	if !contradicted && turn%2 == 0 {
		return nil
	}
	return candidates[turn/2%min(len(candidates), maxUncertainBindingCandidates)]
}

// pseudoRandomTurn returns a number that is derived from the flow and the current
// lookup interval. A sequential number could stay in step with retransmissions, whose
// intervals double, so that they would always take the same path.
func (c *packetContext) pseudoRandomTurn() int {
	intervalIndex := uint64(c.stamp) / uint64(lookupInterval.Milliseconds())
	return int(state.Mix(state.FlowHash(c.flow), intervalIndex) >> 1)
}

// lookupIntervals returns the number of lookup intervals with packets since the lookup
// of the flow at other members began. An entry without a binding stores this
// number in OpenerTag and the start of the current interval in AnswerTag.
func (d *Dispatcher) lookupIntervals(c *packetContext) int {
	e := &c.entry
	if c.stamp.Since(state.Timestamp(e.AnswerTag)) >= lookupInterval {
		e.AnswerTag = uint32(c.stamp)
		e.OpenerTag++
	}
	d.storeEntry(c)
	return int(e.OpenerTag)
}

// forwardFallback forwards a packet to the target of an uncertain binding. Without
// a binding it uses the targets that the recent tables select by hash, in turn. If
// such a target does not have the connection, its reset is dropped.
func (d *Dispatcher) forwardFallback(c *packetContext) Decision {
	if c.known && c.entry.HasTarget() {
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
	if c.known && c.entry.Has(state.FlagLookupPending) {
		turn = int(c.entry.OpenerTag)
	}
	turn %= len(choices)
	if turn == 0 {
		return d.forward(c, choices[0], ReasonTableChoice)
	}
	return d.forward(c, choices[turn], ReasonPreviousTableChoice)
}

// tableChoices returns the targets that the recent tables select for a flow by
// rendezvous hashing, latest table first.
func (d *Dispatcher) tableChoices(service *state.Service, flow protocol.FlowKey) []protocol.Endpoint {
	hash := state.FlowHash(flow)
	var choices []protocol.Endpoint
	for _, table := range d.recentTables {
		s := table.Service(service.Address)
		if s == nil {
			continue
		}
		t := s.RendezvousTarget(hash)
		if t == nil || !d.belongsToService(service, t.Endpoint) || slices.Contains(choices, t.Endpoint) {
			continue
		}
		choices = append(choices, t.Endpoint)
	}
	return choices
}
