package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// siteCapacity is the number of requests that the targets of a site can run in a second.
	siteCapacity = 14 * siteSlots * float64(time.Second) / float64(siteWork)
	// siteAim is the latency target: the Guild states 250 ms for requests of 55 ms.
	siteAim = 250 * time.Millisecond
	// siteQueue is the most requests that wait at a target of the Guild.
	siteQueue = 12
	board     = 0
	booking   = 1
)

// newOverloadSite returns a site with two routes to one service, of which bookings are
// the more urgent one. Without a latency target nothing is refused.
func newOverloadSite(aim time.Duration) *site {
	s := newSite(false)
	s.queued = siteQueue
	for _, d := range s.balancers {
		set := routesOf(2, "web", "web")
		for i, r := range set.Routes {
			r.Latency, r.Priority = aim, 2-i
		}
		d.SetRoutes(set)
	}
	return s
}

// surge plays a tenth of the capacity in bookings, and boards up to a load in shares of the capacity.
func (s *site) surge(load float64, span time.Duration) {
	const bookings = 0.1
	s.spread(int(bookings*siteCapacity*span.Seconds()), span, booking)
	s.spread(int((load-bookings)*siteCapacity*span.Seconds()), span, board)
	s.queue.RunUntil(&s.now, s.now.Add(span+3*time.Second))
}

// onTime is the number of answers within the latency target.
func (s *site) onTime(route int) int {
	n := 0
	for _, took := range s.answers[route] {
		if took <= siteAim {
			n++
		}
	}
	return n
}

// Guards against queues that make nearly every answer late when callers ask for more
// than the targets can do. Half of what the targets can do must be answered on time,
// and they must go on working at nine tenths of their capacity.
func TestOverloadKeepsAnswersOnTime(t *testing.T) {
	const span = 10 * time.Second
	for _, load := range []float64{1.3, 2, 3} {
		limited, unlimited := newOverloadSite(siteAim), newOverloadSite(0)
		limited.surge(load, span)
		unlimited.surge(load, span)
		can := siteCapacity * span.Seconds()
		ran := float64(len(limited.answers[board]) + len(limited.answers[booking]))
		onTime := float64(limited.onTime(board) + limited.onTime(booking))
		before := float64(unlimited.onTime(board) + unlimited.onTime(booking))
		t.Logf("load %v: %.0f of %.0f ran, %.0f on time, without a limit %.0f; refused %v", load, ran, can, onTime, before, limited.refused)
		assert.Assert(t, ran >= 0.9*can, "load %v: %.0f of %.0f ran", load, ran, can)
		assert.Assert(t, onTime >= 0.5*can, "load %v: %.0f of %.0f on time", load, onTime, can)
		assert.Assert(t, onTime > before, "load %v: %.0f on time, without a limit %.0f", load, onTime, before)
	}
}

// Guards against urgent requests that are refused because of less urgent ones: the
// targets can run ten times as many bookings as there are.
func TestOverloadRefusesNoUrgentRequests(t *testing.T) {
	s := newOverloadSite(siteAim)
	s.surge(3, 10*time.Second)
	assert.Equal(t, s.refused[booking], 0)
	assert.Assert(t, s.refused[board] > 0)
}

// Guards against refusals while slots are free: at a usual load, with a fifth of the
// targets five times as slow, and after an overload has passed.
// Neither callers that are far away nor requests that take nearly as long as their
// latency target are an overload.
func TestNothingIsRefusedWhileSlotsAreFree(t *testing.T) {
	s := newOverloadSite(siteAim)
	s.surge(0.7, 10*time.Second)
	assert.Equal(t, s.refused[board]+s.refused[booking], 0, "usual load")

	s = newOverloadSite(siteAim)
	for _, id := range []string{"i-00000001", "i-00000002", "i-00000003"} {
		s.hosts[id].slow = 5
	}
	s.surge(0.5, 10*time.Second)
	assert.Equal(t, s.refused[board]+s.refused[booking], 0, "slow targets")

	s = newOverloadSite(siteAim)
	s.latency = 60 * time.Millisecond
	s.surge(0.7, 10*time.Second)
	assert.Equal(t, s.refused[board]+s.refused[booking], 0, "callers far away")

	s = newOverloadSite(siteWork)
	s.surge(0.5, 10*time.Second)
	assert.Equal(t, s.refused[board]+s.refused[booking], 0, "requests as long as the latency target")

	s = newOverloadSite(siteAim)
	s.surge(3, 5*time.Second)
	s.surge(0.5, 2*time.Second) // the limit is lifted
	refused := s.refused[board]
	s.surge(0.7, 5*time.Second)
	assert.Equal(t, s.refused[board], refused, "after an overload")
}

