package dsr

import (
	"math"
	"time"
)

// What the packets of callers tell about a target, and how much that is worth given
// what they tell about the network and the other targets.

const (
	// ownFaultLeast is the number of targets with traffic from which the silence of
	// most of them is put down to the balancer. Of three, two dead ones are not rare.
	minTargetsForLocalFault = 4
	// never is more unanswered packets than any target leaves.
	unreachableThreshold = math.MaxInt32
)

// alive notes that a target answered a packet that was sent at a time.
func (d *Dispatcher) recordSuccess(now time.Time, t *Target, sent time.Time) {
	if sent.After(d.answeredTo) {
		d.answeredTo = sent
	}
	d.loss.recordLost(t.health.lostPackets(now))
	if t.health.recordSuccess(now) {
		d.events = append(d.events, Event{Kind: EventTargetAlive, target: t})
	}
}

// unanswered notes that a packet sent at a time was not answered. Signs of life after
// the packet outweigh it.
func (d *Dispatcher) recordUnanswered(now time.Time, f *flow, t *Target, sent time.Time) {
	if !f.recordRetransmission(now, sent) {
		return
	}
	if !t.health.lastSuccessAt.Before(sent) {
		d.loss.recordLost(1)
		return
	}
	t.health.recordRetransmission(now)
	if !d.answerOverdue(sent) {
		return
	}
	threshold := d.loss.failureThreshold()
	if t.health.failures+1 >= threshold {
		threshold += d.extraFailuresRequired(now, t)
	}
	if t.health.recordFailure(now, d.options.DeadTime, threshold) {
		d.events = append(d.events, Event{Kind: EventTargetSuspected, target: t, Silence: t.health.silence(now)})
	}
}

// sentAgain reports whether a packet that was sent at a time counts as sent again.
func (f *flow) recordRetransmission(now, sent time.Time) bool {
	if now.Sub(sent) < minRetransmissionAge || now.Sub(f.lastRetransmissionAt) < minRetransmissionAge {
		return false
	}
	f.lastRetransmissionAt = now
	return true
}

// provesSilence reports whether a packet sent at a time should have been answered:
// one that was sent later has been. Otherwise the balancer's own link may be down or
// its queue long, or the process did not run.
func (d *Dispatcher) answerOverdue(sent time.Time) bool {
	return !sent.Before(d.evidenceFrom) && d.answeredTo.After(sent)
}

// dead reports whether the target of an open flow can no longer answer, so that
// the caller gains by opening another flow at once.
func (d *Dispatcher) resetReason(now time.Time, t *Target, p Packet) (Reason, bool) {
	if p.Bytes == 0 || p.Fin {
		return "", false
	}
	if t.health.mayResetFlows(now, d.options.DeadTime) {
		return ReasonTargetSilent, true
	}
	if !t.gone.IsZero() && t.health.failedRecently(now) {
		return ReasonTargetGone, true
	}
	return "", false
}

// weakness returns how many more unanswered packets it takes to show that a target is
// dead, because other targets leave packets unanswered at the same time. If most
// do, the balancer's own link or processor is overloaded. The targets of the own
// place decide, because the links to other places may be cut.
func (d *Dispatcher) extraFailuresRequired(now time.Time, suspect *Target) int {
	var local, all failureCounts
	for _, targets := range d.targets.services {
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

// census counts targets with traffic, and those of them that left packets unanswered.
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
