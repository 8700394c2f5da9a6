package coordination

import (
	"net/netip"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxFormerReplicas is how many former owners and backups of a shard are kept.
const maxFormerReplicas = 4

// role is the role of this balancer for a shard.
type role uint8

const (
	roleNone role = iota
	roleBackup
	roleOwner
)

// shardState is the ownership of one shard under the current view.
type shardState struct {
	key shardKey
	// ranked are the live members by rendezvous score: owner, backup, then others.
	ranked []*Member
	// formerReplicas are the VM names of former owners and backups, latest first.
	formerReplicas []string
	role           role
	// epoch counts the changes of owner or backup.
	epoch uint16
	// roleEpoch is the epoch in which this balancer became owner or backup.
	// Bindings of earlier epochs were learned while other balancers were owner and
	// backup, so they are not authoritative.
	roleEpoch uint16
	changedAt state.Timestamp
	// ownerSince is when this balancer became owner.
	ownerSince time.Time
	// handoffRecipients are the VM names that this balancer must send the flows of the shard to.
	handoffRecipients []string
}

func (s *shardState) owner() *Member  { return s.memberAt(0) }
func (s *shardState) backup() *Member { return s.memberAt(1) }

func (s *shardState) memberAt(i int) *Member {
	if i >= len(s.ranked) {
		return nil
	}
	return s.ranked[i]
}

// replicas returns the VM names of owner and backup, in this order.
func (s *shardState) replicas() []string {
	var names []string
	for _, m := range s.ranked[:min(len(s.ranked), 2)] {
		names = append(names, m.VM)
	}
	return names
}

func (s *shardState) roleOf(vm string) role {
	switch i := slices.Index(s.replicas(), vm); i {
	case 0:
		return roleOwner
	case 1:
		return roleBackup
	}
	return roleNone
}

// isAuthoritative reports whether an entry was stored or updated since this
// balancer became owner or backup of the shard.
func (s *shardState) isAuthoritative(e *state.Entry) bool {
	return s.role != roleNone && int16(e.Epoch-s.roleEpoch) >= 0
}

// shardOf returns the shard of a flow.
func (d *Dispatcher) shardOf(s *state.Service, flow protocol.FlowKey) *shardState {
	count := d.shardCount(s)
	key := shardKey{serviceHash: s.Hash}
	if count > 1 {
		key.index = int(state.FlowHash(flow) % uint64(count))
	}
	if shard, ok := d.shards[key]; ok {
		return shard
	}
	return d.addShard(key)
}

func (d *Dispatcher) shardCount(s *state.Service) int {
	if d.options.ShardsPerService > 0 {
		return d.options.ShardsPerService
	}
	return s.Shards
}

func (d *Dispatcher) addShard(key shardKey) *shardState {
	s := &shardState{key: key, ranked: d.ranking.topMembers(key)}
	s.role = s.roleOf(d.options.Self)
	d.shards[key] = s
	return s
}

// reassignShard recomputes owner and backup of a shard from the current view. It
// returns whether this balancer became one of the two, or is neither any more.
func (d *Dispatcher) reassignShard(now time.Time, s *shardState) bool {
	oldReplicas, oldRole := s.replicas(), s.role
	s.ranked = d.ranking.topMembers(s.key)
	newReplicas := s.replicas()
	if slices.Equal(oldReplicas, newReplicas) {
		return false
	}
	s.epoch++
	s.changedAt = state.NewTimestamp(now)
	s.role = s.roleOf(d.options.Self)
	if s.role != roleNone && oldRole == roleNone {
		s.roleEpoch = s.epoch
	}
	if s.role == roleOwner && oldRole != roleOwner {
		s.ownerSince = now
	}
	s.recordFormerReplicas(oldReplicas)
	d.scheduleHandoff(s, oldReplicas, newReplicas)
	return (s.role == roleNone) != (oldRole == roleNone)
}

func (s *shardState) recordFormerReplicas(replicas []string) {
	for _, vm := range slices.Backward(replicas) {
		s.formerReplicas = slices.DeleteFunc(s.formerReplicas, func(x string) bool { return x == vm })
		s.formerReplicas = slices.Insert(s.formerReplicas, 0, vm)
	}
	s.formerReplicas = s.formerReplicas[:min(len(s.formerReplicas), maxFormerReplicas)]
}

// lookupCandidates returns the members that may have a binding for a flow of the
// shard, most likely first. It leaves out this balancer, the sender and the
// current owner.
func (d *Dispatcher) lookupCandidates(s *shardState, sender netip.AddrPort) []*Member {
	var candidates []*Member
	add := func(m *Member) {
		if m == nil || m.VM == d.options.Self || m.DataAddress == sender || slices.Contains(candidates, m) {
			return
		}
		if owner := s.owner(); owner != nil && owner.VM == m.VM {
			return
		}
		candidates = append(candidates, m)
	}
	for _, vm := range s.formerReplicas {
		add(d.members[vm])
	}
	for _, m := range s.ranked {
		add(d.members[m.VM])
	}
	return candidates
}
