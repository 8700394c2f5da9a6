package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// pausableClock is a clock of a node that can skip a pause, as a machine that was suspended.
type pausableClock struct{ paused atomic.Int64 }

func (c *pausableClock) now() time.Time {
	return boottime.Now().Add(time.Duration(c.paused.Load()))
}

func (c *pausableClock) pause(d time.Duration) { c.paused.Add(int64(d)) }

// startPausedPair starts a parent whose platform data are not updated again, and a
// follower that has just confirmed that its data match the parent's.
func startPausedPair(t *testing.T) (parent, follower *node) {
	parent, follower, _ = startPair(t)
	stop := parent.repeatUntilStopped(t, func() { parent.applyPlatformState(3, 10, "i-1") })
	waitFor(t, "the follower to stop reading the platform", follower.follows)
	stop()
	return parent, follower
}

// Guards against a parent that was suspended and then reports its data as recent: its
// followers would keep using them although the platform has changed meanwhile.
func TestSuspendedParentReportsAgeOfData(t *testing.T) {
	parent, follower := startPausedPair(t)
	confirmedBefore, _ := follower.dispatcher.Summary()
	follower.clock.pause(20 * time.Second) // the time passes here, too, while the parent is suspended
	parent.clock.pause(20 * time.Second)
	probe := func() uint64 {
		follower.service.mu.Lock()
		defer follower.service.mu.Unlock()
		return follower.service.probeSequence
	}
	sent := probe()
	waitFor(t, "probes after the suspension", func() bool { return probe() >= sent+3 })
	confirmed, _ := follower.dispatcher.Summary()
	assert.Assert(t, confirmed.AsOf.Sub(confirmedBefore.AsOf) <= time.Second, "data confirmed as of %s later", confirmed.AsOf.Sub(confirmedBefore.AsOf))
}

// Guards against a follower that was suspended and then takes an answer that waited in its
// socket for a confirmation that its data are recent.
func TestSuspendedFollowerDoesNotTrustWaitingAnswer(t *testing.T) {
	parent, follower := startPausedPair(t)
	summary, ok := parent.dispatcher.Summary()
	assert.Assert(t, ok)
	follower.service.mu.Lock()
	sentAt, sequence, from := follower.service.probeSentAt, follower.service.probeSequence, follower.service.parent.Address
	follower.service.fetching = false
	follower.service.mu.Unlock()
	follower.clock.pause(20 * time.Second)
	follower.service.handleState(context.Background(), &wire.FeedState{
		Sequence: sequence, RoutesVersion: summary.RoutesVersion, Epoch: summary.Epoch, Change: summary.ChangeSequence,
	}, from)
	confirmed, _ := follower.dispatcher.Summary()
	assert.Assert(t, confirmed.AsOf.Sub(sentAt) <= time.Second, "data confirmed as of %s after the probe", confirmed.AsOf.Sub(sentAt))
	assert.Assert(t, follower.service.MustReadPlatform())
}
