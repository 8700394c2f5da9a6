package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveSequentially sends requests one after the other, each on a flow of its own, and returns how
// many were answered. Callers send an opener again after 200 and 600 ms and give up after 1.4 s.
func (b *testBalancer) serveSequentially(requests int, isSilent func(*Target) bool) (served int) {
	for range requests {
		c := b.newFlow(0)
		for _, pause := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			d := c.sendOpener()
			if d.Action == ActionForward && !isSilent(d.target) {
				b.advance(time.Millisecond)
				c.ackOpener()
				c.exchange()
				c.sendFin()
				served++
				break
			}
			b.advance(pause)
		}
		b.advance(10 * time.Millisecond)
	}
	return served
}

// addSilentTargets adds targets that do not answer.
func (b *testBalancer) addSilentTargets(count, slots int) (isSilent func(*Target) bool) {
	silent := make(map[string]bool)
	for range count {
		a := newAnnouncement(len(b.targets), "web", "a")
		a.Slots = slots
		silent[a.ID] = true
		b.targets = append(b.targets, a)
	}
	b.publishListing()
	return func(t *Target) bool { return silent[t.ID] }
}

// Guards against a silent target that takes all flows of a service: it has more slots than the
// others, so it is the least loaded one, and no packet that comes later is answered.
func TestSilentTargetWithMostSlotsDoesNotTakeService(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 20, 2000, MaxSlots} {
		b := newTestBalancer(t, 3)
		isSilent := b.addSilentTargets(1, slots)
		assert.Equal(t, b.serveSequentially(50, isSilent), 50, "%d slots", slots)
	}
}

// Guards against the same when the target answered before: a balancer with little traffic has no
// other flow that shows that the target is silent.
func TestTargetWithMostSlotsThatFallsSilentDoesNotTakeService(t *testing.T) {
	b := newTestBalancer(t, 3)
	isSilent := b.addSilentTargets(1, 20)
	assert.Equal(t, b.serveSequentially(5, func(*Target) bool { return false }), 5)
	b.advance(10 * time.Second)
	assert.Equal(t, b.serveSequentially(50, isSilent), 50)
}
