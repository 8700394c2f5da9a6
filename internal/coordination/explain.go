package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Targets reports counts and states of the targets, by name. Open flows are
// counted by the owner of a service and reported as 0 elsewhere.
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
	counts := d.serviceState(s.Address).counts
	load := counts.Load(t.Endpoint)
	one := TargetState{Target: t.Name, Pool: t.Pool, Service: s.Name}
	if d.ownsAny(s) {
		one.OpenFlows = uint64(load.OpenFlows)
	}
	one.State, one.Reason = load.State(now)
	if closed := counts.IneligibleReason(s, t); closed != "" {
		one.Reason = closed
		one.State = "draining"
		if !t.Drain && !load.Condition.Draining {
			one.State = "full"
		}
	}
	return one
}

func (d *Dispatcher) ownsAny(s *state.Service) bool {
	for i := range d.shardCount(s) {
		if shard := d.shards[shardKey{service: s.Hash, shard: i}]; shard != nil && shard.role == roleOwner {
			return true
		}
	}
	return false
}

// ExplainFlow tells owner, backup, target and the reasons of the choice, one fact a line.
func (d *Dispatcher) ExplainFlow(now time.Time, flow protocol.FlowKey) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return []string{"no configuration in force"}
	}
	s, gone := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
	if s == nil {
		return []string{fmt.Sprintf("no service at %s in generation %d", flow.Service, d.table.Generation)}
	}
	shard := d.shardOf(s, flow)
	lines := []string{
		fmt.Sprintf("service %s, generation %d, shard %d of %d", s.Name, d.table.Generation, shard.key.shard, d.shardCount(s)),
		fmt.Sprintf("owner %s, backup %s, this balancer %s", nameOf(shard.owner()), nameOf(shard.backup()), d.options.Self),
	}
	if gone {
		lines = append(lines, "the service was removed; established flows continue")
	}
	lines = append(lines, d.explainEntry(now, shard, flow)...)
	lines = append(lines, d.explainChoice(shard, flow)...)
	if choice := s.RendezvousTarget(state.FlowHash(flow)); choice != nil {
		lines = append(lines, fmt.Sprintf("the table alone names target %s", choice.Name))
	}
	if shard.role == roleNone {
		return lines // others count no flows
	}
	return append(lines, d.explainTargets(now, s)...)
}

func (d *Dispatcher) explainEntry(now time.Time, shard *shardState, flow protocol.FlowKey) []string {
	e, known := d.flows.Get(flow)
	if !known {
		return []string{"the flow is unknown here", d.explainUnknown(shard)}
	}
	stamp := state.NewTimestamp(now)
	age := fmt.Sprintf("known for %s, last packet %s ago", stamp.Since(e.Created), stamp.Since(e.LastSeen))
	switch {
	case e.Has(state.FlagRefused):
		return []string{"refused, no target had room; " + age}
	case e.Has(state.FlagLookupPending):
		return []string{"no binding; other balancers are asked; " + age, d.explainUnknown(shard)}
	}
	strength := "weak"
	if shard.strong(&e) {
		strength = e.Strength.String()
	}
	lines := []string{fmt.Sprintf("target %s, binding %s, %s", d.nameTarget(flow, e.Target), strength, age)}
	if e.Has(state.FlagUnverified) {
		lines = append(lines, "a packet contradicted the binding; "+d.explainUnknown(shard))
	} else {
		lines = append(lines, "packets that agree with the binding go from here to the target without a relay; "+relaysOfEnds(shard))
	}
	if e.Has(state.FlagClosed) {
		lines = append(lines, "the flow is closed")
	}
	return lines
}

func (d *Dispatcher) explainTargets(now time.Time, s *state.Service) []string {
	var lines []string
	counts := d.serviceState(s.Address).counts
	for _, t := range s.Targets {
		one, load := d.targetState(now, s, t), counts.Load(t.Endpoint)
		line := fmt.Sprintf("target %s: %s, %d open, %d of %d slots taken", t.Name, one.State, load.OpenFlows, load.RunningRequests, s.Pool.Slots)
		if one.Reason != "" {
			line += ", " + one.Reason
		}
		lines = append(lines, line)
	}
	return lines
}

func nameOf(m *Member) string {
	if m == nil {
		return "none"
	}
	return m.VM
}
