package dsr

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Guards against requests that one place rejects while its neighbours have free slots, against flows
// that leave a place with enough capacity or go to places that are as loaded, against neighbours that
// become worse, against shares that oscillate, and against flows that do not return after a burst.
func TestFlowsLeaveFullPlaces(t *testing.T) {
	for _, sc := range regionScenarios() {
		if !slices.Contains([]string{"40-40", "130-40", "130-110", "burst"}, sc.name) {
			continue // only BenchmarkCrossPlace runs the others
		}
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			r := sc.run(7, true)
			own, neighbour, shares := r.stats[0], r.stats[1], r.awayShares()
			t.Logf("%v; %v; left by second %v", own, neighbour, shares)
			leftShare := float64(own.left) / float64(own.flows)
			switch sc.name {
			case "40-40":
				assert.Equal(t, own.left, 0)
			case "130-40":
				today := sc.run(7, false).stats[0]
				assert.Assert(t, 10*own.rejected < today.rejected, "%d, today %d", own.rejected, today.rejected)
				assert.Equal(t, own.refused, 0)
				assert.Equal(t, neighbour.rejected, 0)
				for second, share := range shares {
					assert.Assert(t, float64(share) > 50*leftShare && float64(share) < 200*leftShare, "second %d: %d %%", second, share)
				}
			case "130-110":
				assert.Assert(t, leftShare <= 0.05, "%f", leftShare)
			case "burst":
				assert.Equal(t, own.refused, 0)
				assert.Assert(t, shares[6]+shares[7] <= 2*2, "%v", shares)
			}
		})
	}
}

// Guards against a place without usable targets that keeps flows, against flows that leave a place
// with capacity, and against other shares than the load and the time saved determine.
func TestPlaceShares(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name                             string
		slots, load                      float64
		unloadedTime, localTime, farTime time.Duration
		balancers                        int
		wantShare                        float64
		wantReason                       string
	}{
		{"enough capacity", 80, 2, 60 * ms, 300 * ms, 60 * ms, 25, 0, ShareReasonLoad},
		{"loaded", 80, 4.8, 60 * ms, 180 * ms, 60 * ms, 25, 0.5, ShareReasonLoad},
		{"short queue", 80, 4.8, 60 * ms, 120 * ms, 60 * ms, 25, 0.5 / 3, ShareReasonLoad},
		{"load without a queue", 80, 4.8, 60 * ms, 60 * ms, 60 * ms, 25, 0, ShareReasonLoad},
		{"number of balancers unknown", 80, 4.8, 60 * ms, 180 * ms, 60 * ms, 0, 0, ShareReasonLoad},
		{"no time saved", 80, 4.8, 60 * ms, 180 * ms, 175 * ms, 25, 0.5 * minGain, ShareReasonLoad},
		{"some time saved", 80, 4.8, 60 * ms, 180 * ms, 139500 * time.Microsecond, 25, 0.25, ShareReasonLoad},
		{"all places have queues", 80, 4.8, 60 * ms, 400 * ms, 190 * ms, 25, 0.5 * minGain, ShareReasonLoad},
		{"no responses from there, queue here", 80, 4.8, 60 * ms, 180 * ms, 0, 25, 0.5, ShareReasonLoad},
		{"no responses from there, no queue here", 80, 4.8, 60 * ms, 60 * ms, 0, 25, 0, ShareReasonLoad},
		{"no targets", 0, 0, 60 * ms, 60 * ms, 0, 25, 1, ShareReasonNoTargets},
	} {
		capacities := map[string]placeCapacity{"b": {slots: 40}, "c": {slots: 40}}
		if tc.slots > 0 {
			capacities["a"] = placeCapacity{slots: tc.slots, load: tc.load}
		}
		s := &placeSharing{}
		s.update(startTime, 0, "a", capacities, tc.balancers)
		for range 100 {
			s.recordResponse(startTime, "a", "a", tc.unloadedTime)
		}
		later := startTime.Add(2 * responseMaxAge)
		s.localTime.add(later, tc.localTime)
		for _, place := range []string{"b", "c"} {
			if tc.farTime > 0 {
				s.recordResponse(later, place, "a", tc.farTime)
			}
		}
		s.update(later, 0, "a", capacities, tc.balancers)
		assert.Assert(t, math.Abs(s.share-tc.wantShare) < 1e-9, "%s: %f", tc.name, s.share)
		assert.Equal(t, s.reason, tc.wantReason, tc.name)
		left := 0
		for i := range uint64(10000) {
			if s.destination(later, "a", state.Mix(i, 1)) != "a" {
				left++
			}
		}
		assert.Assert(t, math.Abs(float64(left)/10000-s.share) < 0.02, "%s: %d", tc.name, left)
	}
}

