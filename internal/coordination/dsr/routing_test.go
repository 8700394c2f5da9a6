package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards against a flow that breaks when its packets reach another balancer: the
// token alone leads to the target.
func TestAnyBalancerRoutesByToken(t *testing.T) {
	first, second := newTestBalancer(t, 6), newTestBalancer(t, 6)
	for range 50 {
		c := first.newFlow(0).open()
		p := Packet{Flow: c.flow, Token: c.target.Token, Seq: c.seq, Ack: c.ack, Bytes: 10}
		d := second.d.Handle(second.now, p)
		assert.Equal(t, d.Action, ActionForward)
		assert.Equal(t, d.target.ID, c.target.ID)
	}
}

// Guards against a caller that reaches a target of another service by a token of
// its choice, and against resets of flows that are only unknown here.
func TestTokensOfCallersAreNotTrusted(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.targets = append(b.targets, newAnnouncement(9, "other", "a"))
	b.publishListing()
	foreign := b.d.targets.byID[b.targets[3].ID]
	rapid.Check(t, func(r *rapid.T) {
		c := b.newFlow(0)
		token := Token(rapid.Uint32().Draw(r, "token"))
		if rapid.Bool().Draw(r, "foreign") {
			token = foreign.Token
		}
		d := b.d.Handle(b.now, Packet{Flow: c.flow, Token: token, Seq: 1, Ack: 1, Bytes: 1})
		if d.Action == ActionForward {
			assert.Equal(t, d.target.Service, "web")
		}
		assert.Assert(t, d.Action != ActionReset, "%s", d.Reason)
	})
}

// Guards against open flows that break because a configuration moves their route to another service.
func TestOpenFlowsSurviveRouteChange(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.targets = append(b.targets, newAnnouncement(9, "other", "a"))
	b.publishListing()
	c := b.newFlow(0).open()
	assert.Assert(t, b.d.SetRoutes(newRouteSet(2, "other")))
	assert.Equal(t, c.sendRequest(10).target, c.target)
	assert.Equal(t, b.newFlow(0).sendOpener().target.Service, "other")
}

// Guards against a route that is served after it was removed, and against a
// caller that waits for it.
func TestRemovedRouteResetsFlows(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	removed := newRouteSet(2, "web", "other")
	removed.Routes = removed.Routes[1:]
	b.d.SetRoutes(removed)
	assert.Equal(t, c.sendRequest(10).Reason, ReasonRouteRemoved)
	d := b.newFlow(0).sendOpener()
	assert.Equal(t, d.Action, ActionReset)
	assert.Equal(t, d.Reason, ReasonNoRoute)
}

// Guards against a configuration that reverts.
func TestOlderRoutesAreIgnored(t *testing.T) {
	b := newTestBalancer(t, 3)
	assert.Assert(t, b.d.SetRoutes(newRouteSet(5, "web")))
	assert.Assert(t, !b.d.SetRoutes(newRouteSet(4, "other")))
	assert.Assert(t, !b.d.SetRoutes(newRouteSet(5, "other")))
	assert.Equal(t, b.d.Gauges().RoutesVersion, uint64(5))
	assert.Equal(t, b.newFlow(0).sendOpener().target.Service, "web")
}

// Guards against new flows at a target that drains, by a copy of an opener too,
// and against its open flows being cut.
func TestDrainingTargetGetsNoNewFlows(t *testing.T) {
	b := newTestBalancer(t, 2)
	open := b.newFlow(0).open()
	unconfirmed := b.newFlow(0)
	for unconfirmed.sendOpener().target != open.target {
		unconfirmed = b.newFlow(0)
	}
	for i := range b.targets {
		if b.targets[i].ID == open.target.ID {
			b.targets[i].Draining = true
			b.targets[i].Revision = 200
		}
	}
	b.publishListing()
	assert.Equal(t, open.sendRequest(10).target, open.target)
	assert.Assert(t, unconfirmed.sendOpener().target != open.target)
	for range 20 {
		assert.Assert(t, b.newFlow(0).sendOpener().target != open.target)
	}
}

