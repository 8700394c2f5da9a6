package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counting reordered packets as unanswered ones. An upload whose flow moved
// to this balancer was reset although its target was alive.
func TestReorderedPacketsAreNotFailures(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	other := b.openToOther(c.target)
	b.advance(time.Second)
	c.seq += 12000
	c.send(c.seq, 1200)
	for i := range 8 {
		b.now = b.now.Add(100 * time.Microsecond)
		other.ackResponse(10)
		d := c.send(c.seq-uint32(i+1)*1200, 1200)
		assert.Equal(t, d.Action, ActionForward, "packet %d: %s", i, d.Reason)
	}
	assert.Assert(t, !c.target.health.suspected())
}

// Guards against callers waiting for a dead target until their timeout.
func TestFlowsOfSilentTargetAreReset(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	other := b.openToOther(c.target)
	b.advance(time.Second)
	c.sendRequest(100)
	for range 2 {
		b.advance(200 * time.Millisecond)
		other.exchange()
		if d := c.retransmit(100); d.Action == ActionReset {
			assert.Equal(t, d.Reason, ReasonTargetSilent)
			return
		}
	}
	t.Fatal("the flow was not reset after two unanswered packets")
}

// deadTargetWithIdleFlow returns an idle flow of a target that counts as dead, because it
// left two packets on another flow unanswered.
func deadTargetWithIdleFlow(t *testing.T) (b *testBalancer, idle *callerFlow) {
	b = newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	idle = b.openTo(c.target)
	other := b.openToOther(c.target)
	b.advance(time.Second)
	c.sendRequest(100)
	for range 2 {
		b.advance(250 * time.Millisecond)
		other.exchange()
		c.retransmit(100)
	}
	return b, idle
}

// Guards against callers waiting on idle flows of a target that has just died: such a flow
// is reset with its first packet.
func TestIdleFlowOfDeadTargetIsResetAtOnce(t *testing.T) {
	b, idle := deadTargetWithIdleFlow(t)
	b.advance(2 * time.Second)
	assert.Equal(t, idle.sendRequest(10).Reason, ReasonTargetSilent)
}

// Guards against resetting flows of a target that is reachable again. After a network
// partition of its place had healed, a flow that was idle for ten seconds was reset with
// its first packet.
func TestIdleFlowSurvivesPartition(t *testing.T) {
	b, idle := deadTargetWithIdleFlow(t)
	b.advance(4 * time.Second)
	assert.Equal(t, idle.sendRequest(10).Action, ActionForward)
}

// Guards against resetting flows of live targets while the balancer's own link is down or
// its process is stalled. No target is seen to answer then.
func TestLocalOutageSuspectsNoTarget(t *testing.T) {
	b := newTestBalancer(t, 3)
	flows := make([]*callerFlow, 6)
	for i := range flows {
		flows[i] = b.newFlow(0).open()
	}
	b.advance(time.Second)
	for _, c := range flows {
		c.sendRequest(100)
	}
	for range 5 {
		b.advance(400 * time.Millisecond)
		for _, c := range flows {
			assert.Equal(t, c.retransmit(100).Action, ActionForward)
		}
	}
	assert.Equal(t, b.d.Gauges().Suspected, 0)
}

// Guards against resetting flows of live targets while packets wait in a long queue of the
// balancer's own link. The answers that arrive meanwhile are to packets sent earlier. A
// link that transferred eight large configurations at once caused this.
func TestLongLocalQueueSuspectsNoTarget(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	other := b.openToOther(c.target)
	b.advance(time.Second)
	other.sendRequest(10)
	b.advance(10 * time.Millisecond)
	c.sendRequest(100)
	for range 3 {
		b.advance(400 * time.Millisecond)
		other.ackResponse(1)
		assert.Equal(t, c.retransmit(100).Action, ActionForward)
	}
	assert.Assert(t, !c.target.health.suspected())
}

// Guards against resetting flows of a live target because of two lost packets that are far
// apart. A balancer of a large fleet sees few packets of any one target.
func TestOldFailuresExpire(t *testing.T) {
	b := newTestBalancer(t, 3)
	first := b.newFlow(0).open()
	second := b.openTo(first.target)
	other := b.openToOther(first.target)
	b.advance(time.Second)
	for _, c := range []*callerFlow{first, second} {
		c.sendRequest(100)
		b.advance(200 * time.Millisecond)
		other.exchange()
		assert.Equal(t, c.retransmit(100).Action, ActionForward)
		b.advance(5 * time.Second)
		other.exchange()
	}
	assert.Equal(t, first.sendRequest(100).Action, ActionForward)
}

// Guards against counting packets from before a freeze of the process as unanswered.
func TestFreezeDiscardsFailures(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	other := b.openToOther(c.target)
	b.advance(time.Second)
	c.sendRequest(100)
	b.now = b.now.Add(3 * time.Second)
	b.d.HandleFreeze(b.now)
	other.ackResponse(10)
	for range 3 {
		assert.Equal(t, c.retransmit(100).Action, ActionForward)
		b.now = b.now.Add(10 * time.Millisecond)
	}
}

// Guards against sending an opener to a dead target repeatedly. Its retransmission goes to
// another target, and so do the openers of other callers.
func TestRetransmittedOpenerGoesToAnotherTarget(t *testing.T) {
	b := newTestBalancer(t, 4)
	c := b.newFlow(0)
	first := c.sendOpener().target
	b.advance(200 * time.Millisecond)
	b.openToOther(first)
	d := c.sendOpener()
	assert.Equal(t, d.Action, ActionForward)
	assert.Equal(t, d.Reason, ReasonRetriedOpener)
	assert.Assert(t, d.target != first)
	for range 20 {
		assert.Assert(t, b.newFlow(0).sendOpener().target != first)
	}
}

// Guards against treating the loss of an opener as a failure of its target. The
// retransmission goes to the same target if that has answered other packets since.
func TestRetransmissionOfLostOpenerGoesToSameTarget(t *testing.T) {
	b := newTestBalancer(t, 1)
	live := b.newFlow(0).open()
	c := b.newFlow(0)
	c.sendOpener()
	b.advance(200 * time.Millisecond)
	live.exchange()
	d := c.sendOpener()
	assert.Equal(t, d.Reason, ReasonRepeatedOpener)
	assert.Equal(t, d.target, live.target)
}

// Guards against a pool without usable targets because all of them are suspected.
func TestPoolOfSuspectedTargetsStaysInUse(t *testing.T) {
	b := newTestBalancer(t, 3)
	for _, target := range b.d.targets.byID {
		target.health.suspectedAt = b.now
		target.health.lastFailureAt = b.now
	}
	assert.Equal(t, b.newFlow(0).sendOpener().Action, ActionForward)
}

// Guards against a suspected target that never receives a flow again.
func TestSuspectedTargetGetsTrialFlow(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0)
	first := c.sendOpener().target
	b.advance(200 * time.Millisecond)
	b.openToOther(first)
	c.sendOpener()
	b.advance(trialBackoff)
	trial := b.newFlow(0)
	assert.Equal(t, trial.sendOpener().target, first)
	assert.Assert(t, b.newFlow(0).sendOpener().target != first, "one trial flow at a time")
	trial.seq++
	trial.ack = 1
	trial.send(trial.seq, 0)
	assert.Assert(t, !first.health.suspected())
}
