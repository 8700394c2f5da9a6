package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// FlowOwner returns the VM that owns a flow, or an empty string if there is none.
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
	return vmName(d.shardOf(s, flow).owner())
}

// TargetOwners returns the VMs that own shards of the target's service and
// therefore assign new flows to the target.
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
			shard := d.shards[shardKey{serviceHash: s.Hash, index: i}]
			if shard == nil {
				continue
			}
			if vm := vmName(shard.owner()); vm != "" && !slices.Contains(owners, vm) {
				owners = append(owners, vm)
			}
		}
	})
	return owners
}

// OwnershipChanges returns the recent ownership changes and their causes, oldest first.
func (d *Dispatcher) OwnershipChanges() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownershipLog.Lines()
}

func vmName(m *Member) string {
	if m == nil {
		return ""
	}
	return m.VM
}

// ownershipChanges counts the shards whose owner or backup this balancer became
// or ceased to be under a new view.
type ownershipChanges struct {
	ownerGained, backupGained, ownerLost int
	// formerOwners are the VMs that owned the shards that this balancer took over.
	formerOwners []string
}

func (c *ownershipChanges) add(oldReplicas []string, oldRole role, s *shardState) {
	switch {
	case oldRole == s.role:
		return
	case s.role == roleOwner:
		c.ownerGained++
		if len(oldReplicas) > 0 && !slices.Contains(c.formerOwners, oldReplicas[0]) {
			c.formerOwners = append(c.formerOwners, oldReplicas[0])
		}
	case s.role == roleBackup && oldRole == roleNone:
		c.backupGained++
	case oldRole == roleOwner:
		c.ownerLost++
	}
}

// recordOwnershipChanges logs for operators how many shards this balancer took over
// or lost, and why. The flows that it knew as backup stay bound; it learns the
// others from return packets.
func (d *Dispatcher) recordOwnershipChanges(now time.Time, c ownershipChanges) {
	if c.ownerGained > 0 && len(c.formerOwners) > 0 {
		d.ownershipLog.Add(now, "owner of %d more shards%s", c.ownerGained, d.takeoverReason(c.formerOwners))
	}
	if c.backupGained > 0 && len(c.formerOwners)+c.ownerLost+c.ownerGained > 0 {
		d.ownershipLog.Add(now, "backup of %d more shards", c.backupGained)
	}
	if c.ownerLost > 0 {
		d.ownershipLog.Add(now, "no longer owner of %d shards: another balancer took over", c.ownerLost)
	}
}

func (d *Dispatcher) takeoverReason(formerOwners []string) string {
	var causes []string
	slices.Sort(formerOwners)
	for _, vm := range formerOwners {
		switch m := d.members[vm]; {
		case m == nil:
			causes = append(causes, vm+" is gone")
		case m.Leaving:
			causes = append(causes, vm+" is leaving")
		default:
			causes = append(causes, vm+" is no longer ranked first")
		}
	}
	return ", because " + strings.Join(causes, ", ")
}

// explainChoice describes why the target of a flow was chosen over the others.
func (d *Dispatcher) explainChoice(shard *shardState, flow protocol.FlowKey) []string {
	choice := d.decisions.latestChoice(flow)
	if choice == nil && shard.role == roleNone {
		return nil
	}
	if choice == nil {
		return []string{fmt.Sprintf("the choice of the target is not among the last %d decisions of this balancer", maxRecordedDecisions)}
	}
	lines := []string{fmt.Sprintf("%s in generation %d at %s: target %s, chosen from %d targets", choice.reason, choice.generation,
		choice.at.UTC().Format(time.RFC3339), d.formatTarget(flow, choice.target), choice.selection.TotalTargets)}
	for _, rejected := range choice.selection.Rejected {
		lines = append(lines, fmt.Sprintf("passed over then: target %s, %s", d.formatTarget(flow, rejected.Target), rejected.Reason))
	}
	if unlisted := choice.selection.TotalTargets - 1 - len(choice.selection.Rejected); unlisted > 0 {
		lines = append(lines, fmt.Sprintf("passed over then: %d more", unlisted))
	}
	return lines
}

// explainUnknownFlow describes how packets are relayed whose flow is unbound or has
// an unverified binding at this balancer.
func (d *Dispatcher) explainUnknownFlow(shard *shardState) string {
	if shard.role != roleOwner {
		return fmt.Sprintf("a packet that arrives here is relayed to the owner %s", vmNameOrNone(shard.owner()))
	}
	var names []string
	for _, m := range d.lookupCandidates(shard, shard.owner().DataAddress) {
		names = append(names, m.VM)
	}
	if len(names) == 0 {
		return "a packet that arrives here goes to the target that the table chooses by hash, without a relay"
	}
	return fmt.Sprintf("a packet that arrives here is relayed to %s in turn, then goes to the target that the table chooses by hash", strings.Join(names, ", "))
}

// explainOpenerRelays describes how openers, FINs and resets are relayed.
func explainOpenerRelays(shard *shardState) string {
	if shard.role == roleOwner {
		return "openers, FINs and resets are relayed to the backup at most"
	}
	return fmt.Sprintf("openers, FINs and resets are relayed to the owner %s", vmNameOrNone(shard.owner()))
}

// formatTarget returns the name and address of a target, or its address alone
// when the current configuration does not have it.
func (d *Dispatcher) formatTarget(flow protocol.FlowKey, target protocol.Endpoint) string {
	t := d.table.Target(state.Address{Endpoint: target, Transport: flow.Transport})
	if t == nil {
		return target.String() + " (not in the configuration in force)"
	}
	return fmt.Sprintf("%s (%s)", t.Name, target)
}
