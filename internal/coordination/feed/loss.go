package feed

import (
	"net/netip"
	"time"
)

// maxLossAge is how long the counts of another balancer are used. It is longer than the
// interval at which they are sent for the longest propagation delays.
const maxLossAge = 20 * time.Second

// LossCounts are numbers of recent packets, and of those that were lost.
type LossCounts struct{ Packets, Lost float64 }

func (c LossCounts) plus(other LossCounts) LossCounts {
	return LossCounts{Packets: c.Packets + other.Packets, Lost: c.Lost + other.Lost}
}

// LossAggregate sums the loss counts of a place along the tree. In a large place each
// balancer sees too few packets to tell loss from dead targets for minutes after its start,
// all of them together see enough in seconds.
type LossAggregate struct {
	followers map[netip.AddrPort]lossReport
	parent    lossReport
}

type lossReport struct {
	counts     LossCounts
	receivedAt time.Time
}

func (r lossReport) current(now time.Time) bool {
	return !r.receivedAt.IsZero() && now.Sub(r.receivedAt) <= maxLossAge
}

// RecordFollower records the counts of the subtree of a follower.
func (a *LossAggregate) RecordFollower(now time.Time, follower netip.AddrPort, counts LossCounts) {
	if a.followers == nil {
		a.followers = make(map[netip.AddrPort]lossReport)
	}
	a.followers[follower] = lossReport{counts, now}
}

// RecordParent records the counts of the place, as the parent knows them.
func (a *LossAggregate) RecordParent(now time.Time, counts LossCounts) {
	a.parent = lossReport{counts, now}
}

// Subtree returns the counts of this balancer, given by own, and its descendants.
func (a *LossAggregate) Subtree(now time.Time, own LossCounts) LossCounts {
	sum := own
	for follower, r := range a.followers {
		if !r.current(now) {
			delete(a.followers, follower)
			continue
		}
		sum = sum.plus(r.counts)
	}
	return sum
}

// Place returns the counts of the whole place, or of the subtree while no parent has sent
// them.
func (a *LossAggregate) Place(now time.Time, own LossCounts) LossCounts {
	if a.parent.current(now) {
		return a.parent.counts
	}
	return a.Subtree(now, own)
}
