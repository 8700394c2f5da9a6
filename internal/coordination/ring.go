package coordination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// ring names owner and backup of each shard under one view.
type ring struct {
	members []Member
	hashes  []uint64
	ranks   map[shardKey][]int
}

type shardKey struct {
	service uint64
	shard   int
}

func newRing(view View) *ring {
	r := &ring{ranks: make(map[shardKey][]int)}
	for _, m := range view.Members {
		if m.Leaving {
			continue
		}
		r.members = append(r.members, m)
		r.hashes = append(r.hashes, xxhash.Sum64String(m.VM))
	}
	return r
}

// rank returns the indices of all members in rendezvous order for a shard: owner, backup, others.
func (r *ring) rank(k shardKey) []int {
	if order, ok := r.ranks[k]; ok {
		return order
	}
	key := state.Mix(k.service, uint64(k.shard)+1)
	order := make([]int, len(r.members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		byScore := cmp.Compare(state.Mix(key, r.hashes[b]), state.Mix(key, r.hashes[a]))
		if byScore != 0 {
			return byScore
		}
		return cmp.Compare(r.members[a].VM, r.members[b].VM)
	})
	r.ranks[k] = order
	return order
}

// at returns the member at a position of the rendezvous order, or nil.
func (r *ring) at(k shardKey, position int) *Member {
	order := r.rank(k)
	if position >= len(order) {
		return nil
	}
	return &r.members[order[position]]
}

func (d *Dispatcher) shard(s *state.Service, flow protocol.FlowKey) shardKey {
	return shardKey{service: s.Hash, shard: int(state.FlowHash(flow) % uint64(d.shards(s)))}
}

func (d *Dispatcher) shards(s *state.Service) int {
	if d.options.Shards > 0 {
		return d.options.Shards
	}
	return s.Shards
}
