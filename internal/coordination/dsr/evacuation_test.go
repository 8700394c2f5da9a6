package dsr

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// evacuate publishes a listing with the given evacuated places.
func (b *testBalancer) evacuate(places ...string) {
	b.evacuated = places
	b.publishListing()
}

// placesOfNewFlows returns how many of new flows, which stay open, went to each place.
func (b *testBalancer) placesOfNewFlows(count int) map[string]int {
	places := make(map[string]int)
	for range count {
		places[b.newFlow(0).open().target.Place]++
	}
	return places
}

// placeEvents returns the events about places since the last call, as kind and place.
func (b *testBalancer) placeEvents() (events []string) {
	for _, e := range b.d.PopEvents() {
		if e.Place != "" {
			assert.Assert(b.t, e.Revision > 0)
			events = append(events, string(e.Kind)+" "+e.Place)
		}
	}
	return events
}

// Guards against openers to targets of an evacuated place, in each order of evacuations and
// returns, and against events that are missing or repeated.
func TestEvacuatedPlacesGetNoNewFlows(t *testing.T) {
	b := newTestBalancer(t, 9)
	assert.Assert(t, b.placesOfNewFlows(300)["a"] > 0)
	b.evacuate("a")
	assert.Equal(t, b.placesOfNewFlows(300)["a"], 0)
	b.evacuate("a", "b")
	b.publishListing()
	assert.DeepEqual(t, b.placesOfNewFlows(30), map[string]int{"c": 30})
	b.evacuate("b")
	places := b.placesOfNewFlows(300)
	assert.Assert(t, places["a"] > 0 && places["b"] == 0, "%v", places)
	b.evacuate()
	assert.Assert(t, b.placesOfNewFlows(1000)["b"] > 0)
	assert.DeepEqual(t, b.placeEvents(), []string{"place-evacuated a", "place-evacuated b", "place-returned a", "place-returned b"})
}

// Guards against flows that an evacuation breaks or moves, and against those of a target that is
// used again after the return.
func TestOpenFlowsStayInEvacuatedPlace(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.openTo(b.d.targets.byID["i-00000001"])
	target := c.target
	b.evacuate("a", "b", "c")
	for range 20 {
		b.advance(200 * time.Millisecond)
		d := c.sendRequest(10)
		assert.Equal(t, d.Action, ActionForward)
		assert.Equal(t, d.target, target)
		c.ackResponse(10)
	}
	adopter := newTestBalancer(t, 3)
	adopter.evacuate("a")
	d := adopter.d.Handle(adopter.now, Packet{Flow: c.flow, Seq: c.seq, Ack: c.ack, Bytes: 10, Token: target.Token})
	assert.Equal(t, d.Action, ActionForward, "a balancer that did not see the opener")
	assert.Equal(t, d.Target.ID, target.ID)
}

// Guards against copies of an opener to a target of an evacuated place to which an earlier
// transmission went, before and after the flow was open, and against resets of such flows.
func TestCopiesOfOpenersLeaveEvacuatedPlace(t *testing.T) {
	b := newTestBalancer(t, 3)
	target := b.d.targets.byID["i-00000001"]
	opened := b.openTo(target)
	opened.seq-- // as in its opener
	waiting := b.newFlow(0)
	for waiting.sendOpener().target != target {
		waiting = b.newFlow(0)
	}
	b.evacuate("a")
	for range 3 {
		b.advance(200 * time.Millisecond)
		d := waiting.sendOpener()
		assert.Equal(t, d.Action, ActionForward, "%s", d.Reason)
		assert.Assert(t, d.Target.Place != "a")
	}
	assert.Equal(t, opened.sendOpener().Action, ActionDrop, "the flow is open")
	assert.Equal(t, opened.sendOpener().Reason, ReasonNoTargetForCopy)
	b.evacuate("a", "b", "c")
	assert.Equal(t, waiting.sendOpener().Reason, ReasonNoTargetForCopy)
	unseen := b.newFlow(0)
	unseen.retransmits = 1
	assert.Equal(t, unseen.sendOpener().Reason, ReasonNoTargetForCopy, "another balancer may have forwarded the opener")
}

// Guards against openers that wait or go to an evacuated place when all places are evacuated.
func TestOpenersAreRefusedWhenAllPlacesAreEvacuated(t *testing.T) {
	b := newTestBalancer(t, 9)
	b.evacuate("a", "b", "c")
	for range 50 {
		d := b.newFlow(0).sendOpener()
		assert.Equal(t, d.Action, ActionReset)
		assert.Equal(t, d.Reason, ReasonNoTarget)
	}
	b.evacuate()
	assert.Equal(t, b.newFlow(0).sendOpener().Action, ActionForward)
}