// Guards against flows of a target that is gone being dropped while it may still
// serve, and against its token being forgotten before they end.
func TestTokenOutlivesEntry(t *testing.T) {
	b := newTestBalancer(t, 2)
	c := b.newFlow(0).open()
	departed := b.targets[0]
	if departed.ID != c.target.ID {
		departed = b.targets[1]
	}
	kept := b.targets[:0:0]
	for _, a := range b.targets {
		if a.ID != departed.ID {
			kept = append(kept, a)
		}
	}
	b.targets = kept
	b.publishListing()
	for range 30 {
		b.advance(2 * time.Second)
		b.publishListing()
		assert.Equal(t, c.sendRequest(10).target.ID, departed.ID)
		assert.Equal(t, c.ackResponse(10).Action, ActionForward)
	}
	b.advance(2*time.Minute + tokenRetentionMargin)
	b.publishListing()
	assert.Equal(t, len(b.d.targets.byID), 1)
	assert.Equal(t, b.d.Handle(b.now, Packet{Flow: c.flow, Token: tokenForID(departed.ID), Bytes: 1}).Reason, ReasonUnknownToken)
}

// Guards against a refusal while a target could serve, and against a refusal
// that might not be true: a copy whose first went to another balancer.
func TestOpenerRefusal(t *testing.T) {
	b := newTestBalancer(t, 0)
	first := b.newFlow(0)
	assert.Equal(t, first.sendOpener().Reason, ReasonNoTarget)
	b.targets = []Announcement{newAnnouncement(0, "web", "b")}
	b.publishListing()
	assert.Equal(t, first.sendOpener().Action, ActionReset, "a refused flow stays refused")
	assert.Equal(t, b.newFlow(0).sendOpener().Action, ActionForward)
	b.targets = nil
	b.advance(absenceGracePeriod)
	b.publishListing()
	copied := b.newFlow(0)
	copied.retransmits = 1
	assert.Equal(t, copied.sendOpener().Action, ActionDrop)
}

// Guards against counts that drift: every request that starts also ends.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newTestBalancer(t, 4)
		var calls []*callerFlow
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			if len(calls) == 0 || rapid.IntRange(0, 3).Draw(r, "new") == 0 {
				calls = append(calls, b.newFlow(0).open())
				continue
			}
			c := calls[rapid.IntRange(0, len(calls)-1).Draw(r, "call")]
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				c.sendRequest(100)
			case 1:
				c.ackResponse(10)
			case 2:
				c.sendFin()
			case 3:
				c.retransmit(100)
			case 4:
				b.advance(200 * time.Millisecond)
			}
		}
		b.advance(2 * time.Minute)
		assert.Equal(t, b.d.Gauges().Flows, 0)
		for _, target := range b.d.targets.byID {
			assert.Equal(t, target.openFlows, 0)
			assert.Equal(t, target.inFlight, 0)
		}
		use := b.d.routes.current[routeAddress(0)].usage
		assert.Equal(t, use.openFlows+use.inFlight, 0)
	})
}

// Guards against a flow table that grows without bound: flows beyond it are
// routed by their tokens.
func TestFlowTableIsBounded(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.d.options.FlowCapacity = 10
	for range 50 {
		c := b.newFlow(0)
		assert.Equal(t, c.sendOpener().Action, ActionForward)
		c.seq++
		assert.Equal(t, c.sendRequest(10).Action, ActionForward)
	}
	assert.Equal(t, b.d.Gauges().Flows, 10)
	open := 0
	for _, target := range b.d.targets.byID {
		open += target.openFlows
	}
	assert.Equal(t, open, 10)
}

// Guards against flows of one target that reach another because two IDs give one token.
func TestTokenCollision(t *testing.T) {
	b := newTestBalancer(t, 0)
	b.d.targets.deriveToken = func(string) Token { return 7 }
	b.targets = []Announcement{newAnnouncement(0, "web", "a"), newAnnouncement(1, "web", "a")}
	b.publishListing()
	c := b.newFlow(0).open()
	assert.Equal(t, c.target.ID, b.targets[0].ID, "the one that was created first")
	for range 10 {
		assert.Equal(t, b.newFlow(0).sendOpener().target, c.target)
	}
	b.targets = b.targets[1:]
	b.publishListing()
	assert.Equal(t, c.sendRequest(10).target, c.target, "flows of the first may still be open")
}

// Guards against a packet of a caller without a token, for example one that lost
// the answer to its opener, going astray while this balancer knows the flow.
func TestKnownFlowWithoutToken(t *testing.T) {
	b := newTestBalancer(t, 5)
	c := b.newFlow(0).open()
	d := b.d.Handle(b.now, Packet{Flow: c.flow, Seq: c.seq, Ack: c.ack, Bytes: 3})
	assert.Equal(t, d.target, c.target)
	unknown := c.flow
	unknown.Caller = protocol.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}
	assert.Equal(t, b.d.Handle(b.now, Packet{Flow: unknown, Bytes: 3}).Reason, ReasonUnknownToken)
}
