package agent

import "time"

const (
	// joinTimeout limits how long a starting balancer waits for the others. It covers
	// three exchanges with a seed. After it the balancer serves with the view that it
	// has, which holds only itself if its network is partitioned from the others.
	joinTimeout = 3 * seedExchangeInterval
	// viewSettleTime is how long the view of a starting balancer must stay unchanged before
	// it joins. In a fleet of seven that starts at once, the update of a member took up to
	// 1.1 s to arrive without the exchanges at joinExchangeInterval.
	viewSettleTime = time.Second
	// joinExchangeInterval is the time between two exchanges with a random peer until this balancer has joined.
	joinExchangeInterval = viewSettleTime / 4
)

// joinState determines when a starting balancer knows enough members to accept packets.
// A balancer that knows no other member treats itself as the owner of all flows and may
// select wrong targets for flows that other balancers opened.
type joinState struct {
	startedAt time.Time
	// viewChangedAt is when the view last changed.
	viewChangedAt time.Time
	// vmListRead is set once the VM list has been read.
	vmListRead bool
	joined     bool
}

// update reports whether the balancer joins with this call. hasReconnectAddr is true if
// seeds, the VM list or dead members give addresses of balancers that are not live members.
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
