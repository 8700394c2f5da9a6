package dsr

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// targetStates returns the announcements of the targets that serve, without the fields
// whose changes are not replicated.
func (b *testBalancer) targetStates() map[string]Announcement {
	states := map[string]Announcement{}
	for id, t := range b.d.targets.byID {
		if t.goneAt.IsZero() {
			a := t.Announcement
			a.Revision, a.WarmupRemaining = 0, 0
			states[id] = a
		}
	}
	return states
}

// Guards against followers whose targets differ from those of their parent: they must
// converge after any order of changes, deltas and restarts.
func TestFollowersConvergeOnSameTargets(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		parent, follower := newTestBalancer(t, 3), newTestBalancer(t, 0)
		follower.d.targets.position.Revision = 0
		var epoch, sequence uint64
		next := 3
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0:
				a := newAnnouncement(next, "web", "a")
				a.Created, a.Revision = parent.revision, parent.revision
				parent.targets = append(parent.targets, a)
				next++
			case 1:
				if len(parent.targets) > 0 {
					parent.targets = parent.targets[1:]
				}
			case 2:
				for i := range parent.targets {
					parent.targets[i].Draining = i%2 == 0
					parent.targets[i].Revision = parent.revision
				}
			case 3:
				parent.advance(absenceGracePeriod)
				follower.advance(absenceGracePeriod)
			case 4:
				epoch = 0
			case 5:
				delta := parent.d.Delta(epoch, sequence)
				assert.Assert(t, follower.d.ApplyDelta(follower.now, delta))
				epoch, sequence = delta.Epoch, delta.ChangeSequence
			}
			parent.publishListing()
		}
		assert.Assert(t, follower.d.ApplyDelta(follower.now, parent.d.Delta(epoch, sequence)))
		assert.DeepEqual(t, follower.targetStates(), parent.targetStates())
	})
}

// Guards against a lagging parent whose delta reverts what a follower has read from the
// store itself.
func TestOlderDeltaIsRejected(t *testing.T) {
	parent, follower := newTestBalancer(t, 3), newTestBalancer(t, 4)
	follower.revision = 200
	follower.publishListing()
	assert.Assert(t, !follower.d.ApplyDelta(follower.now, parent.d.Delta(0, 0)))
	assert.Equal(t, follower.d.Gauges().Targets, 4)
}

// Guards against a parent that keeps a target after an outage of the store and restores it at
// a follower that knows that it is gone.
func TestDeltaDoesNotRestoreGoneTarget(t *testing.T) {
	parent, follower := newTestBalancer(t, 4), newTestBalancer(t, 4)
	remaining := parent.targets[1:]
	follower.targets = remaining
	follower.publishListing()
	parent.d.MarkStoreUnavailable()
	parent.d.MarkStoreAvailable(parent.now)
	parent.targets, parent.revision = remaining, follower.revision
	parent.publishListing()
	assert.Assert(t, follower.d.ApplyDelta(follower.now, parent.d.Delta(0, 0)))
	assert.Equal(t, follower.d.Gauges().Targets, 3)
}

// Guards against deltas whose size depends on the number of targets instead of the
// number of changes.
func TestRewrittenEntriesAreNotInDelta(t *testing.T) {
	b := newTestBalancer(t, 50)
	before, _ := b.d.Summary()
	for i := range b.targets {
		b.targets[i].Revision = 200
	}
	b.targets[7].Draining = true
	b.publishListing()
	delta := b.d.Delta(before.Epoch, before.ChangeSequence)
	assert.Equal(t, len(delta.Targets), 1)
	assert.Assert(t, !delta.Full)
}

// Guards against reporting data as more recent than the listing they come from.
func TestAsOfFollowsListing(t *testing.T) {
	b := newTestBalancer(t, 3)
	listedAt := b.now
	b.advance(3 * time.Second)
	b.d.ConfirmAsOf(b.now, listedAt.Add(time.Second), Position{})
	b.d.ConfirmAsOf(b.now, listedAt, Position{})
	s, ok := b.d.Summary()
	assert.Assert(t, ok)
	assert.Equal(t, s.AsOf, listedAt.Add(time.Second))
}

// routeSetForVersion returns the routes of a version: with each version, some are
// added, changed or removed.
func routeSetForVersion(version uint64, count int) RouteSet {
	set := RouteSet{Version: version, IdleTimeout: time.Duration(version) * time.Second}
	for i := range count {
		if (uint64(i)+version)%7 == 0 {
			continue
		}
		r := &Route{Name: "r", Address: routeAddress(i), Backends: []Backend{{Service: "web", Weight: 1}}, Timeout: time.Second}
		if (uint64(i)+version)%5 == 0 {
			r.Timeout = 2 * time.Second
		}
		set.Routes = append(set.Routes, r)
	}
	return set
}

