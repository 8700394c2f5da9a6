package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// FlowOwner returns the VM that decides about a flow; empty without one.
func (d *Dispatcher) FlowOwner(flow protocol.FlowKey) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return ""
	}
	s, _ := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
	if s == nil {
		return ""
	}
	return vmOf(d.shardOf(s, flow).owner())
}

// TargetOwners returns the VMs that choose the target for new flows.
func (d *Dispatcher) TargetOwners(target string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var owners []string
	if d.table == nil {
		return nil
	}
	d.table.ForEachService(func(s *state.Service) {
		if !slices.ContainsFunc(s.Targets, func(t *state.Target) bool { return t.Name == target }) {
			return
		}
		for i := range d.shardCount(s) {
			shard := d.shards[shardKey{service: s.Hash, shard: i}]
			if shard == nil {
				continue
			}
			if vm := vmOf(shard.owner()); vm != "" && !slices.Contains(owners, vm) {
				owners = append(owners, vm)
			}
		}
	})
	return owners
}

// Repairs tells the recent changes of ownership and their causes, oldest first.
func (d *Dispatcher) Repairs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.repairs.Lines()
}

func vmOf(m *Member) string {
	if m == nil {
		return ""
	}
	return m.VM
}

// ownershipMoves counts what one view changed for this balancer.
type ownershipMoves struct {
	owned, backed, given int
	// from are the former owners of shards that this balancer took over.
	from []string
}

func (m *ownershipMoves) note(before []string, was role, s *shardState) {
	switch {
	case was == s.role:
		return
	case s.role == roleOwner:
		m.owned++
		if len(before) > 0 && !slices.Contains(m.from, before[0]) {
			m.from = append(m.from, before[0])
		}
	case s.role == roleBackup && was == roleNone:
		m.backed++
	case was == roleOwner:
		m.given++
	}
}

// noteMoves tells what this balancer took over and why. Flows that it knew as
// backup stay bound; others are learned from return packets.
func (d *Dispatcher) noteMoves(now time.Time, m ownershipMoves) {
	if m.owned > 0 && len(m.from) > 0 {
		d.repairs.Add(now, "owner of %d more shards%s", m.owned, d.whyMoved(m.from))
	}
	if m.backed > 0 && len(m.from)+m.given+m.owned > 0 {
		d.repairs.Add(now, "backup of %d more shards", m.backed)
	}
	if m.given > 0 {
		d.repairs.Add(now, "no longer owner of %d shards: another balancer came in", m.given)
	}
}

func (d *Dispatcher) whyMoved(from []string) string {
	var gone []string
	slices.Sort(from)
	for _, vm := range from {
		switch m := d.members[vm]; {
		case m == nil:
			gone = append(gone, vm+" is gone")
		case m.Leaving:
			gone = append(gone, vm+" leaves")
		default:
			gone = append(gone, vm+" is no longer first in the order")
		}
	}
	return ", because " + strings.Join(gone, ", ")
}

// explainChoice tells why the target of a flow was chosen.
func (d *Dispatcher) explainChoice(shard *shardState, flow protocol.FlowKey) []string {
	choice := d.record.choiceOf(flow)
	if choice == nil && shard.role == roleNone {
		return nil
	}
	if choice == nil {
		return []string{fmt.Sprintf("the choice of the target is not among the last %d decisions of this balancer", recordedDecisions)}
	}
	lines := []string{fmt.Sprintf("%s in generation %d at %s: target %s, chosen from %d targets", choice.reason, choice.generation,
		choice.at.UTC().Format(time.RFC3339), d.nameTarget(flow, choice.target), choice.passed.TotalTargets)}
	for _, p := range choice.passed.Rejected {
		lines = append(lines, fmt.Sprintf("passed over then: target %s, %s", d.nameTarget(flow, p.Target), p.Reason))
	}
	if rest := choice.passed.TotalTargets - 1 - len(choice.passed.Rejected); rest > 0 {
		lines = append(lines, fmt.Sprintf("passed over then: %d more", rest))
	}
	return lines
}

// explainUnknown tells which way a packet of an unknown flow takes.
func (d *Dispatcher) explainUnknown(shard *shardState) string {
	if shard.role != roleOwner {
		return fmt.Sprintf("a packet that arrives here is relayed to the owner %s", nameOf(shard.owner()))
	}
	var names []string
	for _, m := range d.others(shard, shard.owner().Data) {
		names = append(names, m.VM)
	}
	if len(names) == 0 {
		return "a packet that arrives here goes to the choice of the table, without a relay"
	}
	return fmt.Sprintf("a packet that arrives here is relayed to %s in turn, then goes to the choice of the table", strings.Join(names, ", "))
}

func relaysOfEnds(shard *shardState) string {
	if shard.role == roleOwner {
		return "openers and ends are relayed to the backup at most"
	}
	return fmt.Sprintf("openers and ends are relayed to the owner %s", nameOf(shard.owner()))
}

// nameTarget names a target by the configuration in force, or by its address alone.
func (d *Dispatcher) nameTarget(flow protocol.FlowKey, target protocol.Endpoint) string {
	t := d.table.Target(state.Address{Endpoint: target, Transport: flow.Transport})
	if t == nil {
		return target.String() + " (not in the configuration in force)"
	}
	return fmt.Sprintf("%s (%s)", t.Name, target)
}
