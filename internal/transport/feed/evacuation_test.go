package feed

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// evacuationListing returns a listing of a target in each of the places a and b.
func evacuationListing(revision uint64, evacuated map[string]bool) dsr.Listing {
	l := dsr.Listing{Revision: revision, EvacuatedPlaces: evacuated}
	for i, place := range []string{"a", "b"} {
		a := dsr.Announcement{ID: "i-" + place, Incarnation: 7, Service: "web", Slots: 2, Created: 1, Revision: 1, Place: place}
		a.Endpoint.IP, a.Endpoint.Port = [4]byte{10, 0, 0, byte(i + 1)}, 80
		l.Targets = append(l.Targets, a)
	}
	return l
}

// Guards against an evacuation, or its end, that does not reach followers of followers within the
// bound, and against followers that count as different from their parent because of it.
func TestEvacuationReachesFollowersOfFollowers(t *testing.T) {
	const members, bound = 10, 3 * time.Second // a parent has six followers
	nodes := startPlace(t, members)
	root := nodes[0]
	var revision uint64 = 10
	var evacuated atomic.Pointer[map[string]bool]
	evacuated.Store(&map[string]bool{})
	root.repeatUntilStopped(t, func() {
		revision++
		root.setRoutes(3)
		now := root.clock.now()
		root.dispatcher.ApplyListing(now, evacuationListing(revision, *evacuated.Load()))
		root.dispatcher.ConfirmRead(now)
	})
	for _, n := range nodes[1:] {
		waitFor(t, "the node to follow", n.follows)
	}
	// The first member lists are short, and a busy node is skipped as a parent for a while.
	waitFor(t, "a follower to follow a follower", func() bool {
		parents := make(map[string]bool)
		for _, n := range nodes[1:] {
			parents[n.parentVM()] = true
		}
		return len(parents) > 1
	})
	for _, set := range []map[string]bool{{"a": true}, {"a": true, "b": true}, {"b": true}, {}} {
		evacuated.Store(&set)
		changedAt := time.Now()
		for _, n := range nodes {
			waitFor(t, "the set of evacuated places", func() bool {
				status := n.dispatcher.Evacuations()
				_, a := status["a"]
				_, b := status["b"]
				return a == set["a"] && b == set["b"]
			})
		}
		assert.Assert(t, time.Since(changedAt) <= bound, "%v reached all balancers after %s", set, time.Since(changedAt))
	}
	for _, n := range nodes {
		mismatch := func(e dsr.Event) bool { return e.Kind == dsr.EventTargetsMismatch }
		assert.Assert(t, !slices.ContainsFunc(n.dispatcher.PopEvents(), mismatch))
	}
}

// Guards against a field of the set that is lost or sent without an evacuation: balancers of the
// previous version must receive the same bytes as before then.
func TestEvacuatedPlacesOnTheWire(t *testing.T) {
	parent, follower := dsr.NewDispatcher(dsr.Options{}), dsr.NewDispatcher(dsr.Options{})
	now := time.Unix(1, 0)
	encode := func(evacuated map[string]bool, revision uint64) *wire.FeedTargetsResponse {
		parent.ApplyListing(now, evacuationListing(revision, evacuated))
		return encodeTargetsDelta(parent.Delta(0, 0))
	}
	response := encode(nil, 5)
	before, err := proto.Marshal(response)
	assert.NilError(t, err)
	response.EvacuatedPlaces = nil
	without, err := proto.Marshal(response)
	assert.NilError(t, err)
	assert.DeepEqual(t, before, without)
	for revision, set := range []map[string]bool{{"a": true, "b": true}, {"b": true}, {}} {
		response := encode(set, uint64(6+revision))
		assert.Equal(t, len(response.GetEvacuatedPlaces()), len(set))
		delta, err := decodeTargetsDelta(response)
		assert.NilError(t, err)
		assert.Assert(t, follower.ApplyDelta(now, delta))
		assert.Equal(t, len(follower.Evacuations()), len(set))
		for place := range set {
			_, found := follower.Evacuations()[place]
			assert.Assert(t, found, place)
		}
	}
}

// Guards against targets of a parent with the previous version, which sends no set, that are not
// accepted. The set of its follower is then empty.
func TestParentWithoutEvacuations(t *testing.T) {
	follower := dsr.NewDispatcher(dsr.Options{})
	now := time.Unix(1, 0)
	follower.ApplyListing(now, evacuationListing(5, map[string]bool{"a": true}))
	assert.Equal(t, len(follower.Evacuations()), 1)
	parent := dsr.NewDispatcher(dsr.Options{})
	parent.ApplyListing(now, evacuationListing(6, nil))
	delta, err := decodeTargetsDelta(encodeTargetsDelta(parent.Delta(0, 0)))
	assert.NilError(t, err)
	assert.Assert(t, follower.ApplyDelta(now, delta))
	assert.Equal(t, len(follower.Evacuations()), 0)
	own, _ := follower.Summary()
	theirs, _ := parent.Summary()
	assert.Equal(t, own.TargetsDigest, theirs.TargetsDigest)
}