// Guards against flows that keep going to a place that is cut off, and against a place that stays
// excluded after it can be reached again.
func TestUnreachablePlaceGetsTrials(t *testing.T) {
	s := &placeSharing{}
	count := func(now time.Time) map[string]int {
		places := make(map[string]int)
		for i := range uint64(300) {
			places[s.destination(now, "a", state.Mix(i, 1))]++
		}
		return places
	}
	s.update(startTime, 0, "a", map[string]placeCapacity{"b": {slots: 40}, "c": {slots: 40}}, 1)
	assert.Assert(t, count(startTime)["b"] > 100 && count(startTime)["c"] > 100)
	for range 4 {
		s.recordOpener(startTime, "b", false)
	}
	assert.Equal(t, count(startTime)["c"], 300, "the other place gets the flows")
	assert.Equal(t, count(startTime.Add(placeTrialInterval))["b"], 1)
	for range 4 {
		s.recordOpener(startTime, "c", false)
	}
	assert.Equal(t, count(startTime)["a"], 300, "no place can be reached")
	s.recordOpener(startTime, "b", true)
	assert.Equal(t, count(startTime)["b"], 300)
}

// Guards against a state of the placement that nobody sees, and against events for each change of the share.
func TestSharingIsReported(t *testing.T) {
	b := newTestBalancer(t, 6)
	b.d.options.CrossPlace = true
	kinds := func() (found []EventKind) {
		for _, e := range b.d.PopEvents() {
			if e.Kind == EventSharingBegan || e.Kind == EventSharingEnded {
				found = append(found, e.Kind)
			}
		}
		return found
	}
	setDraining := func(draining bool) {
		for i := range b.targets {
			if b.targets[i].Place == "a" {
				b.targets[i].Draining = draining
			}
		}
		b.publishListing()
	}
	setDraining(true)
	for range 3 {
		b.d.Tick(b.now)
	}
	assert.DeepEqual(t, kinds(), []EventKind{EventSharingBegan})
	assert.Equal(t, b.d.Gauges().Sharing["web"].Reason, ShareReasonNoTargets)
	setDraining(false)
	b.d.Tick(b.now)
	assert.Equal(t, len(kinds()), 0)
	b.d.Tick(b.now.Add(sharingEndDelay))
	assert.DeepEqual(t, kinds(), []EventKind{EventSharingEnded})
	assert.Equal(t, len(b.d.Gauges().Sharing), 0)
}

// Guards against openers that are refused although another place has room, and against a place that
// gets the excess of others while it is as loaded.
func TestExcessGoesToPlacesWithRoom(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		farTime   time.Duration
		wantPlace string
	}{{60 * ms, "b"}, {200 * ms, ""}} {
		b := newTestBalancer(t, 6)
		b.d.options.CrossPlace, b.d.options.LearnsFromRejections = true, true
		b.advance(100 * ms)
		s := b.d.sharing["web"]
		for range 100 {
			s.recordResponse(b.now, "a", "a", 60*ms)
		}
		b.advance(2 * responseMaxAge)
		s.localTime.add(b.now, 200*ms)
		s.recordResponse(b.now, "b", "a", tc.farTime)
		s.recordResponse(b.now, "c", "a", 200*ms)
		b.openTo(b.d.targets.byID["i-00000001"]).sendRequest(10)
		b.d.loads["web"] = Load{Limit: 1, Reason: LimitRejected, Slots: 1}
		b.d.pressures["web"] = &pressure{limit: 1}
		decision := b.newFlow(0).sendOpener()
		if tc.wantPlace == "" {
			assert.Equal(t, decision.Reason, ReasonOverload)
			continue
		}
		assert.Equal(t, decision.Action, ActionForward, "%s", decision.Reason)
		assert.Equal(t, decision.Target.Place, tc.wantPlace)
		assert.Equal(t, b.d.limitedInFlight(b.d.routes.current[routeAddress(0)].usage), 1, "requests elsewhere do not count against the limit here")
	}
}
