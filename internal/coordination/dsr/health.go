package dsr

import "time"

// The packets of callers tell whether a target lives: an acknowledgement of new
// bytes proves it, and a packet that the caller sends again while nothing new
// was acknowledged on any flow of the target speaks against it.

const (
	// strikeMemory is how long an unanswered packet counts. The third and the fourth
	// copy of a packet are 800 ms apart; without a bound, two lost packets of a target
	// that this balancer rarely sees would count together however far apart they are.
	failureWindow = 1200 * time.Millisecond
	// strikeGap is the time within which unanswered packets count as one: a full queue
	// drops several in a row.
	failureMergeInterval = 100 * time.Millisecond
	// defaultDeadTime is three quarters of the 4 s after which the users' platform
	// takes a disturbance to be over, see Options.DeadTime.
	defaultDeadTime = 3 * time.Second
	// repeatAge is the least age of a packet that a caller sends again. Callers send
	// again after 200 ms; a copy that follows sooner arrived out of order.
	minRetransmissionAge = 150 * time.Millisecond
	// resetSilence is the shortest silence of a target before its flows are reset:
	// the 200 ms after which callers send again, less an allowance for late timers.
	minResetSilence = 180 * time.Millisecond
	// trialPause is how long a suspected target gets no flow.
	trialBackoff = 4 * time.Second
	// trialGap is the pause between two trial flows of a suspected target.
	trialInterval = time.Second
)

// Silence tells how long a target has shown no sign of life and how many packets went unanswered.
type Silence struct {
	Duration   time.Duration
	Unanswered int
	// Enough is the number of unanswered packets that shows the target to be dead, 0
	// when the balancer itself seems to be at fault.
	Threshold int
}

// health is the evidence about one target.
type health struct {
	// aliveAt is the last sign of life.
	lastSuccessAt time.Time
	// strikes are the unanswered packets since then, struckAt the time of the last one.
	failures      int
	lastFailureAt time.Time
	// repeated counts the packets since then that callers sent again, also where
	// they are no evidence against the target; repeatedAt is the time of the first one.
	retransmissions       int
	firstRetransmissionAt time.Time
	// dead is set when enough packets in a row were left unanswered; it holds for the
	// dead time after the last one.
	dead             bool
	failureThreshold int
	suspectedAt      time.Time
	lastTrialAt      time.Time
}

// alive notes a sign of life and reports whether it ended a suspicion.
func (h *health) recordSuccess(now time.Time) bool {
	ended := h.suspected()
	*h = health{lastSuccessAt: now}
	return ended
}

// sentAgain notes that a caller sent a packet again.
func (h *health) recordRetransmission(now time.Time) {
	if h.retransmissions == 0 {
		h.firstRetransmissionAt = now
	}
	h.retransmissions++
}

// lostPackets returns how many packets since the last sign of life were lost, given
// that there is another one now. After a longer silence, the target or its link was
// out of service instead.
func (h *health) lostPackets(now time.Time) int {
	if now.Sub(h.firstRetransmissionAt) > failureWindow {
		return 0
	}
	return h.retransmissions
}

func (h *health) suspected() bool { return !h.suspectedAt.IsZero() }

// strike notes that a packet sent at a time was not answered. It reports whether
// the target is suspected from now on. enough is the number of such packets in a
// row that shows the target to be dead.
func (h *health) recordFailure(now time.Time, deadTime time.Duration, threshold int) bool {
	if h.failures > 0 && now.Sub(h.lastFailureAt) < failureMergeInterval {
		return false
	}
	wasDead := h.isDead(now, deadTime)
	if !h.failedRecently(now) {
		h.failures = 0
	}
	h.failures++
	h.lastFailureAt = now
	h.failureThreshold = threshold
	h.dead = wasDead || h.failures >= threshold
	if h.suspected() {
		return false
	}
	h.suspectedAt = now
	return true
}

// mayTry reports whether a suspected target may get one flow to find out whether it lives.
func (h *health) trialDue(now time.Time) bool {
	if now.Sub(h.lastTrialAt) < trialInterval {
		return false
	}
	return now.Sub(h.lastFailureAt) >= trialBackoff
}

// struck reports whether a packet was left unanswered lately.
func (h *health) failedRecently(now time.Time) bool {
	return h.failures > 0 && now.Sub(h.lastFailureAt) <= failureWindow
}

// dark reports whether open flows of the target may be reset.
func (h *health) mayResetFlows(now time.Time, deadTime time.Duration) bool {
	return h.isDead(now, deadTime) && now.Sub(h.lastSuccessAt) >= minResetSilence
}

// believedDead reports whether the last verdict still holds.
func (h *health) isDead(now time.Time, deadTime time.Duration) bool {
	return h.dead && now.Sub(h.lastFailureAt) <= deadTime
}

// silence describes the evidence.
func (h *health) silence(now time.Time) Silence {
	s := Silence{Unanswered: h.failures}
	if h.failureThreshold < unreachableThreshold {
		s.Threshold = h.failureThreshold
	}
	if !h.lastSuccessAt.IsZero() {
		s.Duration = now.Sub(h.lastSuccessAt)
	}
	return s
}
