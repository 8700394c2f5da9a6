// Package feed decides which balancers read the platform and which follow
// another balancer, so that the number of calls to the platform stays flat as
// the fleet grows. It is pure code.
//
// The balancers of a place form a tree that each derives alone from the list of
// members: they are put in rendezvous order, and each follows the one that
// stands at its position divided by the fanout. The first one reads the
// platform. A balancer whose data are older than a limit reads by itself, so
// nothing depends on the tree being the same everywhere, or on its parents being alive.
package feed

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// Fanout is how many balancers follow one. With six followers and a parent, the
	// probes of a balancer take 1.9 KB a second at a bound of 3 s, within the budget of
	// 2 KB; the 160 balancers of a place at the size of two years stand in three levels
	// below the first one, as they do with eight.
	Fanout = 6
	// silentProbes is the number of unanswered probes after which a parent is passed over.
	maxUnansweredProbes = 4
	// silentPause is how long a silent parent is passed over before it is asked again.
	parentRetryDelay = 10 * time.Second
)

// Member is one balancer of the place.
type Member struct {
	VM string
	// Address receives probes (UDP) and requests (TCP).
	Address netip.AddrPort
}

// Follower decides for one balancer.
type Follower struct {
	self string
	// limit is the age from which the data are too old to rely on a parent.
	maxAge time.Duration

	ancestors []Member
	// unanswered counts the probes in a row that the present parent left unanswered.
	unanswered        int
	unresponsiveSince map[string]time.Time
	// asOf is when the data of the parent were last known to be the platform's.
	asOf time.Time
}

// NewFollower returns a follower that reads the platform until it knows members.
func NewFollower(self string, maxAge time.Duration) *Follower {
	return &Follower{self: self, maxAge: maxAge, unresponsiveSince: make(map[string]time.Time)}
}

// SetMembers replaces the list of the balancers of the place.
func (f *Follower) SetMembers(members []Member) {
	f.ancestors = treeAncestors(f.self, members)
}

// ancestors returns the balancers above one in the tree, the nearest first. A
// balancer that is not in the list has none.
func treeAncestors(self string, members []Member) []Member {
	ordered := slices.Clone(members)
	hash := func(m Member) uint64 { return state.Mix(xxhash.Sum64String(m.VM), 0) }
	slices.SortFunc(ordered, func(a, b Member) int { return cmp.Compare(hash(a), hash(b)) })
	position := slices.IndexFunc(ordered, func(m Member) bool { return m.VM == self })
	var path []Member
	for position > 0 {
		position = (position - 1) / Fanout
		path = append(path, ordered[position])
	}
	return path
}

// Parent returns the balancer to follow: the nearest one above that is not silent.
func (f *Follower) Parent(now time.Time) (Member, bool) {
	for _, m := range f.ancestors {
		if since, unresponsive := f.unresponsiveSince[m.VM]; !unresponsive || now.Sub(since) >= parentRetryDelay {
			return m, true
		}
	}
	return Member{}, false
}

// Probed notes that a probe is sent to the parent.
func (f *Follower) RecordProbe(now time.Time, parent Member) {
	f.unanswered++
	if f.unanswered > maxUnansweredProbes {
		f.unresponsiveSince[parent.VM] = now
		f.unanswered = 0
	}
}

// Heard notes the answer of a parent whose data were the platform's at a time.
func (f *Follower) RecordAnswer(parent Member, asOf time.Time) {
	delete(f.unresponsiveSince, parent.VM)
	f.unanswered = 0
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// Reads reports whether the balancer must read the platform by itself.
func (f *Follower) MustReadPlatform(now time.Time) bool {
	if _, ok := f.Parent(now); !ok {
		return true
	}
	return now.Sub(f.asOf) > f.maxAge
}
