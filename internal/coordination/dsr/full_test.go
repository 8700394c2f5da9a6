package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLimitedBench is newBench with targets that hold a number of flows.
func newLimitedBench(t *testing.T, targets, connections int) *bench {
	b := newBench(t, targets)
	set := routesOf(2, "web", "other")
	set.Routes[0].Backends[0].Connections = connections
	assert.Assert(t, b.d.SetRoutes(set))
	return b
}

// Guards against resets of flows whose target serves, because the target has no
// room for further flows and leaves their openers unanswered.
func TestFullTargetIsNotTakenForDead(t *testing.T) {
	b := newLimitedBench(t, 3, 24)
	c := b.dial(0).open()
	other := b.lively(c.target)
	b.wait(time.Second)
	waiting := make([]*call, 0, 3)
	for len(waiting) < 3 {
		if w := b.dial(0); w.opener().target == c.target {
			waiting = append(waiting, w)
		}
	}
	b.wait(200 * time.Millisecond)
	other.exchange()
	for _, w := range waiting {
		w.opener()
	}
	c.request(100)
	b.wait(200 * time.Millisecond)
	other.exchange()
	assert.Equal(t, c.again(100).Action, ActionForward, "one lost packet on a flow of a full target")
}

// Guards against an opener whose copies all go to a target without room, and
// against further openers that go there.
func TestCopyOfOpenerLeavesFullTarget(t *testing.T) {
	b := newLimitedBench(t, 3, 24)
	live := b.dial(0).open()
	c := b.dial(0)
	for c.opener().target != live.target {
		c = b.dial(0)
	}
	b.wait(100 * time.Millisecond)
	live.request(10)
	b.wait(100 * time.Millisecond)
	live.answered(10)
	d := c.opener()
	assert.Equal(t, d.Reason, ReasonRetried)
	assert.Assert(t, d.target != live.target)
	for range 6 {
		assert.Assert(t, b.dial(0).opener().target != live.target)
	}
	b.wait(fullPause)
	assert.Assert(t, !live.target.full(b.now))
}

// Guards against openers that wait at a target which, by the flows of this
// balancer alone, has no room, and against a refusal while another one has.
func TestTargetsAtTheirLimitGetNoFlow(t *testing.T) {
	const targets, connections = 3, 4
	b := newLimitedBench(t, targets, connections)
	var calls []*call
	for range targets * connections {
		calls = append(calls, b.dial(0).open())
	}
	for _, target := range b.d.targets.byID {
		assert.Equal(t, target.held(), connections)
	}
	d := b.dial(0).opener()
	assert.Equal(t, d.Action, ActionReset)
	assert.Equal(t, d.Reason, ReasonNoTarget)
	calls[5].fin()
	d = b.dial(0).opener()
	assert.Equal(t, d.Action, ActionForward)
	assert.Equal(t, d.target, calls[5].target)
}

// Guards against a caller that waits for its timeout where no target has room,
// and against a pool that stays refused: openers are let through after the pause.
func TestFullPoolIsRefusedAtOnce(t *testing.T) {
	b := newLimitedBench(t, 3, 24)
	for _, target := range b.d.targets.byID {
		target.fullAt = b.now
	}
	assert.Equal(t, b.dial(0).opener().Action, ActionReset)
	b.wait(fullPause)
	assert.Equal(t, b.dial(0).opener().Action, ActionForward)
}

// Guards against room that stays taken by openers which nobody answered, and by
// flows that were closed or are forgotten.
func TestEndedFlowsHoldNoRoom(t *testing.T) {
	b := newLimitedBench(t, 1, 4)
	b.dial(0).opener()
	closed := b.dial(0).open()
	closed.fin()
	closed.fin()
	b.dial(0).open()
	for _, target := range b.d.targets.byID {
		assert.Equal(t, target.held(), 2)
		b.wait(openerTimeout + 200*time.Millisecond)
		assert.Equal(t, target.held(), 1)
		b.wait(16 * time.Second)
		assert.Equal(t, target.held(), 0)
		assert.Equal(t, target.open, 0)
		assert.Equal(t, target.closed, 0)
	}
}

// Guards against a dead target that keeps getting openers, because an opener
// that it leaves unanswered is put down to a limit which is out of reach.
func TestDistantLimitExcusesNoSilence(t *testing.T) {
	b := newLimitedBench(t, 4, 2000)
	c := b.dial(0)
	first := c.opener().target
	b.wait(200 * time.Millisecond)
	b.lively(first)
	c.opener()
	assert.Assert(t, first.health.suspected())
}