// Guards against trial flows to suspected targets of an evacuated place, which are chosen before
// all others.
func TestSuspectedTargetOfEvacuatedPlaceGetsNoTrial(t *testing.T) {
	b := newTestBalancer(t, 3)
	target := b.d.targets.byID["i-00000001"]
	target.health.recordFailure(b.now, time.Second, 1)
	b.evacuate("a")
	for range 20 {
		b.advance(500 * time.Millisecond)
		assert.Assert(t, b.placesOfNewFlows(1)["a"] == 0)
	}
}

// Guards against targets that appear in, move to or return to an evacuated place and get flows.
func TestTargetsOfEvacuatedPlaceThatAppearLater(t *testing.T) {
	b := newTestBalancer(t, 2) // in the places a and b
	b.evacuate("c")
	assert.Equal(t, len(b.placeEvents()), 0, "no target names the place")
	assert.Equal(t, len(b.d.Delta(0, 0).EvacuatedPlaces), 0)
	added := newAnnouncement(2, "web", "c")
	b.targets = append(b.targets, added)
	b.publishListing()
	assert.DeepEqual(t, b.placeEvents(), []string{"place-evacuated c"})
	assert.Equal(t, b.placesOfNewFlows(100)["c"], 0)

	b.targets = b.targets[:2]
	b.publishListing()
	assert.Equal(t, len(b.placeEvents()), 0, "the target is gone, and its flows may be open")
	added.Created, added.Revision = b.revision, b.revision
	b.targets = append(b.targets, added)
	b.publishListing()
	assert.Equal(t, b.placesOfNewFlows(100)["c"], 0)

	b.targets[0].Place, b.targets[0].Revision = "c", b.revision
	b.publishListing()
	assert.DeepEqual(t, b.placesOfNewFlows(100), map[string]int{"b": 100})
	b.targets[0].Place, b.targets[0].Revision = "a", b.revision
	b.publishListing()
	assert.Assert(t, b.placesOfNewFlows(300)["a"] > 0)
}

// Guards against a place that counts as returned because all its targets have vanished, and
// against names that stay for good.
func TestEvacuationOfPlaceWithoutTargetsLeft(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.evacuate("a")
	b.placeEvents()
	b.targets = b.targets[1:]
	b.publishListing()
	assert.Equal(t, len(b.d.Evacuations()), 1)
	b.advance(time.Minute + tokenRetentionMargin + time.Second)
	b.publishListing()
	assert.Equal(t, len(b.d.Evacuations()), 0)
	assert.Equal(t, len(b.placeEvents()), 0)
}

// Guards against flows to targets that are kept although the listing lacks them, while their place
// is evacuated, and against a mass removal of targets that holds up the evacuation.
func TestKeptTargetsOfEvacuatedPlaceGetNoFlows(t *testing.T) {
	b := newTestBalancer(t, 9)
	b.targets = nil
	b.evacuate("a")
	assert.Equal(t, b.d.Gauges().Targets, 9, "the targets are kept")
	assert.Equal(t, b.placesOfNewFlows(100)["a"], 0)
}

// Guards against a listing or a delta of an older revision that returns a place, and against one
// that was read before the last removal and evacuates it again.
func TestOlderDataDoNotChangeEvacuations(t *testing.T) {
	b := newTestBalancer(t, 3)
	parent := newTestBalancer(t, 3)
	b.evacuate("a")
	old := b.revision - 1
	b.d.ApplyListing(b.now, Listing{Targets: b.targets, Revision: old})
	delta := parent.d.Delta(0, 0) // of a parent that has no evacuation
	delta.Revision = old
	assert.Assert(t, !b.d.ApplyDelta(b.now, delta))
	assert.Equal(t, b.placesOfNewFlows(100)["a"], 0)
	b.evacuate()
	b.d.ApplyListing(b.now, Listing{Targets: b.targets, EvacuatedPlaces: placeSet([]string{"a"}), Revision: b.revision - 1})
	assert.Equal(t, len(b.d.Evacuations()), 0)
}

