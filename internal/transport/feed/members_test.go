package feed

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
)

// Guards against a balancer that has read its first data in a short time of answers, but does
// not know the balancers of its place until the platform answers again: the limit of requests in
// progress of each balancer depends on their number.
func TestMembersAreReadAfterFirstData(t *testing.T) {
	for name, fails := range map[string]bool{"failed read": true, "hanging read": false} {
		directory := &memoryDirectory{}
		var reads atomic.Int64
		directory.beforeMembers = func(ctx context.Context) error {
			if reads.Add(1) > 1 {
				return nil
			}
			if fails {
				return errors.New("no answer")
			}
			<-ctx.Done()
			return ctx.Err()
		}
		n := startNode(t, "vm-1", directory)
		waitFor(t, "the first read", func() bool { return reads.Load() == 1 })
		time.Sleep(100 * time.Millisecond)
		n.applyPlatformState(3, 10, "i-1")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, reads.Load(), int64(2), "%s: reads of the member list within half a second of the first data", name)
	}
}

// Guards against balancers that open flows at cold targets because the lists of a place that starts,
// or whose entries the store has lost, lack the names of the others.
func TestIncompleteMemberListsDecideNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := dsr.NewDispatcher(dsr.Options{Place: "a", ColdOverage: 1.5})
	d.SetRoutes(dsr.RouteSet{Version: 1, Routes: []*dsr.Route{{Backends: []dsr.Backend{{Service: "web", Weight: 1, ColdPerSecond: 1}}}}})
	d.ApplyListing(now, dsr.Listing{Revision: 1, Targets: []dsr.Announcement{{ID: "i-1", Service: "web", Place: "a", Slots: 2, WarmupRemaining: time.Hour}}})
	s := &Service{options: Options{Self: feed.Member{VM: "vm-1"}, Dispatcher: d, Now: func() time.Time { return now }}, follower: feed.NewFollower("vm-1", time.Second, now)}
	// With a limit of 1.5 a second, the first decider alone opens flows. vm-2 precedes vm-1.
	for i, step := range []struct {
		after   time.Duration
		names   string
		decided int
	}{
		{0, "vm-1", 0}, {firstMembersInterval, "vm-1", 0}, {membersSettleTime, "vm-1", 1}, {time.Second, "vm-1 vm-2", 0},
		{time.Minute, "vm-1", 0}, {memberMemory + time.Second, "vm-1", 1}, {time.Second, "vm-2", 0},
	} {
		now = now.Add(step.after)
		var members []feed.Member
		for _, name := range strings.Fields(step.names) {
			members = append(members, feed.Member{VM: name})
		}
		s.setMembers(members, nil)
		d.Tick(now)
		assert.Equal(t, d.Gauges().Cold.Decided, step.decided, "step %d", i)
	}
}
