package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards against breaking a flow whose packets reach another balancer: the token alone
// must be enough to find the target.
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

// Guards against forwarding a packet to a target of another service because the caller
// forged the token, and against resetting flows that this balancer does not know.
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

// Guards against breaking open flows when a configuration changes their route to
// another service.
func TestOpenFlowsSurviveRouteChange(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.targets = append(b.targets, newAnnouncement(9, "other", "a"))
	b.publishListing()
	c := b.newFlow(0).open()
	assert.Assert(t, b.d.SetRoutes(newRouteSet(2, "other")))
	assert.Equal(t, c.sendRequest(10).target, c.target)
	assert.Equal(t, b.newFlow(0).sendOpener().target.Service, "other")
}

// Guards against opening a flow by an older version of the routes than the one in force.
func TestRetransmittedOpenerFollowsNewRoutes(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.targets = append(b.targets, newAnnouncement(9, "other", "a"))
	b.publishListing()
	c := b.newFlow(0)
	c.sendOpener()
	assert.Equal(t, c.target.Service, "web")
	assert.Assert(t, b.d.SetRoutes(newRouteSet(2, "other")))
	b.advance(200 * time.Millisecond)
	c.sendOpener()
	assert.Equal(t, c.target.Service, "other")
}

// Guards against serving a removed route, and against dropping its packets silently, so
// that callers wait until their timeout.
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

// removeWebRoute applies a version of the routes that lacks the one to web.
func (b *testBalancer) removeWebRoute(version uint64) {
	removed := newRouteSet(version, "web", "other")
	removed.Routes = removed.Routes[1:]
	assert.Assert(b.t, b.d.SetRoutes(removed))
}

// openElsewhere returns an open flow of which the balancer has seen no packet.
func (b *testBalancer) openElsewhere() *callerFlow {
	c := b.newFlow(0)
	c.target = b.d.targets.byToken[tokenForID(b.targets[0].ID)]
	c.seq, c.ack = 1001, 5001
	return c
}

// Guards against resetting a flow that was opened elsewhere under a newer version of the routes,
// which has a removed route again, while the routes here are older.
func TestFlowOfRestoredRouteIsNotReset(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.removeWebRoute(2)
	b.d.ConfirmRead(b.now)
	b.advance(time.Second)
	c := b.openElsewhere()
	for range 4 {
		d := c.send(c.seq, 10)
		assert.Equal(t, d.Action, ActionDrop, "%s", d.Reason)
		b.advance(200 * time.Millisecond)
	}
	assert.Assert(t, b.d.SetRoutes(newRouteSet(3, "web", "other")))
	assert.Equal(t, c.sendRequest(10).target, c.target)
}

// Guards against the reset of an open flow by a copy of its opener, which another balancer has
// forwarded under a newer version of the routes.
func TestOpenerCopyOfRestoredRouteIsNotReset(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.removeWebRoute(2)
	b.d.ConfirmRead(b.now)
	c := b.newFlow(0)
	c.retransmits = 1
	b.advance(200 * time.Millisecond)
	assert.Equal(t, c.sendOpener().Action, ActionDrop)
	b.advance(200 * time.Millisecond)
	b.d.ConfirmRead(b.now)
	assert.Equal(t, c.sendOpener().Action, ActionReset, "the route is missing in newer data")
}

// Guards against callers that wait for their timeout because packets of flows whose route was
// removed are dropped for good, or dropped again after the first reset.
func TestFlowOlderThanRemovalIsReset(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.removeWebRoute(2)
	b.advance(time.Second)
	c := b.openElsewhere()
	c.send(c.seq, 10)
	b.d.ConfirmRead(b.now) // as of the first packet: the flow may have been opened just before
	b.advance(200 * time.Millisecond)
	assert.Equal(t, c.send(c.seq, 10).Action, ActionDrop)
	b.d.ConfirmRead(b.now.Add(-time.Millisecond))
	for range 3 {
		d := c.send(c.seq, 10)
		assert.Equal(t, d.Action, ActionReset)
		assert.Equal(t, d.Reason, ReasonRouteRemoved)
		b.advance(200 * time.Millisecond)
	}
}

// Guards against unbounded memory for flows of removed routes, and against resets of flows for
// which there is no room.
func TestUnroutedFlowsAreBounded(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.removeWebRoute(2)
	b.d.ConfirmRead(b.now)
	b.advance(time.Second)
	last := b.openElsewhere()
	for range maxUnroutedFlows + 10 {
		last = b.openElsewhere()
		assert.Equal(t, last.send(last.seq, 10).Reason, ReasonRemovalUnconfirmed)
	}
	assert.Equal(t, len(b.d.unroutedFlows), maxUnroutedFlows)
	b.d.ConfirmRead(b.now)
	b.advance(time.Second)
	assert.Equal(t, last.send(last.seq, 10).Reason, ReasonRemovalUnconfirmed)
	b.advance(16 * time.Second)
	assert.Equal(t, len(b.d.unroutedFlows), 0, "idle flows are removed")
	last.send(last.seq, 10)
	for range 20 {
		b.advance(5 * time.Second)
		last.send(last.seq, 10)
	}
	assert.Assert(t, b.now.Sub(b.d.unroutedFlows[last.flow].firstSeen) < 2*time.Minute, "no flow is older than the longest lifetime")
}