// overload makes a balancer see slow answers only, with requests in progress.
func (b *bench) overload(routes RouteSet) {
	for _, r := range routes.Routes {
		r.Latency = siteAim
	}
	b.d.SetRoutes(routes)
	b.wait(100 * time.Millisecond)
	calls := make([]*call, 40)
	for i := range calls {
		calls[i] = b.dial(0).open()
		calls[i].request(10)
	}
	b.wait(siteAim)
	for _, c := range calls {
		c.answered(10)
		c.request(10)
	}
	b.wait(100 * time.Millisecond)
}

// Guards against refusals that might not be true: a copy of an opener that another
// balancer may have forwarded is not reset, one that was refused here is.
func TestOverloadRefusesTruly(t *testing.T) {
	b := newBench(t, 3)
	b.overload(routesOf(2, "web"))
	c := b.dial(0)
	d := c.opener()
	assert.Assert(t, d.Limit > 0 && float64(d.Running) >= d.Limit)
	for range 3 {
		assert.Equal(t, d.Action, ActionReset)
		assert.Equal(t, d.Reason, ReasonOverload)
		d = c.opener()
	}
	late := b.dial(0)
	late.copies = 1
	assert.Equal(t, late.opener().Action, ActionForward)
}

// Guards against a route that was just added and is refused as if it did not exist.
func TestOverloadRefusesNoNewRoute(t *testing.T) {
	b := newBench(t, 3)
	b.overload(routesOf(2, "web", "web"))
	assert.Equal(t, b.dial(0).opener().Reason, ReasonOverload)
	assert.Equal(t, b.dial(1).opener().Action, ActionForward)
}

// Guards against an overload that the balancer's own standstill feigns: answers
// wait meanwhile.
func TestFreezeIsNoOverload(t *testing.T) {
	b := newBench(t, 3)
	set := routesOf(2, "web")
	set.Routes[0].Latency = siteAim
	b.d.SetRoutes(set)
	b.wait(100 * time.Millisecond)
	calls := make([]*call, 40)
	for i := range calls {
		calls[i] = b.dial(0).open()
		calls[i].request(10)
	}
	b.now = b.now.Add(3 * time.Second)
	for _, c := range calls[:20] {
		c.answered(10)
	}
	b.d.Freeze(b.now)
	for _, c := range calls[20:] {
		c.answered(10)
		c.request(10)
	}
	b.wait(time.Second)
	assert.Equal(t, b.dial(0).opener().Action, ActionForward)
}

// Guards against a limit that follows the route of the latest answer alone, where
// routes with different latency targets share a service.
func TestAllRoutesMakeTheLimit(t *testing.T) {
	b := newBench(t, 3)
	b.wait(100 * time.Millisecond)
	c := b.dial(0).open()
	short, long := &Route{Latency: 100 * time.Millisecond}, &Route{Latency: time.Second}
	for range 200 {
		b.d.noteAnswer(b.now, c.target, short, b.now)
		b.d.noteAnswer(b.now, c.target, long, b.now)
	}
	mean := time.Duration(waitShare * float64(short.Latency+long.Latency) / 2)
	off := b.d.loads["web"].May - mean
	assert.Assert(t, off.Abs() < mean/10, "%v, mean %v", b.d.loads["web"].May, mean)
}
