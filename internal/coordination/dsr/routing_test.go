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
	first, second := newBench(t, 6), newBench(t, 6)
	for range 50 {
		c := first.dial(0).open()
		p := Packet{Flow: c.flow, Token: c.target.Token, Seq: c.seq, Ack: c.ack, Bytes: 10}
		d := second.d.Handle(second.now, p)
		assert.Equal(t, d.Action, ActionForward)
		assert.Equal(t, d.target.ID, c.target.ID)
	}
}

// Guards against a caller that reaches a target of another service by a token of
// its choice, and against resets of flows that are only unknown here.
func TestTokensOfCallersAreNotTrusted(t *testing.T) {
	b := newBench(t, 3)
	b.targets = append(b.targets, announce(9, "other", "a"))
	b.list()
	foreign := b.d.targets.byID[b.targets[3].ID]
	rapid.Check(t, func(r *rapid.T) {
		c := b.dial(0)
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
func TestOpenFlowsStayWhenTheirRouteMoves(t *testing.T) {
	b := newBench(t, 3)
	b.targets = append(b.targets, announce(9, "other", "a"))
	b.list()
	c := b.dial(0).open()
	assert.Assert(t, b.d.SetRoutes(routesOf(2, "other")))
	assert.Equal(t, c.request(10).target, c.target)
	assert.Equal(t, b.dial(0).opener().target.Service, "other")
}

// Guards against a route that is served after it was removed, and against a
// caller that waits for it.
func TestRemovedRouteIsReset(t *testing.T) {
	b := newBench(t, 3)
	c := b.dial(0).open()
	removed := routesOf(2, "web", "other")
	removed.Routes = removed.Routes[1:]
	b.d.SetRoutes(removed)
	assert.Equal(t, c.request(10).Reason, ReasonRouteRemoved)
	d := b.dial(0).opener()
	assert.Equal(t, d.Action, ActionReset)
	assert.Equal(t, d.Reason, ReasonNoRoute)
}

// Guards against a configuration that reverts.
func TestOlderRoutesAreIgnored(t *testing.T) {
	b := newBench(t, 3)
	assert.Assert(t, b.d.SetRoutes(routesOf(5, "web")))
	assert.Assert(t, !b.d.SetRoutes(routesOf(4, "other")))
	assert.Assert(t, !b.d.SetRoutes(routesOf(5, "other")))
	assert.Equal(t, b.d.Gauges().RoutesVersion, uint64(5))
	assert.Equal(t, b.dial(0).opener().target.Service, "web")
}

// Guards against new flows at a target that drains, by a copy of an opener too,
// and against its open flows being cut.
func TestDrainingTargetKeepsItsFlowsOnly(t *testing.T) {
	b := newBench(t, 2)
	open := b.dial(0).open()
	half := b.dial(0)
	for half.opener().target != open.target {
		half = b.dial(0)
	}
	for i := range b.targets {
		if b.targets[i].ID == open.target.ID {
			b.targets[i].Draining = true
			b.targets[i].Revision = 200
		}
	}
	b.list()
	assert.Equal(t, open.request(10).target, open.target)
	assert.Assert(t, half.opener().target != open.target)
	for range 20 {
		assert.Assert(t, b.dial(0).opener().target != open.target)
	}
}

// Guards against flows of a target that is gone being dropped while it may still
// serve, and against its token being forgotten before they end.
func TestTokenOutlivesTheEntry(t *testing.T) {
	b := newBench(t, 2)
	c := b.dial(0).open()
	left := b.targets[0]
	if left.ID != c.target.ID {
		left = b.targets[1]
	}
	kept := b.targets[:0:0]
	for _, a := range b.targets {
		if a.ID != left.ID {
			kept = append(kept, a)
		}
	}
	b.targets = kept
	b.list()
	for range 30 {
		b.wait(2 * time.Second)
		b.list()
		assert.Equal(t, c.request(10).target.ID, left.ID)
		assert.Equal(t, c.answered(10).Action, ActionForward)
	}
	b.wait(2*time.Minute + tokenSlack)
	b.list()
	assert.Equal(t, len(b.d.targets.byID), 1)
	assert.Equal(t, b.d.Handle(b.now, Packet{Flow: c.flow, Token: tokenOf(left.ID), Bytes: 1}).Reason, ReasonUnknownToken)
}

// Guards against a refusal while a target could serve, and against a refusal
// that might not be true: a copy whose first went to another balancer.
func TestRefusals(t *testing.T) {
	b := newBench(t, 0)
	first := b.dial(0)
	assert.Equal(t, first.opener().Reason, ReasonNoTarget)
	b.targets = []Announcement{announce(0, "web", "b")}
	b.list()
	assert.Equal(t, first.opener().Action, ActionReset, "a refused flow stays refused")
	assert.Equal(t, b.dial(0).opener().Action, ActionForward)
	b.targets = nil
	b.wait(returnGrace)
	b.list()
	copied := b.dial(0)
	copied.copies = 1
	assert.Equal(t, copied.opener().Action, ActionDrop)
}

// Guards against counts that drift: every request that starts also ends.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newBench(t, 4)
		var calls []*call
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			if len(calls) == 0 || rapid.IntRange(0, 3).Draw(r, "new") == 0 {
				calls = append(calls, b.dial(0).open())
				continue
			}
			c := calls[rapid.IntRange(0, len(calls)-1).Draw(r, "call")]
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				c.request(100)
			case 1:
				c.answered(10)
			case 2:
				c.fin()
			case 3:
				c.again(100)
			case 4:
				b.wait(200 * time.Millisecond)
			}
		}
		b.wait(2 * time.Minute)
		assert.Equal(t, b.d.Gauges().Flows, 0)
		for _, target := range b.d.targets.byID {
			assert.Equal(t, target.open, 0)
			assert.Equal(t, target.running, 0)
		}
		use := b.d.routes.current[routeAddress(0)].use
		assert.Equal(t, use.open+use.running, 0)
	})
}

