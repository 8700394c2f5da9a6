package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newFlowLimitedTestBalancer is newTestBalancer with targets that accept at most maxFlows
// flows each.
func newFlowLimitedTestBalancer(t *testing.T, targets, maxFlows int) *testBalancer {
	b := newTestBalancer(t, targets)
	set := newRouteSet(2, "web", "other")
	set.Routes[0].Backends[0].MaxFlowsPerTarget = maxFlows
	assert.Assert(t, b.d.SetRoutes(set))
	return b
}

// Guards against resetting flows of a healthy target because it is full and ignores
// further openers.
func TestFullTargetIsNotMarkedFailed(t *testing.T) {
	b := newFlowLimitedTestBalancer(t, 3, 24)
	c := b.newFlow(0).open()
	other := b.openToOther(c.target)
	b.advance(time.Second)
	waiting := make([]*callerFlow, 0, 3)
	for len(waiting) < 3 {
		if w := b.newFlow(0); w.sendOpener().target == c.target {
			waiting = append(waiting, w)
		}
	}
	b.advance(200 * time.Millisecond)
	other.exchange()
	for _, w := range waiting {
		w.sendOpener()
	}
	c.sendRequest(100)
	b.advance(200 * time.Millisecond)
	other.exchange()
	assert.Equal(t, c.retransmit(100).Action, ActionForward, "one lost packet on a flow of a full target")
}

// Guards against sending all retransmissions of an opener to a full target, and against
// sending it further openers.
func TestRepeatedOpenerAvoidsFullTarget(t *testing.T) {
	b := newFlowLimitedTestBalancer(t, 3, 24)
	live := b.newFlow(0).open()
	c := b.newFlow(0)
	for c.sendOpener().target != live.target {
		c = b.newFlow(0)
	}
	b.advance(100 * time.Millisecond)
	live.sendRequest(10)
	b.advance(100 * time.Millisecond)
	live.ackResponse(10)
	d := c.sendOpener()
	assert.Equal(t, d.Reason, ReasonRetriedOpener)
	assert.Assert(t, d.target != live.target)
	for range 6 {
		assert.Assert(t, b.newFlow(0).sendOpener().target != live.target)
	}
	b.advance(fullBackoff)
	assert.Assert(t, !live.target.recentlyFull(b.now))
}

// Guards against sending openers to a target that is full with this balancer's flows
// alone, and against refusing openers while another target accepts flows.
func TestTargetsAtFlowLimitGetNoFlows(t *testing.T) {
	const targets, maxFlows = 3, 4
	b := newFlowLimitedTestBalancer(t, targets, maxFlows)
	var flows []*callerFlow
	for range targets * maxFlows {
		flows = append(flows, b.newFlow(0).open())
	}
	for _, target := range b.d.targets.byID {
		assert.Equal(t, target.activeFlows(), maxFlows)
	}
	d := b.newFlow(0).sendOpener()
	assert.Equal(t, d.Action, ActionReset)
	assert.Equal(t, d.Reason, ReasonNoTarget)
	flows[5].sendFin()
	d = b.newFlow(0).sendOpener()
	assert.Equal(t, d.Action, ActionForward)
	assert.Equal(t, d.target, flows[5].target)
}

// Guards against letting a caller wait until its timeout when all targets are full, and
// against refusing openers forever: they are forwarded again after fullBackoff.
func TestFullPoolRefusesImmediately(t *testing.T) {
	b := newFlowLimitedTestBalancer(t, 3, 24)
	for _, target := range b.d.targets.byID {
		target.lastFullAt = b.now
	}
	assert.Equal(t, b.newFlow(0).sendOpener().Action, ActionReset)
	b.advance(fullBackoff)
	assert.Equal(t, b.newFlow(0).sendOpener().Action, ActionForward)
}

// Guards against counting unanswered openers, closed flows and expired flows towards the
// flow limit of a target.
func TestEndedFlowsFreeCapacity(t *testing.T) {
	b := newFlowLimitedTestBalancer(t, 1, 4)
	b.newFlow(0).sendOpener()
	closed := b.newFlow(0).open()
	closed.sendFin()
	closed.sendFin()
	b.newFlow(0).open()
	for _, target := range b.d.targets.byID {
		assert.Equal(t, target.activeFlows(), 2)
		b.advance(openerTimeout + 200*time.Millisecond)
		assert.Equal(t, target.activeFlows(), 1)
		b.advance(16 * time.Second)
		assert.Equal(t, target.activeFlows(), 0)
		assert.Equal(t, target.openFlows, 0)
		assert.Equal(t, target.closedFlows, 0)
	}
}

// Guards against sending openers to a failed target because its unanswered openers are
// attributed to a flow limit that is far from reached.
func TestDistantFlowLimitDoesNotHideFailure(t *testing.T) {
	b := newFlowLimitedTestBalancer(t, 4, 2000)
	c := b.newFlow(0)
	first := c.sendOpener().target
	b.advance(200 * time.Millisecond)
	b.openToOther(first)
	c.sendOpener()
	assert.Assert(t, first.health.suspected())
}
