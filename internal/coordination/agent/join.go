package agent

import "time"

const (
	// joinTime bounds how long a balancer that has just started waits for another one
	// to answer. It covers three exchanges with a seed; after it, a balancer that is
	// cut off serves alone.
	joinTimeout = 3 * seedExchangeInterval
	// settleTime is how long the view of a starting balancer must stay the same: in a
	// fleet of seven that starts at once, news of a member took up to 1.1 s without
	// the exchanges at joinInterval.
	viewSettleTime = time.Second
	// joinInterval is the time between two exchanges with a random peer until then.
	joinExchangeInterval = viewSettleTime / 4
)

// join tells when a balancer that has just started knows the others well enough to
// take packets. One that knows nobody takes itself for the owner of all flows, and
// can only guess the targets of those that others have opened.
type joinState struct {
	startedAt time.Time
	// viewAt is when the view last changed.
	viewChangedAt time.Time
	// listed is set once the VM list was read.
	vmListRead bool
	joined     bool
}

// update reports whether the balancer has joined just now. contacts tells whether
// seeds or the VM list name balancers that are not live members.
func (j *joinState) update(now time.Time, liveCount int, hasReconnectAddr bool) bool {
	if j.joined {
		return false
	}
	switch {
	case now.Sub(j.startedAt) >= joinTimeout:
		j.joined = true
	case liveCount > 1:
		j.joined = now.Sub(j.viewChangedAt) >= viewSettleTime
	default:
		j.joined = j.vmListRead && !hasReconnectAddr
	}
	return j.joined
}
