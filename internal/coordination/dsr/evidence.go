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
	ownFaultLeast = 4
	// never is more unanswered packets than any target leaves.
	never = math.MaxInt32
)

// alive notes that a target answered a packet that was sent at a time.
func (d *Dispatcher) alive(now time.Time, t *Target, sent time.Time) {
	if sent.After(d.latestAnsweredSentAt) {
		d.latestAnsweredSentAt = sent
	}
	d.loss.lost(t.health.lostPackets(now))
	if t.health.alive(now) {
		d.events = append(d.events, Event{Kind: EventTargetAlive, target: t})
	}
}

// unanswered notes that a packet sent at a time was not answered. Signs of life after
// the packet outweigh it.
func (d *Dispatcher) unanswered(now time.Time, f *flow, t *Target, sent time.Time) {
	if !f.sentAgain(now, sent) {
		return
	}
	if !t.health.aliveAt.Before(sent) {
		d.loss.lost(1)
		return
	}
	t.health.sentAgain(now)
	if !d.provesSilence(sent) {
		return
	}
	enough := d.loss.strikes()
	if t.health.strikes+1 >= enough {
		enough += d.weakness(now, t)
	}
	if t.health.strike(now, d.options.FailureHoldTime, enough) {
		d.events = append(d.events, Event{Kind: EventTargetSuspected, target: t, Failures: t.health.silence(now)})
	}
}

// sentAgain reports whether a packet that was sent at a time counts as sent again.
func (f *flow) sentAgain(now, sent time.Time) bool {
	if now.Sub(sent) < repeatAge || now.Sub(f.struckAt) < repeatAge {
		return false
	}
	f.struckAt = now
	return true
}

// provesSilence reports whether a packet sent at a time should have been answered:
// one that was sent later has been. Otherwise the balancer's own link may be down or
// its queue long, or the process did not run.
func (d *Dispatcher) provesSilence(sent time.Time) bool {
	return !sent.Before(d.resumedAt) && d.latestAnsweredSentAt.After(sent)
}

// dead reports whether the target of an open flow can no longer answer, so that
// the caller gains by opening another flow at once.
func (d *Dispatcher) dead(now time.Time, t *Target, p Packet) (Reason, bool) {
	if p.Bytes == 0 || p.Fin {
		return "", false
	}
	if t.health.dark(now, d.options.FailureHoldTime) {
		return ReasonTargetSilent, true
	}
	if !t.goneAt.IsZero() && t.health.struck(now) {
		return ReasonTargetGone, true
	}
	return "", false
}

// weakness returns how many more unanswered packets it takes to show that a target is
// dead, because other targets leave packets unanswered at the same time. If most
// do, the balancer's own link or processor is overloaded. The targets of the own
// place decide, because the links to other places may be cut.
func (d *Dispatcher) weakness(now time.Time, suspect *Target) int {
	var near, all census
	for _, targets := range d.targets.byService {
		for _, t := range targets {
			all.count(now, t)
			if t.Place == d.options.Place {
				near.count(now, t)
			}
		}
	}
	if near.active < ownFaultLeast {
		if all.mostStruck() {
			return never
		}
		return 0
	}
	if near.mostStruck() {
		return never
	}
	if suspect.Place == d.options.Place && suspect.health.struck(now) {
		return near.struck - 1
	}
	return near.struck
}

// census counts targets with traffic, and those of them that left packets unanswered.
type census struct{ active, struck int }

func (c *census) mostStruck() bool { return c.active >= ownFaultLeast && 2*c.struck > c.active }

func (c *census) count(now time.Time, t *Target) {
	switch {
	case t.health.struck(now):
		c.active++
		c.struck++
	case now.Sub(t.health.aliveAt) <= strikeMemory:
		c.active++
	}
}
