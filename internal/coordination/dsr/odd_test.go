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

// Guards against an entry with an absurd number of slots that takes nearly all flows although its
// target answers, and lifts the limit of the service.
func TestSlotsAreBoundedByThoseOfOtherTargets(t *testing.T) {
	b := newTestBalancer(t, 4)
	b.targets[3].Slots = MaxSlots
	b.publishListing()
	perTarget := make(map[string]int)
	for range 300 {
		perTarget[b.newFlow(0).open().target.ID]++
	}
	odd := perTarget[b.targets[3].ID]
	assert.Assert(t, odd <= 300*maxSlotsRatio/(maxSlotsRatio+3)+10, "%v", perTarget)
	_, slots := b.d.inFlightAndSlots("web")
	assert.Equal(t, slots, float64(3*2+maxSlotsRatio*2))
}

// Guards against a target that gets new flows through a second entry while it drains.
func TestSecondEntryOfOneTargetIsNotUsed(t *testing.T) {
	b := newTestBalancer(t, 3)
	second := b.targets[0]
	second.ID, second.Created, second.Revision = "inventory-00000001", b.revision, b.revision
	b.targets = append(b.targets, second)
	b.publishListing()
	assert.Equal(t, b.d.Gauges().Targets, 3)
	b.targets[0].Draining, b.targets[0].Revision = true, b.revision
	b.publishListing()
	for range 50 {
		assert.Assert(t, b.newFlow(0).open().target.Endpoint != b.targets[0].Endpoint)
	}
	b.targets = b.targets[1:] // the first entry is gone
	b.publishListing()
	assert.Equal(t, b.d.Gauges().Targets, 3, "the remaining entry is used")
}

// Guards against a service without targets at a balancer that has just started: each target has
// created its entry anew since another writer added one for it, whose service no route names.
func TestEntryOfUnroutedServiceDoesNotDisplaceTarget(t *testing.T) {
	for _, routesFirst := range []bool{true, false} {
		d := NewDispatcher(Options{Place: "a", MaxFlowLifetime: time.Minute})
		b := &testBalancer{t: t, d: d, now: startTime, revision: 100, nextPort: 1024}
		for i := range 3 {
			own := newAnnouncement(i, "web", "a")
			own.Created, own.Revision = uint64(50+i), uint64(50+i)
			b.targets = append(b.targets, own, newSecondEntry(newAnnouncement(i, "inventory", "a")))
		}
		if routesFirst {
			d.SetRoutes(newRouteSet(1, "web"))
			b.publishListing()
		} else {
			b.publishListing()
			d.SetRoutes(newRouteSet(1, "web"))
		}
		for range 20 {
			assert.Equal(t, b.newFlow(0).open().target.Service, "web", "routes first: %t", routesFirst)
		}
	}
}

// Guards against an index of targets that still follows the services that an earlier version of
// the routes named, and against another order of two entries whose services are both routed.
func TestFirstEntryFollowsRoutedServices(t *testing.T) {
	b := newTestBalancer(t, 1)
	second := newSecondEntry(b.targets[0])
	second.Service, second.Created = "late", b.targets[0].Created+1
	b.targets = append(b.targets, second)
	b.publishListing()
	assert.Equal(t, b.newFlow(0).open().target.Service, "web")
	b.d.SetRoutes(newRouteSet(2, "late"))
	assert.Equal(t, b.newFlow(0).open().target.Service, "late")
	merged := b.d.ApplyRoutesDelta(b.now, RoutesDelta{AfterVersion: 2, Version: 3, Digest: newRouteSet(3, "web", "late").digest(), IdleTimeout: 15 * time.Second, Changed: newRouteSet(3, "web", "late").Routes})
	assert.Equal(t, merged, DeltaApplied)
	assert.Equal(t, b.newFlow(0).open().target.Service, "web", "both are routed: the first one is used")
	assert.Equal(t, b.newFlow(1).sendOpener().Reason, ReasonNoTarget)
}

// newSecondEntry returns an entry that another writer keeps for a target.
func newSecondEntry(a Announcement) Announcement {
	a.ID = "inventory" + a.ID[1:]
	return a
}

// Guards against many silent entries whose trial flows delay most requests of a service.
func TestTrialsOfTargetsThatNeverAnsweredAreLimited(t *testing.T) {
	b := newTestBalancer(t, 3)
	isSilent := b.addSilentTargets(200, 2)
	b.serveSequentially(300, isSilent)
	b.advance(trialBackoff)
	delayed := 0
	for range 100 {
		c := b.newFlow(0)
		if isSilent(c.sendOpener().target) {
			delayed++
			b.advance(200 * time.Millisecond)
			c.sendOpener()
		}
		c.ackOpener()
		c.exchange()
		c.sendFin()
		b.advance(50 * time.Millisecond)
	}
	assert.Assert(t, delayed <= 10, "%d of 100 openers went to silent targets", delayed)
}