// Guards against followers whose routes differ from those of the version that they report.
func TestFollowersConvergeOnSameRoutes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		parent, follower := NewDispatcher(Options{}), NewDispatcher(Options{})
		version := uint64(1)
		parent.SetRoutes(routeSetForVersion(version, 20))
		follower.SetRoutes(routeSetForVersion(version, 20))
		for range rapid.IntRange(1, 20).Draw(r, "steps") {
			version += rapid.Uint64Range(1, 3).Draw(r, "step")
			parent.SetRoutes(routeSetForVersion(version, 20))
			if rapid.Bool().Draw(r, "follow") {
				delta, ok := parent.RoutesDelta(follower.routes.version)
				assert.Assert(t, ok)
				assert.Equal(t, follower.ApplyRoutesDelta(startTime, delta), DeltaApplied)
				assert.Equal(t, follower.routes.version, version)
				assert.Equal(t, follower.routes.idleTimeout, parent.routes.idleTimeout)
				assert.Equal(t, len(follower.routes.current), len(parent.routes.current))
				for address, route := range parent.routes.current {
					assert.Assert(t, route.equal(follower.routes.current[address]))
				}
			}
		}
	})
}

// Guards against saturating the link of a balancer that sends a large configuration to its
// followers: with 1,400 routes, sent uncompressed to eight followers, packets were delayed by
// more than half a second.
func TestLargeRoutesDeltaIsRejected(t *testing.T) {
	d := NewDispatcher(Options{})
	d.SetRoutes(routeSetForVersion(2, 20))
	d.SetRoutes(routeSetForVersion(3, 2*MaxRoutesDeltaEntries))
	_, ok := d.RoutesDelta(2)
	assert.Assert(t, !ok)
	_, ok = d.RoutesDelta(1)
	assert.Assert(t, !ok, "the version is older than the first one here")
	_, ok = d.RoutesDelta(3)
	assert.Assert(t, ok)
}

// Guards against a balancer that has just started and must read all routes from the
// platform, because its parent has no changes after version 0.
func TestFirstRoutesAreComplete(t *testing.T) {
	parent, follower := NewDispatcher(Options{}), NewDispatcher(Options{})
	_, ok := parent.RoutesDelta(0)
	assert.Assert(t, !ok, "the parent has no routes")
	parent.SetRoutes(routeSetForVersion(2, 20))
	parent.SetRoutes(routeSetForVersion(3, 200))
	delta, ok := parent.RoutesDelta(0)
	assert.Assert(t, ok)
	assert.Equal(t, follower.ApplyRoutesDelta(startTime, delta), DeltaApplied)
	assert.Equal(t, follower.routes.version, uint64(3))
	assert.Equal(t, len(follower.routes.current), len(parent.routes.current))
}

// routeSetOf returns a version with routes to the addresses of the given positions.
func routeSetOf(version uint64, positions ...int) RouteSet {
	set := RouteSet{Version: version}
	for _, i := range positions {
		set.Routes = append(set.Routes, &Route{Name: "r", Address: routeAddress(i), Backends: []Backend{{Service: "web", Weight: 1}}})
	}
	return set
}

// Guards against a follower that keeps a dropped route for good: it has read a version that
// its parent skipped, and merges the difference between two versions of the parent into it.
func TestNoDeltaAfterSkippedVersion(t *testing.T) {
	parent := NewDispatcher(Options{})
	parent.SetRoutes(routeSetOf(1, 0))
	parent.SetRoutes(routeSetOf(3, 0))
	_, ok := parent.RoutesDelta(2)
	assert.Assert(t, !ok)
}

// Guards against a follower that adopts the version of a delta with other routes than its
// parent has in that version.
func TestDeltaThatYieldsOtherRoutesIsRejected(t *testing.T) {
	parent, follower := NewDispatcher(Options{}), NewDispatcher(Options{})
	parent.SetRoutes(routeSetOf(2, 0))
	parent.SetRoutes(routeSetOf(3, 0, 1))
	follower.SetRoutes(routeSetOf(2, 0, 2)) // not the parent's version 2
	delta, ok := parent.RoutesDelta(2)
	assert.Assert(t, ok)
	assert.Equal(t, follower.ApplyRoutesDelta(startTime, delta), DeltaMismatch)
	assert.Equal(t, follower.Gauges().RoutesVersion, uint64(2))
	assert.Equal(t, follower.PopEvents()[1].Kind, EventRoutesMismatch)
}

// Guards against wrong routes that stay although the balancer reads the right ones of the same
// version from the store.
func TestStoreReplacesRoutesOfPeer(t *testing.T) {
	d := NewDispatcher(Options{})
	wrong := NewDispatcher(Options{})
	wrong.SetRoutes(routeSetOf(2, 0, 1))
	delta, ok := wrong.RoutesDelta(0)
	assert.Assert(t, ok)
	assert.Equal(t, d.ApplyRoutesDelta(startTime, delta), DeltaApplied)
	assert.Assert(t, d.SetRoutes(routeSetOf(2, 0)))
	assert.Equal(t, len(d.routes.current), 1)
	events := d.PopEvents()
	assert.Equal(t, events[len(events)-1].Kind, EventRoutesCorrected)
}

