package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// goneTargetWithFlows returns two flows at a target whose entry is missing from the latest listing,
// and a flow at another target that shows that the balancer's own link works. The balancer assumes
// the loss rate of its warm-up, so that the threshold for targets that are not gone is not reached.
func goneTargetWithFlows(t *testing.T) (b *testBalancer, c, sibling, other *callerFlow) {
	b = newTestBalancerInWarmup(t, 3)
	c = b.newFlow(0).open()
	sibling = b.openTo(c.target)
	other = b.openToOther(c.target)
	for i, a := range b.targets {
		if a.ID == c.target.ID {
			b.targets = append(b.targets[:i:i], b.targets[i+1:]...)
			break
		}
	}
	b.publishListing()
	b.advance(time.Second)
	return b, c, sibling, other
}

// leaveUnanswered retransmits a packet of a flow after another target has answered a later one.
func (c *callerFlow) leaveUnanswered(other *callerFlow) Decision {
	c.b.advance(300 * time.Millisecond)
	other.exchange()
	return c.retransmit(100)
}

// Guards against resetting the flows of a live target because of a single lost packet while its
// entry is missing: another writer may have removed it.
func TestFlowsOfGoneTargetSurviveLostPacket(t *testing.T) {
	b, c, sibling, other := goneTargetWithFlows(t)
	assert.Equal(t, b.d.Gauges().Targets, 2)
	c.sendRequest(100)
	assert.Equal(t, c.leaveUnanswered(other).Action, ActionForward)
	assert.Equal(t, sibling.sendRequest(10).Action, ActionForward)
	sibling.ackResponse(10)
	assert.Equal(t, c.leaveUnanswered(other).Action, ActionForward, "the target has answered since the first unanswered packet")
}

// Guards against callers that wait until their timeout for a target that has ended.
func TestFlowsOfGoneTargetAreResetAfterTwoUnansweredPackets(t *testing.T) {
	_, c, sibling, other := goneTargetWithFlows(t)
	c.sendRequest(100)
	assert.Equal(t, c.leaveUnanswered(other).Action, ActionForward)
	assert.Equal(t, c.leaveUnanswered(other).Reason, ReasonTargetGone)
	assert.Equal(t, sibling.sendRequest(10).Reason, ReasonTargetGone)
}

// Guards against resetting the flows of a gone target while the balancer's own link may be down.
func TestFlowsOfGoneTargetSurviveLocalOutage(t *testing.T) {
	b, c, _, _ := goneTargetWithFlows(t)
	c.sendRequest(100)
	for range 5 {
		b.advance(300 * time.Millisecond)
		assert.Equal(t, c.retransmit(100).Action, ActionForward)
	}
}

// Guards against callers that wait for a second retransmission although the address of their target
// belongs to another process, and against taking an entry for one that does not name another
// process, or is older than that of the target.
func TestFlowsAtAddressOfNewProcessAreResetAfterOneUnansweredPacket(t *testing.T) {
	for _, test := range []struct {
		name            string
		incarnation     uint64
		createdBefore   bool
		otherAddress    bool
		isGone          bool
		wantFirstAction Action
	}{
		{name: "another incarnation", incarnation: 77, wantFirstAction: ActionReset},
		{name: "another address", incarnation: 77, otherAddress: true, wantFirstAction: ActionForward},
		{name: "the same incarnation", wantFirstAction: ActionForward},
		{name: "older entry", incarnation: 77, createdBefore: true, wantFirstAction: ActionForward},
		{name: "gone", incarnation: 77, isGone: true, wantFirstAction: ActionForward},
	} {
		b, c, _, other := goneTargetWithFlows(t)
		next := c.target.Announcement
		next.ID, next.Created, next.Revision = "i-0000004d", b.revision, b.revision
		if test.incarnation != 0 {
			next.Incarnation = test.incarnation
		}
		if test.createdBefore {
			next.Created = 0
		}
		if test.otherAddress {
			next.Endpoint.Port++
		}
		b.targets = append(b.targets, next)
		b.publishListing()
		if test.isGone {
			b.targets = b.targets[:len(b.targets)-1]
			b.publishListing()
		}
		c.sendRequest(100)
		assert.Equal(t, c.leaveUnanswered(other).Action, test.wantFirstAction, test.name)
		assert.Equal(t, c.leaveUnanswered(other).Action, ActionReset, test.name)
	}
}
