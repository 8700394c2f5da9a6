package dsr

import "time"

// Passive health checking of targets from the packets of callers. A success is an
// acknowledgement of new bytes. A failure is a packet that a caller retransmits although
// no flow of the target has had new bytes acknowledged since the packet was first sent.

const (
	// failureWindow is how long a failure counts. It is longer than the 800 ms between the
	// third and the fourth transmission of a packet. Without a bound, two lost packets of a target
	// that this balancer rarely sees would add up however far apart they are.
	failureWindow = 1200 * time.Millisecond
	// failureMergeInterval is the time within which several failures count as one, because a
	// full queue drops several packets in a row.
	failureMergeInterval = 100 * time.Millisecond
	// defaultFailureHoldTime is three quarters of the 4 s after which an outage counts as
	// over on the users' platform, see Options.FailureHoldTime.
	defaultFailureHoldTime = 3 * time.Second
	// minRetransmissionAge is the minimum time between two transmissions of the same bytes
	// for the second one to count as a retransmission. Callers retransmit after 200 ms, so
	// a packet that seems to repeat earlier bytes sooner than this was reordered.
	minRetransmissionAge = 150 * time.Millisecond
	// minResetSilence is the minimum time since the last success of a target before its
	// flows are reset: the 200 ms after which callers retransmit, less an allowance for
	// late timers.
	minResetSilence = 180 * time.Millisecond
	// trialBackoff is the time after its last failure during which a suspected target gets
	// no trial flow.
	trialBackoff = 4 * time.Second
	// trialInterval is the time between two trial flows of a suspected target.
	trialInterval = time.Second
)

// FailureSummary describes the failures of a target since its last success.
type FailureSummary struct {
	// SinceSuccess is the time since the last success, 0 if there was none.
	SinceSuccess time.Duration
	// Unanswered is the number of consecutive failures.
	Unanswered int
	// Threshold is the number of consecutive unanswered packets from which the target
	// counts as dead, or 0 if the balancer itself seems to be at fault.
	Threshold int
}

// health holds the passive health check results of one target.
type health struct {
	// lastSuccessAt is when the target last proved to be alive.
	lastSuccessAt time.Time
	// failures counts the consecutive failures since then, each within failureWindow of the
	// one before. lastFailureAt is the time of the last one.
	failures      int
	lastFailureAt time.Time
	// retransmissions counts the packets that callers have retransmitted since the last
	// success, including those that did not count as failures. firstRetransmissionAt is the
	// time of the first one.
	retransmissions       int
	firstRetransmissionAt time.Time
	// dead is set when failures reaches failureThreshold. It holds for
	// Options.FailureHoldTime after the last failure.
	dead             bool
	failureThreshold int
	suspectedAt      time.Time
	lastTrialAt      time.Time
}

// recordSuccess records that the target is alive and reports whether it was suspected.
func (h *health) recordSuccess(now time.Time) bool {
	wasSuspected := h.suspected()
	*h = health{lastSuccessAt: now}
	return wasSuspected
}

// recordRetransmission counts a packet that a caller retransmitted.
func (h *health) recordRetransmission(now time.Time) {
	if h.retransmissions == 0 {
		h.firstRetransmissionAt = now
	}
	h.retransmissions++
}

// lostPackets returns how many packets since the last success were lost, given that the
// target has answered now. If the retransmissions began more than failureWindow ago, it
// returns 0, because the target or its link was down instead.
func (h *health) lostPackets(now time.Time) int {
	if now.Sub(h.firstRetransmissionAt) > failureWindow {
		return 0
	}
	return h.retransmissions
}

func (h *health) suspected() bool { return !h.suspectedAt.IsZero() }

// recordFailure records that a packet was not answered. threshold is the number of
// consecutive failures from which the target counts as dead. It reports whether the
// target became suspected.
func (h *health) recordFailure(now time.Time, failureHoldTime time.Duration, threshold int) bool {
	if h.failures > 0 && now.Sub(h.lastFailureAt) < failureMergeInterval {
		return false
	}
	wasDead := h.isDead(now, failureHoldTime)
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

// trialDue reports whether a suspected target may get one flow to test whether it is alive.
func (h *health) trialDue(now time.Time) bool {
	if now.Sub(h.lastTrialAt) < trialInterval {
		return false
	}
	return now.Sub(h.lastFailureAt) >= trialBackoff
}

// allowTrial reports whether a target may get a trial flow. Those that never answered share one
// for each interval of their service: entries of other writers may name any number of them, and
// each trial delays a caller.
func (g *registry) allowTrial(now time.Time, t *Target) bool {
	if !t.health.lastSuccessAt.IsZero() {
		return true
	}
	if now.Sub(g.lastFirstTrials[t.Service]) < trialInterval {
		return false
	}
	g.lastFirstTrials[t.Service] = now
	return true
}

// failedRecently reports whether the last failure is within failureWindow.
func (h *health) failedRecently(now time.Time) bool {
	return h.failures > 0 && now.Sub(h.lastFailureAt) <= failureWindow
}

// mayResetFlows reports whether open flows of the target may be reset: it counts as dead
// and has answered nothing for minResetSilence.
func (h *health) mayResetFlows(now time.Time, failureHoldTime time.Duration) bool {
	return h.isDead(now, failureHoldTime) && now.Sub(h.lastSuccessAt) >= minResetSilence
}

// isDead reports whether the target counts as dead: it reached the failure threshold,
// and the last failure is at most failureHoldTime ago.
func (h *health) isDead(now time.Time, failureHoldTime time.Duration) bool {
	return h.dead && now.Sub(h.lastFailureAt) <= failureHoldTime
}

// succeededRecently reports whether the target proved to be alive within failureWindow.
func (h *health) succeededRecently(now time.Time) bool {
	return now.Sub(h.lastSuccessAt) <= failureWindow
}

// failureSummary returns a summary of the failures since the last success.
func (h *health) failureSummary(now time.Time) FailureSummary {
	s := FailureSummary{Unanswered: h.failures}
	if h.failureThreshold < unreachableThreshold {
		s.Threshold = h.failureThreshold
	}
	if !h.lastSuccessAt.IsZero() {
		s.SinceSuccess = now.Sub(h.lastSuccessAt)
	}
	return s
}