// Guards against digests that differ with the order of routes, or agree for different routes.
func TestRoutesDigestIdentifiesContent(t *testing.T) {
	digest := func(set RouteSet) Digest {
		d := NewDispatcher(Options{})
		d.SetRoutes(set)
		return d.Gauges().RoutesDigest
	}
	base := digest(routeSetOf(2, 0, 1))
	assert.Equal(t, digest(routeSetOf(2, 1, 0)), base)
	assert.Assert(t, digest(routeSetOf(3, 0, 1)) != base)
	assert.Assert(t, digest(routeSetOf(2, 0, 2)) != base)
	changes := []func(*Route){
		func(r *Route) { r.Name = "other" },
		func(r *Route) { r.Timeout = time.Second },
		func(r *Route) { r.LatencyTarget = time.Second },
		func(r *Route) { r.Priority = 1 },
		func(r *Route) { r.Backends = nil },
		func(r *Route) { r.Backends[0].Service = "other" },
		func(r *Route) { r.Backends[0].Weight = 2 },
		func(r *Route) { r.Backends[0].MaxFlowsPerTarget = 2 },
		func(r *Route) { r.Backends[0].ColdPerSecond = 2 },
	}
	// The value of versions that do not know cold targets, with which balancers must agree in a deployment without them.
	assert.Equal(t, base, Digest(0xa28ff4fa374d6057))
	for i, change := range changes {
		set := routeSetOf(2, 0, 1)
		change(set.Routes[0])
		assert.Assert(t, digest(set) != base, "change %d", i)
	}
}

// Guards against a revision that the store never had and that another balancer sent: all later
// listings of the store would be ignored.
func TestFalseRevisionOfPeerEnds(t *testing.T) {
	b := newTestBalancer(t, 3)
	bogus := b.targets[0]
	bogus.Slots, bogus.Revision = 9, math.MaxUint64
	b.d.ApplyDelta(b.now, Delta{Revision: math.MaxUint64, Targets: []Announcement{bogus}})
	list := func() {
		b.revision++
		b.d.ApplyListing(b.now, Listing{Targets: b.targets, Revision: b.revision, ReadAt: b.now})
	}
	list()
	assert.Equal(t, b.d.Gauges().Revision, uint64(math.MaxUint64), "the listing may be older than the revision")
	b.advance(falseNumberTimeout + time.Second)
	list()
	assert.Equal(t, b.d.Gauges().Revision, b.revision)
	assert.DeepEqual(t, b.targetStates(), newTestBalancer(t, 3).targetStates())
}

// Guards against a version of the routes that the store never had and that another balancer sent.
func TestFalseVersionOfPeerEnds(t *testing.T) {
	d, wrong := NewDispatcher(Options{}), NewDispatcher(Options{})
	d.SetRoutes(routeSetOf(2, 0))
	wrong.SetRoutes(routeSetOf(2, 0))
	wrong.SetRoutes(routeSetOf(math.MaxUint64, 0, 1))
	delta, ok := wrong.RoutesDelta(2)
	assert.Assert(t, ok)
	assert.Equal(t, d.ApplyRoutesDelta(startTime, delta), DeltaApplied)
	read := routeSetOf(3, 0)
	read.ReadAt = startTime.Add(time.Second)
	assert.Assert(t, !d.SetRoutes(read), "the read may be older than the version")
	read.ReadAt = startTime.Add(falseNumberTimeout + time.Second)
	assert.Assert(t, d.SetRoutes(read))
	assert.Equal(t, d.Gauges().RoutesVersion, uint64(3))
	_, ok = d.RoutesDelta(math.MaxUint64)
	assert.Assert(t, !ok)
}

// Guards against counters of a route that start anew at each delta that does not change it, so
// that they become negative and the limit under overload does not act.
func TestDeltaKeepsCountersOfUnchangedRoutes(t *testing.T) {
	b := newTestBalancer(t, 3)
	for range 5 {
		b.newFlow(0).open().sendRequest(10)
	}
	other := NewDispatcher(Options{})
	other.SetRoutes(newRouteSet(1, "web", "other"))
	next := newRouteSet(2, "web", "other")
	other.SetRoutes(next)
	delta, ok := other.RoutesDelta(1)
	assert.Assert(t, ok)
	assert.Equal(t, b.d.ApplyRoutesDelta(b.now, delta), DeltaApplied)
	usage := b.d.routes.current[routeAddress(0)].usage
	assert.Equal(t, usage.inFlight, 5)
	b.advance(time.Minute)
	assert.Equal(t, *b.d.routes.current[routeAddress(0)].usage, routeUsage{activeRatio: usage.activeRatio})
}
