package coordination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// rankedMembers is how many members of the rendezvous order of a shard are
// kept: owner, backup, and those that are asked about unknown flows.
const rankedMembers = 8

// ring names owner and backup of each shard under one view.
type ring struct {
	members []Member
	hashes  []uint64
}

// shardKey names one shard of a service.
type shardKey struct {
	service uint64
	shard   int
}

// newRing makes the ring of a view. Leaving members own nothing, unless all leave.
func newRing(view View) *ring {
	r := &ring{}
	for _, m := range view.Members {
		if !m.Leaving {
			r.members = append(r.members, m)
		}
	}
	if len(r.members) == 0 {
		r.members = slices.Clone(view.Members)
	}
	for _, m := range r.members {
		r.hashes = append(r.hashes, xxhash.Sum64String(m.VM))
	}
	return r
}

type ranked struct {
	score  uint64
	member *Member
}

// top returns the first members in rendezvous order for a shard.
func (r *ring) top(k shardKey) []*Member {
	key := state.Mix(k.service, uint64(k.shard)+1)
	best := make([]ranked, 0, rankedMembers+1)
	for i := range r.members {
		one := ranked{score: state.Mix(key, r.hashes[i]), member: &r.members[i]}
		at, _ := slices.BinarySearchFunc(best, one, compareRanked)
		if at < rankedMembers {
			best = slices.Insert(best, at, one)
			best = best[:min(len(best), rankedMembers)]
		}
	}
	top := make([]*Member, len(best))
	for i := range best {
		top[i] = best[i].member
	}
	return top
}

func compareRanked(a, b ranked) int {
	if byScore := cmp.Compare(b.score, a.score); byScore != 0 {
		return byScore
	}
	return cmp.Compare(a.member.VM, b.member.VM)
}
