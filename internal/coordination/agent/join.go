package agent

import "time"

const (
	// joinTime bounds how long a balancer that has just started waits for another one
	// to answer. It covers three exchanges with a seed; after it, a balancer that is
	// cut off serves alone.
	joinTime = 3 * seedInterval
	// settleTime is how long the view of a starting balancer must stay the same: in a
	// fleet of seven that starts at once, news of a member took up to 1.1 s without
	// the exchanges at joinInterval.
	settleTime = time.Second
	// joinInterval is the time between two exchanges with a random peer until then.
	joinInterval = settleTime / 4
)

// join tells when a balancer that has just started knows the others well enough to
// take packets. One that knows nobody takes itself for the owner of all flows, and
// can only guess the targets of those that others have opened.
type join struct {
	started time.Time
	// viewAt is when the view last changed.
	viewAt time.Time
	// listed is set once the VM list was read.
	listed bool
	joined bool
}

// update reports whether the balancer has joined just now. contacts tells whether
// seeds or the VM list name balancers that are not live members.
func (j *join) update(now time.Time, live int, contacts bool) bool {
	if j.joined {
		return false
	}
	switch {
	case now.Sub(j.started) >= joinTime:
		j.joined = true
	case live > 1:
		j.joined = now.Sub(j.viewAt) >= settleTime
	default:
		j.joined = j.listed && !contacts
	}
	return j.joined
}
