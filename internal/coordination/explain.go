package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Targets returns the flow counts and states of the targets, sorted by name.
// The flow counts are those of the shards that this balancer owns or backs up, and 0
// if it owns no shard of the service.
func (d *Dispatcher) Targets(now time.Time) []TargetState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return nil
	}
	var all []TargetState
	d.table.ForEachService(func(s *state.Service) {
		for _, t := range s.Targets {
			all = append(all, d.targetState(now, s, t))
		}
	})
	slices.SortFunc(all, func(a, b TargetState) int { return strings.Compare(a.Target, b.Target) })
	return all
}

func (d *Dispatcher) targetState(now time.Time, s *state.Service, t *state.Target) TargetState {
	counts := d.serviceState(s.Address).loadCounts
	load := counts.Load(t.Endpoint)
	result := TargetState{Target: t.Name, Pool: t.Pool, Service: s.Name}
	if d.ownsAnyShard(s) {
		result.OpenFlows = uint64(load.OpenFlows)
	}
	result.State, result.Reason = load.State(now)
	if reason := counts.IneligibleReason(s, t); reason != "" {
		result.Reason = reason
		result.State = "draining"
		if !t.Drain && !load.Condition.Draining {
			result.State = "full"
		}
	}
	return result
}

func (d *Dispatcher) ownsAnyShard(s *state.Service) bool {
	for i := range d.shardCount(s) {
		if shard := d.shards[shardKey{serviceHash: s.Hash, index: i}]; shard != nil && shard.role == roleOwner {
			return true
		}
	}
	return false
}

// ExplainFlow describes a flow for operators, one fact per line: its owner,
// backup and target, and why that target was chosen.
func (d *Dispatcher) ExplainFlow(now time.Time, flow protocol.FlowKey) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return []string{"no configuration in force"}
	}
	s, removed := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
	if s == nil {
		return []string{fmt.Sprintf("no service at %s in generation %d", flow.Service, d.table.Generation)}
	}
	shard := d.shardOf(s, flow)
	lines := []string{
		fmt.Sprintf("service %s, generation %d, shard %d of %d", s.Name, d.table.Generation, shard.key.index, d.shardCount(s)),
		fmt.Sprintf("owner %s, backup %s, this balancer %s", vmNameOrNone(shard.owner()), vmNameOrNone(shard.backup()), d.options.Self),
	}
	if removed {
		lines = append(lines, "the service was removed; established flows continue")
	}
	lines = append(lines, d.explainEntry(now, shard, flow)...)
	lines = append(lines, d.explainChoice(shard, flow)...)
	if choice := s.RendezvousTarget(state.FlowHash(flow)); choice != nil {
		lines = append(lines, fmt.Sprintf("the target that the table chooses by hash is %s", choice.Name))
	}
	if shard.role == roleNone {
		return lines // only owner and backup count flows
	}
	return append(lines, d.explainTargets(now, s)...)
}

func (d *Dispatcher) explainEntry(now time.Time, shard *shardState, flow protocol.FlowKey) []string {
	e, known := d.flows.Get(flow)
	if !known {
		return []string{"the flow is unknown here", d.explainUnknownFlow(shard)}
	}
	stamp := state.NewTimestamp(now)
	age := fmt.Sprintf("known for %s, last packet %s ago", stamp.Since(e.Created), stamp.Since(e.LastSeen))
	switch {
	case e.Has(state.FlagRefused):
		return []string{"refused, no target had room; " + age}
	case e.Has(state.FlagLookupPending):
		return []string{"no binding; packets are relayed to other balancers that may have one; " + age, d.explainUnknownFlow(shard)}
	}
	strength := "weak"
	if shard.isAuthoritative(&e) {
		strength = e.Strength.String()
	}
	lines := []string{fmt.Sprintf("target %s, binding %s, %s", d.formatTarget(flow, e.Target), strength, age)}
	if e.Has(state.FlagUnverified) {
		lines = append(lines, "a packet contradicted the binding; "+d.explainUnknownFlow(shard))
	} else {
		lines = append(lines, "packets that agree with the binding go from here to the target without a relay; "+explainOpenerRelays(shard))
	}
	if e.Has(state.FlagClosed) {
		lines = append(lines, "the flow is closed")
	}
	return lines
}

func (d *Dispatcher) explainTargets(now time.Time, s *state.Service) []string {
	var lines []string
	counts := d.serviceState(s.Address).loadCounts
	for _, t := range s.Targets {
		status, load := d.targetState(now, s, t), counts.Load(t.Endpoint)
		line := fmt.Sprintf("target %s: %s, %d open, %d of %d slots taken", t.Name, status.State, load.OpenFlows, load.RunningRequests, s.Pool.Slots)
		if status.Reason != "" {
			line += ", " + status.Reason
		}
		lines = append(lines, line)
	}
	return lines
}

func vmNameOrNone(m *Member) string {
	if m == nil {
		return "none"
	}
	return m.VM
}
