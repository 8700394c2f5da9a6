package coordination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxRankedMembers is how many of the members with the highest rendezvous scores
// are kept for each shard: owner, backup, and those that packets of unknown flows
// are relayed to.
const maxRankedMembers = 8

// rendezvousRanking ranks the members of one view for each shard by rendezvous
// hashing. The first member owns the shard and the second is its backup.
type rendezvousRanking struct {
	members    []Member
	nameHashes []uint64
}

// shardKey identifies one shard of a service.
type shardKey struct {
	serviceHash uint64
	index       int
}

// newRendezvousRanking returns the ranking of a view. Leaving members own no
// shards, unless all members are leaving.
func newRendezvousRanking(view View) *rendezvousRanking {
	r := &rendezvousRanking{}
	for _, m := range view.Members {
		if !m.Leaving {
			r.members = append(r.members, m)
		}
	}
	if len(r.members) == 0 {
		r.members = slices.Clone(view.Members)
	}
	for _, m := range r.members {
		r.nameHashes = append(r.nameHashes, xxhash.Sum64String(m.VM))
	}
	return r
}

type scoredMember struct {
	score  uint64
	member *Member
}

// topMembers returns the members with the highest scores for a shard, highest first.
func (r *rendezvousRanking) topMembers(key shardKey) []*Member {
	shardHash := state.Mix(key.serviceHash, uint64(key.index)+1)
	best := make([]scoredMember, 0, maxRankedMembers+1)
	for i := range r.members {
		candidate := scoredMember{score: state.Mix(shardHash, r.nameHashes[i]), member: &r.members[i]}
		position, _ := slices.BinarySearchFunc(best, candidate, compareScoredMembers)
		if position < maxRankedMembers {
			best = slices.Insert(best, position, candidate)
			best = best[:min(len(best), maxRankedMembers)]
		}
	}
	members := make([]*Member, len(best))
	for i := range best {
		members[i] = best[i].member
	}
	return members
}

func compareScoredMembers(a, b scoredMember) int {
	if byScore := cmp.Compare(b.score, a.score); byScore != 0 {
		return byScore
	}
	return cmp.Compare(a.member.VM, b.member.VM)
}
