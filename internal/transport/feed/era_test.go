package feed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
)

// platformState is what a node has read from the platform.
type platformState struct {
	version, era, revision uint64
	ids                    []string
}

// read applies a state as if the node had just read it.
func (n *node) read(s platformState) {
	n.setRoutes(s.version)
	listing := evacuationListing(s.revision, nil)
	listing.Era, listing.Targets = s.era, listing.Targets[:0]
	for i, id := range s.ids {
		a := dsr.Announcement{ID: id, Incarnation: 7, Service: "web", Slots: 2, Revision: 1, Place: "a"}
		a.Endpoint.IP, a.Endpoint.Port = [4]byte{10, 0, 0, byte(i)}, 80
		listing.Targets = append(listing.Targets, a)
	}
	now := n.clock.now()
	listing.ReadAt = now
	n.dispatcher.ApplyListing(now, listing)
	n.dispatcher.ConfirmRead(now)
}

// readRepeatedly makes a node read a state until the test ends, and returns a function that
// replaces the state.
func (n *node) readRepeatedly(t *testing.T, first platformState) (replace func(platformState)) {
	var mu sync.Mutex
	state := first
	n.repeatUntilStopped(t, func() {
		mu.Lock()
		defer mu.Unlock()
		n.read(state)
	})
	return func(s platformState) {
		mu.Lock()
		defer mu.Unlock()
		state = s
	}
}

// Guards against a follower that ignores its parent after the store has returned from an older copy,
// because the parent's revision is lower than before, and reads the store instead.
func TestFollowerTakesDataOfLaterEra(t *testing.T) {
	parent, follower, _ := startPair(t)
	replace := parent.readRepeatedly(t, platformState{3, 1, 100, []string{"i-1"}})
	waitFor(t, "the follower to follow", follower.follows)
	replace(platformState{4, 2, 50, []string{"i-1", "i-2"}})
	waitFor(t, "the targets after the return", func() bool { return follower.dispatcher.Gauges().Targets == 2 })
	waitFor(t, "the routes after the return", func() bool { return follower.dispatcher.Gauges().RoutesVersion == 4 })
	waitFor(t, "the follower to follow again", follower.follows)
	assert.Equal(t, follower.dispatcher.Position(), dsr.Position{Era: 2, Revision: 50})
}

// Guards against a follower that takes the data of a parent that was paused while the store returned
// from an older copy, or counts its own as current because of them: the parent's revision is higher.
func TestParentOfFormerEraConfirmsNothing(t *testing.T) {
	parent, follower, _ := startPair(t)
	parent.readRepeatedly(t, platformState{3, 1, 100, []string{"i-1"}})
	waitFor(t, "the follower to follow", follower.follows)
	follower.read(platformState{4, 2, 50, []string{"i-2", "i-3"}})
	readAt, _ := follower.dispatcher.Summary()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		summary, _ := follower.dispatcher.Summary()
		assert.Assert(t, !summary.AsOf.After(readAt.AsOf), "the parent confirmed data of a later era")
		_, isKnown := follower.dispatcher.KnownTarget("i-3")
		assert.Assert(t, isKnown, "the parent's data replaced those of a later era")
	}
	assert.Equal(t, follower.dispatcher.Position(), dsr.Position{Era: 2, Revision: 50})
}

// Guards against an entry in the member list that the store lost when it returned from an older copy, and
// that is missing until the next regular read of a long list.
func TestRegistrationIsRepeatedAfterReturn(t *testing.T) {
	const members = 100 // the list is read every 100 s, and balancers register within 15 s of a return
	directory := &memoryDirectory{}
	for i := range members {
		directory.members = append(directory.members, feed.Member{VM: fmt.Sprintf("other-%d", i), Address: freeAddress(t)})
	}
	n := startNode(t, "vm-1", directory)
	isListed := func() bool {
		list, err := directory.Members(t.Context())
		return err == nil && feed.IsListed("vm-1", list)
	}
	n.read(platformState{1, 1, 100, []string{"i-1"}})
	waitFor(t, "a read of the list with the own entry", func() bool {
		n.service.mu.Lock()
		defer n.service.mu.Unlock()
		return n.service.memberCount == members+1 && n.service.membersEra == 1
	})
	directory.mu.Lock()
	directory.members = directory.members[:members]
	directory.mu.Unlock()
	n.read(platformState{1, 2, 50, []string{"i-1"}})
	waitFor(t, "the entry after the return", isListed)
}
