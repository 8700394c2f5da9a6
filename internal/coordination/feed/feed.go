// Package feed decides for each balancer whether it reads routes and targets from the
// platform or replicates them from a parent balancer, so that the number of calls to
// the platform does not grow with the fleet. It does no I/O and reads no clock.
//
// The balancers of a place form a tree. Each balancer computes the tree from the list
// of members: it sorts the members by the hash of their VM names, and the parent of the
// member at position p is the one at position (p-1)/Fanout. The member at position 0 is
// the root and reads the platform. Any other balancer also reads the platform while its
// data are older than a maximum age, so correctness does not depend on all balancers
// computing the same tree or on the parents being alive.
//
// A balancer that has just started waits for a short time for the data of its parent.
// When hundreds of balancers start at once, the platform's link would otherwise be the
// bottleneck.
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
	// Fanout is the maximum number of followers of a balancer in the tree. With six
	// followers and a parent, the probes of a balancer take 1.9 KB per second if changes
	// must propagate within 3 s. The budget is 2 KB per second. The 160 balancers of a
	// place that are expected in two years form three levels below the root, as they
	// would with a fanout of eight.
	Fanout = 6
	// maxUnansweredProbes is the number of consecutive unanswered probes that are
	// tolerated. The next probe marks the parent as unresponsive.
	maxUnansweredProbes = 4
	// startTimeout is how long a balancer that has just started waits for data from an ancestor
	// before it reads the platform. Callers retransmit their openers after 200 ms.
	startTimeout = 200 * time.Millisecond
	// minMembersForStart is the number of members of a place from which a balancer that has
	// just started, or whose platform returns after an outage, waits for its parent. The balancers
	// of a smaller place are quicker when each reads the platform.
	minMembersForStart = 30
	// parentRetryDelay is how long an unresponsive parent is skipped before it is probed
	// again.
	parentRetryDelay = 10 * time.Second
)

// Member is a balancer of the place.
type Member struct {
	VM string
	// Address receives the probes (UDP) and requests (TCP) of followers.
	Address netip.AddrPort
}

// IsListed reports whether a balancer is in a member list.
func IsListed(vm string, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.VM == vm })
}

// Follower selects the parent of one balancer and tracks how recent the data are that
// the balancer replicates from it.
type Follower struct {
	self string
	// maxAge is the age above which replicated data are too old, so that the balancer
	// must read the platform.
	maxAge time.Duration
	// startDeadline is until when the balancer waits for its first data, zero when it does
	// not wait any more.
	startDeadline time.Time
	membersKnown  bool

	ancestors []Member
	// isLargePlace is set if the place has so many members that they must not all read the platform
	// at once.
	isLargePlace bool
	// unanswered counts the consecutive probes that were not answered.
	unanswered        int
	answered          bool // whether any probe was answered
	unresponsiveSince map[string]time.Time
	// asOf is the latest time at which the data were known to match the platform's.
	asOf time.Time
}

// NewFollower returns a follower without members and data that starts at the given time.
func NewFollower(self string, maxAge time.Duration, now time.Time) *Follower {
	return &Follower{self: self, maxAge: maxAge, startDeadline: now.Add(startTimeout), unresponsiveSince: make(map[string]time.Time)}
}

// SetMaxAge sets the age above which replicated data are too old.
func (f *Follower) SetMaxAge(maxAge time.Duration) { f.maxAge = maxAge }

// SetMembers replaces the list of members of the place.
func (f *Follower) SetMembers(members []Member) {
	f.ancestors = treeAncestors(f.self, members)
	f.membersKnown = true
	f.isLargePlace = len(members) >= minMembersForStart
	if !f.isLargePlace {
		f.EndStart()
	}
}

// EndStart ends the wait for the first data from an ancestor.
func (f *Follower) EndStart() { f.startDeadline = time.Time{} }

// Starting reports whether the balancer waits for its first data: it does not know its
// ancestors yet, or one of them may still answer.
func (f *Follower) Starting(now time.Time) bool {
	if !f.asOf.IsZero() || !now.Before(f.startDeadline) {
		return false
	}
	_, hasParent := f.Parent(now)
	return hasParent || !f.membersKnown
}

// treeAncestors returns the ancestors of a balancer in the tree, nearest first. A
// balancer that is not in the list has the place in the tree that it will have.
func treeAncestors(self string, members []Member) []Member {
	ordered := slices.Clone(members)
	if !IsListed(self, members) {
		ordered = append(ordered, Member{VM: self})
	}
	hash := func(m Member) uint64 { return state.Mix(xxhash.Sum64String(m.VM), 0) }
	slices.SortFunc(ordered, func(a, b Member) int { return cmp.Compare(hash(a), hash(b)) })
	position := slices.IndexFunc(ordered, func(m Member) bool { return m.VM == self })
	var ancestors []Member
	for position > 0 {
		position = (position - 1) / Fanout
		ancestors = append(ancestors, ordered[position])
	}
	return ancestors
}

// Parent returns the balancer to follow: the nearest ancestor that is not skipped as
// unresponsive. It reports false if there is none.
func (f *Follower) Parent(now time.Time) (Member, bool) {
	for _, m := range f.ancestors {
		if since, unresponsive := f.unresponsiveSince[m.VM]; !unresponsive || now.Sub(since) >= parentRetryDelay {
			return m, true
		}
	}
	return Member{}, false
}

// RecordProbe records that a probe is being sent to the parent, and marks the parent as
// unresponsive if too many probes in a row were not answered.
func (f *Follower) RecordProbe(now time.Time, parent Member) {
	f.unanswered++
	if f.unanswered > maxUnansweredProbes {
		f.unresponsiveSince[parent.VM] = now
		f.unanswered = 0
	}
}

// RecordAnswer records an answer of the parent. asOf is the time at which the parent's
// data were known to match the platform's, zero if the parent has no data.
func (f *Follower) RecordAnswer(parent Member, asOf time.Time) {
	delete(f.unresponsiveSince, parent.VM)
	f.unanswered, f.answered = 0, true
	f.RecordRead(asOf)
}

// RecordRead records that the balancer has read the platform itself: its data are known to
// match the platform's as of the given time.
func (f *Follower) RecordRead(asOf time.Time) {
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// HasResponsiveParent reports whether there is a parent that has answered the latest probes.
func (f *Follower) HasResponsiveParent(now time.Time) bool {
	_, ok := f.Parent(now)
	return ok && f.answered && f.unanswered <= 1
}

// Depth returns the number of balancers that data pass from one that reads the platform to this one, if
// the place is large and the parent answers. Otherwise it returns 0.
func (f *Follower) Depth(now time.Time) int {
	if !f.isLargePlace || !f.HasResponsiveParent(now) {
		return 0
	}
	return len(f.ancestors)
}

// DataAge returns how long ago the data were last known to match the platform's, 0 if they
// never were.
func (f *Follower) DataAge(now time.Time) time.Duration {
	if f.asOf.IsZero() {
		return 0
	}
	return now.Sub(f.asOf)
}

// MustReadPlatform reports whether the balancer must read the platform: it has no
// parent, or its data are older than the maximum age.
func (f *Follower) MustReadPlatform(now time.Time) bool {
	if f.Starting(now) {
		return false
	}
	if _, ok := f.Parent(now); !ok {
		return true
	}
	return now.Sub(f.asOf) > f.maxAge
}