// Guards against a flow table that grows without bound: flows beyond it are
// routed by their tokens.
func TestFlowTableIsBounded(t *testing.T) {
	b := newBench(t, 2)
	b.d.options.FlowCapacity = 10
	for range 50 {
		c := b.dial(0)
		assert.Equal(t, c.opener().Action, ActionForward)
		c.seq++
		assert.Equal(t, c.request(10).Action, ActionForward)
	}
	assert.Equal(t, b.d.Gauges().Flows, 10)
	open := 0
	for _, target := range b.d.targets.byID {
		open += target.open
	}
	assert.Equal(t, open, 10)
}

// Guards against flows of one target that reach another because two IDs give one token.
func TestEqualTokens(t *testing.T) {
	b := newBench(t, 0)
	b.d.targets.deriveToken = func(string) Token { return 7 }
	b.targets = []Announcement{announce(0, "web", "a"), announce(1, "web", "a")}
	b.list()
	c := b.dial(0).open()
	assert.Equal(t, c.target.ID, b.targets[0].ID, "the one that was created first")
	for range 10 {
		assert.Equal(t, b.dial(0).opener().target, c.target)
	}
	b.targets = b.targets[1:]
	b.list()
	assert.Equal(t, c.request(10).target, c.target, "flows of the first may still be open")
}

// Guards against a packet of a caller without a token, for example one that lost
// the answer to its opener, going astray while this balancer knows the flow.
func TestKnownFlowWithoutToken(t *testing.T) {
	b := newBench(t, 5)
	c := b.dial(0).open()
	d := b.d.Handle(b.now, Packet{Flow: c.flow, Seq: c.seq, Ack: c.ack, Bytes: 3})
	assert.Equal(t, d.target, c.target)
	unknown := c.flow
	unknown.Caller = protocol.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}
	assert.Equal(t, b.d.Handle(b.now, Packet{Flow: unknown, Bytes: 3}).Reason, ReasonUnknownToken)
}