// Guards against an entry of the flow table, or of an earlier flow on the removed route, that
// stands for a newer flow on the same port of the caller.
func TestReusedPortOnRestoredRouteIsNotReset(t *testing.T) {
	for _, test := range []struct {
		name  string
		reuse func(b *testBalancer, c *callerFlow)
	}{
		{"other sequence numbers", func(_ *testBalancer, c *callerFlow) { c.seq, c.ack = c.seq+1<<20, c.ack+1<<24 }},
		{"other sequence numbers of the target", func(_ *testBalancer, c *callerFlow) { c.ack += 1 << 24 }},
		{"closed", func(_ *testBalancer, c *callerFlow) { c.sendFin(); c.seq += 100 }},
		{"refused", func(b *testBalancer, c *callerFlow) {
			b.d.flows[c.flow].refusalReason, b.d.flows[c.flow].nextSeq = ReasonOverload, 0
		}},
		{"after a reset", func(b *testBalancer, c *callerFlow) {
			b.removeWebRoute(2)
			assert.Equal(t, c.send(c.seq, 10).Reason, ReasonRouteRemoved)
			c.seq, c.ack = c.seq+1<<20, c.ack+1<<24
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBalancer(t, 3)
			c := b.newFlow(0).open()
			b.advance(200 * time.Millisecond)
			b.d.ConfirmRead(b.now)
			test.reuse(b, c)
			if b.d.routes.version == 1 {
				b.removeWebRoute(2)
			}
			d := c.send(c.seq, 10)
			assert.Equal(t, d.Action, ActionDrop, "%s", d.Reason)
			b.advance(200 * time.Millisecond)
			b.d.ConfirmRead(b.now)
			assert.Equal(t, c.send(c.seq, 10).Reason, ReasonRouteRemoved, "the route is missing in newer data")
		})
	}
}

// Guards against reverting to an older configuration.
func TestOlderRoutesAreIgnored(t *testing.T) {
	b := newTestBalancer(t, 3)
	assert.Assert(t, b.d.SetRoutes(newRouteSet(5, "web")))
	assert.Assert(t, !b.d.SetRoutes(newRouteSet(4, "other")))
	assert.Assert(t, !b.d.SetRoutes(newRouteSet(5, "other")))
	assert.Equal(t, b.d.Gauges().RoutesVersion, uint64(5))
	assert.Equal(t, b.newFlow(0).sendOpener().target.Service, "web")
}

// Guards against sending new flows to a draining target, also by a retransmitted opener,
// and against breaking its open flows.
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

// Guards against dropping the flows of a gone target while it may still serve, and
// against evicting its token before they end.
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

// Guards against refusing an opener while a target could serve it, and against refusing
// a retransmitted opener that another balancer may have forwarded before.
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
	retransmitted := b.newFlow(0)
	retransmitted.retransmits = 1
	assert.Equal(t, retransmitted.sendOpener().Action, ActionDrop)
}

// Guards against leaks in the counts of flows and in-flight requests: every one that is
// added must also be removed.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newTestBalancer(t, 4)
		var flows []*callerFlow
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			if len(flows) == 0 || rapid.IntRange(0, 3).Draw(r, "new") == 0 {
				flows = append(flows, b.newFlow(0).open())
				continue
			}
			c := flows[rapid.IntRange(0, len(flows)-1).Draw(r, "call")]
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
		usage := b.d.routes.current[routeAddress(0)].usage
		assert.Equal(t, usage.openFlows+usage.inFlight, 0)
	})
}

// Guards against a flow table that grows without bound. Flows that do not fit are routed
// by their tokens.
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

// Guards against forwarding flows to the wrong target when two IDs have the same token.
func TestTokenCollision(t *testing.T) {
	b := newTestBalancer(t, 0)
	b.d.targets.deriveToken = func(string) Token { return 7 }
	b.targets = []Announcement{newAnnouncement(0, "web", "a"), newAnnouncement(1, "web", "a")}
	b.publishListing()
	c := b.newFlow(0).open()
	assert.Equal(t, c.target.ID, b.targets[0].ID, "the target that was created first owns the token")
	for range 10 {
		assert.Equal(t, b.newFlow(0).sendOpener().target, c.target)
	}
	b.targets = b.targets[1:]
	b.publishListing()
	assert.Equal(t, c.sendRequest(10).target, c.target, "flows of the first target may still be open")
}

// Guards against dropping or misrouting a packet that has no token, for example because
// the answer to the opener was lost, although this balancer knows its flow.
func TestKnownFlowWithoutToken(t *testing.T) {
	b := newTestBalancer(t, 5)
	c := b.newFlow(0).open()
	d := b.d.Handle(b.now, Packet{Flow: c.flow, Seq: c.seq, Ack: c.ack, Bytes: 3})
	assert.Equal(t, d.target, c.target)
	unknown := c.flow
	unknown.Caller = protocol.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}
	assert.Equal(t, b.d.Handle(b.now, Packet{Flow: unknown, Bytes: 3}).Reason, ReasonUnknownToken)
}