// Guards against an evacuation that does not reach followers of followers, or that makes balancers
// with the same data count as different: they must agree on targets, evacuations and digests after
// any order of changes, deltas, restarts and evictions.
func TestFollowersConvergeOnSameEvacuations(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		chain := []*testBalancer{newTestBalancer(t, 3), newTestBalancer(t, 0), newTestBalancer(t, 0)}
		for _, b := range chain[1:] {
			b.d.targets.position.Revision = 0
		}
		root := chain[0]
		type position struct{ epoch, sequence uint64 }
		positions := make([]position, len(chain))
		follow := func(i int) {
			parent, _ := chain[i-1].d.Summary()
			if positions[i] == (position{parent.Epoch, parent.ChangeSequence}) {
				return // a follower does not fetch then
			}
			delta := chain[i-1].d.Delta(positions[i].epoch, positions[i].sequence)
			assert.Assert(t, chain[i].d.ApplyDelta(chain[i].now, delta))
			positions[i] = position{delta.Epoch, delta.ChangeSequence}
		}
		next := 3
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 6).Draw(r, "event") {
			case 0:
				a := newAnnouncement(next, "web", rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "place"))
				a.Created, a.Revision = root.revision, root.revision
				root.targets = append(root.targets, a)
				next++
			case 1:
				if len(root.targets) > 0 {
					root.targets = root.targets[1:]
				}
			case 2, 3:
				root.evacuated = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID).Draw(r, "evacuated")
			case 4:
				wait := rapid.SampledFrom([]time.Duration{absenceGracePeriod, 2 * time.Minute}).Draw(r, "wait")
				for _, b := range chain {
					b.now = b.now.Add(wait)
				}
			case 5:
				positions[rapid.IntRange(1, 2).Draw(r, "restarted")] = position{}
			case 6:
				follow(rapid.IntRange(1, 2).Draw(r, "follower"))
			}
			root.publishListing()
		}
		root.now = root.now.Add(absenceGracePeriod)
		root.publishListing() // targets that vanished together are no longer kept
		follow(1)
		follow(2)
		want, _ := root.d.Summary()
		for i, b := range chain[1:] {
			got, _ := b.d.Summary()
			assert.Equal(t, got.TargetsDigest, want.TargetsDigest, "follower %d", i+1)
			assert.DeepEqual(t, b.targetStates(), root.targetStates())
			for id, target := range b.d.targets.byID {
				if target.goneAt.IsZero() {
					assert.Equal(t, target.acceptsNewFlows(), root.d.targets.byID[id].acceptsNewFlows(), id)
				}
			}
		}
	})
}

// Guards against changes for followers, and digests that differ, where no place is evacuated, and
// against changes after listings that repeat the set.
func TestUnchangedEvacuationsAreNoChange(t *testing.T) {
	b := newTestBalancer(t, 3)
	before, _ := b.d.Summary()
	b.evacuate("elsewhere")
	after, _ := b.d.Summary()
	assert.Equal(t, after.ChangeSequence, before.ChangeSequence)
	assert.Equal(t, after.TargetsDigest, before.TargetsDigest)
	b.evacuate("a")
	evacuated, _ := b.d.Summary()
	assert.Equal(t, evacuated.ChangeSequence, before.ChangeSequence+1)
	assert.Assert(t, evacuated.TargetsDigest != before.TargetsDigest)
	b.evacuate("a", "elsewhere")
	repeated, _ := b.d.Summary()
	assert.Equal(t, repeated.ChangeSequence, evacuated.ChangeSequence)
	b.evacuate()
	returned, _ := b.d.Summary()
	assert.Equal(t, returned.ChangeSequence, evacuated.ChangeSequence+1)
	assert.Equal(t, returned.TargetsDigest, before.TargetsDigest)
}

// Guards against memory, messages and work at followers that grow with the number of keys: of
// 10,000 names, only those that targets name as their place are kept and sent.
func TestManyEvacuatedNames(t *testing.T) {
	b := newTestBalancer(t, 9)
	names := []string{"a"}
	for i := range 10_000 {
		names = append(names, fmt.Sprintf("place-%d", i))
	}
	b.evacuate(names...)
	assert.DeepEqual(t, b.d.Delta(0, 0).EvacuatedPlaces, []string{"a"})
	follower := newTestBalancer(t, 0)
	follower.d.targets.position.Revision = 0
	delta := b.d.Delta(0, 0)
	delta.EvacuatedPlaces = names // as of another implementation
	assert.Assert(t, follower.d.ApplyDelta(follower.now, delta))
	assert.Equal(t, len(follower.d.targets.evacuatedSince), 1)
	assert.Equal(t, follower.placesOfNewFlows(100)["a"], 0)
}

// Guards against counts that tell an operator that a place is empty while it has flows, or that
// hide that the other places lack slots.
func TestEvacuationStatus(t *testing.T) {
	b := newTestBalancer(t, 9)
	c := b.openTo(b.d.targets.byID["i-00000001"])
	c.sendRequest(10)
	b.evacuate("a")
	since := b.now
	b.advance(time.Second)
	b.publishListing()
	status := b.d.Evacuations()
	assert.Equal(t, len(status), 1)
	assert.Equal(t, status["a"].Since, since)
	assert.Assert(t, status["a"].OpenFlows >= 1)
	assert.Equal(t, status["a"].InFlight, 1)
	assert.DeepEqual(t, status["a"].SlotsElsewhere, map[string]int{"web": 12})
	c.ackResponse(10)
	assert.Equal(t, b.d.Evacuations()["a"].InFlight, 0)
	b.evacuate("a", "b", "c")
	assert.DeepEqual(t, b.d.Evacuations()["b"].SlotsElsewhere, map[string]int{"web": 0})
}
