package coordination

import (
	"net/netip"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// formerMembers is how many former owners and backups of a shard are remembered.
const formerMembers = 4

// role is the part of this balancer in a shard.
type role uint8

const (
	roleNone role = iota
	roleBackup
	roleOwner
)

// shardState is what a balancer knows about one shard under the present view.
type shardState struct {
	key shardKey
	// ranked are the live members in rendezvous order: owner, backup, others.
	ranked []*Member
	// former are the VM names of former owners and backups, latest first.
	former []string
	role   role
	// epoch counts the changes of owner or backup.
	epoch uint16
	// roleEpoch is the epoch in which this balancer became owner or backup.
	// Bindings of earlier epochs were kept while others decided, so they are weak.
	roleEpoch uint16
	changedAt state.Timestamp
	// gainedAt is when this balancer became owner.
	gainedAt time.Time
	// newcomers are the VM names that must learn the flows of the shard from this balancer.
	newcomers []string
}

func (s *shardState) owner() *Member  { return s.rank(0) }
func (s *shardState) backup() *Member { return s.rank(1) }

func (s *shardState) rank(i int) *Member {
	if i >= len(s.ranked) {
		return nil
	}
	return s.ranked[i]
}

// holders returns the VM names of owner and backup.
func (s *shardState) holders() []string {
	var names []string
	for _, m := range s.ranked[:min(len(s.ranked), 2)] {
		names = append(names, m.VM)
	}
	return names
}

func (s *shardState) roleOf(vm string) role {
	switch i := slices.Index(s.holders(), vm); i {
	case 0:
		return roleOwner
	case 1:
		return roleBackup
	}
	return roleNone
}

// strong reports whether an entry was bound or passed while this balancer was owner or backup.
func (s *shardState) strong(e *state.Entry) bool {
	return s.role != roleNone && int16(e.Epoch-s.roleEpoch) >= 0
}

// shardOf returns the shard of a flow.
func (d *Dispatcher) shardOf(s *state.Service, flow protocol.FlowKey) *shardState {
	k := d.shardCount(s)
	key := shardKey{service: s.Hash}
	if k > 1 {
		key.shard = int(state.FlowHash(flow) % uint64(k))
	}
	if shard, ok := d.shards[key]; ok {
		return shard
	}
	return d.addShard(key)
}

func (d *Dispatcher) shardCount(s *state.Service) int {
	if d.options.Shards > 0 {
		return d.options.Shards
	}
	return s.Shards
}

func (d *Dispatcher) addShard(key shardKey) *shardState {
	s := &shardState{key: key, ranked: d.ring.top(key)}
	s.role = s.roleOf(d.options.Self)
	d.shards[key] = s
	return s
}

// move puts a new ring in force for a shard. It returns whether this balancer
// began or ceased to be one of owner and backup.
func (d *Dispatcher) move(now time.Time, s *shardState) bool {
	before, was := s.holders(), s.role
	s.ranked = d.ring.top(s.key)
	after := s.holders()
	if slices.Equal(before, after) {
		return false
	}
	s.epoch++
	s.changedAt = state.NewTimestamp(now)
	s.role = s.roleOf(d.options.Self)
	if s.role != roleNone && was == roleNone {
		s.roleEpoch = s.epoch
	}
	if s.role == roleOwner && was != roleOwner {
		s.gainedAt = now
	}
	s.remember(before)
	d.assignHandoff(s, before, after)
	return (s.role == roleNone) != (was == roleNone)
}

func (s *shardState) remember(holders []string) {
	for _, vm := range slices.Backward(holders) {
		s.former = slices.DeleteFunc(s.former, func(x string) bool { return x == vm })
		s.former = slices.Insert(s.former, 0, vm)
	}
	s.former = s.former[:min(len(s.former), formerMembers)]
}

// others returns the members that may know a flow of the shard, most likely
// first, without this balancer, the sender and the present owner.
func (d *Dispatcher) others(s *shardState, sender netip.AddrPort) []*Member {
	var list []*Member
	add := func(m *Member) {
		if m == nil || m.VM == d.options.Self || m.Data == sender || slices.Contains(list, m) {
			return
		}
		if owner := s.owner(); owner != nil && owner.VM == m.VM {
			return
		}
		list = append(list, m)
	}
	for _, vm := range s.former {
		add(d.members[vm])
	}
	for _, m := range s.ranked {
		add(d.members[m.VM])
	}
	return list
}
