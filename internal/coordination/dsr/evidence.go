package dsr

import (
	"math"
	"time"
)

// Detection of dead targets from the packets of callers. The failure threshold depends
// on the measured packet loss and on how many other targets fail at the same time.

const (
	// minTargetsForLocalFault is the number of targets with traffic from which failures
	// of most of them are attributed to this balancer. Among three targets, two dead
	// ones are not rare.
	minTargetsForLocalFault = 4
	// unreachableThreshold is a failure threshold that no target reaches.
	unreachableThreshold = math.MaxInt32
)

// recordSuccess records that a target answered a packet that was sent at the given time.
func (d *Dispatcher) recordSuccess(now time.Time, t *Target, sentAt time.Time) {
	if sentAt.After(d.latestAnsweredSentAt) {
		d.latestAnsweredSentAt = sentAt
	}
	d.loss.recordLost(t.health.lostPackets(now))
	if t.health.recordSuccess(now) {
		d.events = append(d.events, Event{Kind: EventTargetAlive, target: t})
	}
}

// recordUnanswered records that a packet sent at the given time was not answered. If the
// target has answered another packet since, this one counts as lost, not as a failure.
func (d *Dispatcher) recordUnanswered(now time.Time, f *flow, t *Target, sentAt time.Time) {
	if !f.recordRetransmission(now, sentAt) {
		return
	}
	if !t.health.lastSuccessAt.Before(sentAt) {
		d.loss.recordLost(1)
		return
	}
	t.health.recordRetransmission(now)
	if d.answerOverdue(sentAt) {
		d.recordFailure(now, t)
	}
}

// recordFailure records that a target has not answered a packet although another target has
// answered one that was sent later.
func (d *Dispatcher) recordFailure(now time.Time, t *Target) {
	threshold := d.loss.failureThreshold()
	if t.health.failures+1 >= threshold {
		threshold += d.extraFailuresRequired(now, t)
	}
	if t.health.recordFailure(now, d.options.FailureHoldTime, threshold) {
		d.events = append(d.events, Event{Kind: EventTargetSuspected, target: t, Failures: t.health.failureSummary(now)})
	}
}

// recordSilentTargets records failures of the targets that left an opener unanswered, once another
// target has answered its retransmission. A service with few flows has no other packet that shows
// that they are silent.
func (d *Dispatcher) recordSilentTargets(now time.Time, f *flow) {
	for _, t := range f.tried {
		if t == f.target || !t.health.lastSuccessAt.Before(f.openedAt) || f.openedAt.Before(d.resumedAt) {
			continue
		}
		if d.mayBeFull(t) {
			d.recordFull(now, t)
		} else {
			d.recordFailure(now, t)
		}
	}
	f.tried = nil
}

// recordRetransmission records a packet that repeats one sent at the given time. It
// reports whether the packet counts as a retransmission. A packet doesn't count if it
// follows the original, or the last one that counted, within minRetransmissionAge.
func (f *flow) recordRetransmission(now, sentAt time.Time) bool {
	if now.Sub(sentAt) < minRetransmissionAge || now.Sub(f.lastRetransmissionAt) < minRetransmissionAge {
		return false
	}
	f.lastRetransmissionAt = now
	return true
}

// answerOverdue reports whether a packet sent at the given time should have been
// answered by now, because some target has answered a packet that was sent later.
// Otherwise the balancer's own link may be down or have a long queue, or the process
// did not run.
func (d *Dispatcher) answerOverdue(sentAt time.Time) bool {
	return !sentAt.Before(d.resumedAt) && d.latestAnsweredSentAt.After(sentAt)
}

// resetReason reports whether to reset an open flow because its target can no longer
// answer, and the reason. The reset lets the caller open another flow at once.
func (d *Dispatcher) resetReason(now time.Time, t *Target, p Packet) (Reason, bool) {
	if p.Bytes == 0 || p.Fin {
		return "", false
	}
	if t.health.mayResetFlows(now, d.options.FailureHoldTime) {
		return ReasonTargetSilent, true
	}
	if !t.goneAt.IsZero() && t.health.failedRecently(now) && t.health.failures >= d.targets.goneFailureThreshold(t) {
		return ReasonTargetGone, true
	}
	return "", false
}

// goneFailureThreshold returns the number of consecutive unanswered packets after which the flows
// of a gone target are reset. A missing entry does not show that the process has ended, because
// another writer may have removed it, and a single packet may be lost. An entry of a later process
// at the same address shows that it has.
func (g *registry) goneFailureThreshold(t *Target) int {
	latest := g.latestByEndpoint[t.Endpoint]
	if latest != nil && latest.Incarnation != t.Incarnation && latest.Created > t.Created {
		return 1
	}
	return minFailureThreshold
}

// extraFailuresRequired returns how much higher the failure threshold of a target is
// because other targets fail at the same time. If most targets fail, the balancer's own
// link or processor is overloaded. Only the targets of the balancer's place count when
// there are enough of them, because the links to other places may be down.
func (d *Dispatcher) extraFailuresRequired(now time.Time, suspect *Target) int {
	var local, all failureCounts
	for _, targets := range d.targets.byService {
		for _, t := range targets {
			all.count(now, t)
			if t.Place == d.options.Place {
				local.count(now, t)
			}
		}
	}
	if local.active < minTargetsForLocalFault {
		if all.mostFailing() {
			return unreachableThreshold
		}
		return 0
	}
	if local.mostFailing() {
		return unreachableThreshold
	}
	if suspect.Place == d.options.Place && suspect.health.failedRecently(now) {
		return local.failing - 1
	}
	return local.failing
}

// failureCounts counts targets with recent traffic, and those of them with recent failures.
type failureCounts struct{ active, failing int }

func (c *failureCounts) mostFailing() bool {
	return c.active >= minTargetsForLocalFault && 2*c.failing > c.active
}

func (c *failureCounts) count(now time.Time, t *Target) {
	switch {
	case t.health.failedRecently(now):
		c.active++
		c.failing++
	case now.Sub(t.health.lastSuccessAt) <= failureWindow:
		c.active++
	}
}
