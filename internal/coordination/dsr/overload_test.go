package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// siteCapacity is the number of requests that the targets of a site can run per second.
	siteCapacity = 14 * siteSlots * float64(time.Second) / float64(siteServiceTime)
	// siteLatencyTarget is the latency target of the booking application: 250 ms for
	// requests of 55 ms.
	siteLatencyTarget = 250 * time.Millisecond
	// siteMaxQueued is the number of requests that may wait at a target of the booking
	// application.
	siteMaxQueued   = 12
	lessUrgentRoute = 0
	urgentRoute     = 1
)

// newOverloadSite returns a site with two routes to one service: urgentRoute carries
// bookings, lessUrgentRoute the other requests. If the latency target is 0, nothing is refused.
func newOverloadSite(latencyTarget time.Duration) *site {
	s := newSite(false)
	s.maxQueued = siteMaxQueued
	for _, d := range s.balancers {
		set := newRouteSet(2, "web", "web")
		for i, r := range set.Routes {
			r.LatencyTarget, r.Priority = latencyTarget, 2-i
		}
		d.SetRoutes(set)
	}
	return s
}

// runLoad simulates a load given as a multiple of the capacity. Urgent requests make up a
// tenth of the capacity, less urgent ones the rest.
func (s *site) runLoad(load float64, duration time.Duration) {
	const urgentShare = 0.1
	s.scheduleFlows(int(urgentShare*siteCapacity*duration.Seconds()), duration, urgentRoute)
	s.scheduleFlows(int((load-urgentShare)*siteCapacity*duration.Seconds()), duration, lessUrgentRoute)
	s.queue.RunUntil(&s.now, s.now.Add(duration+3*time.Second))
}

// onTimeCount returns the number of responses within the latency target.
func (s *site) onTimeCount(route int) int {
	n := 0
	for _, responseTime := range s.responseTimes[route] {
		if responseTime <= siteLatencyTarget {
			n++
		}
	}
	return n
}

// Guards against queues that make nearly every response late when demand exceeds the
// capacity of the targets. Completed requests must amount to nine tenths of the
// capacity, and responses on time to half of it.
func TestOverloadKeepsResponsesOnTime(t *testing.T) {
	const duration = 10 * time.Second
	for _, load := range []float64{1.3, 2, 3} {
		limited, unlimited := newOverloadSite(siteLatencyTarget), newOverloadSite(0)
		limited.runLoad(load, duration)
		unlimited.runLoad(load, duration)
		capacity := siteCapacity * duration.Seconds()
		completed := float64(len(limited.responseTimes[lessUrgentRoute]) + len(limited.responseTimes[urgentRoute]))
		onTime := float64(limited.onTimeCount(lessUrgentRoute) + limited.onTimeCount(urgentRoute))
		onTimeUnlimited := float64(unlimited.onTimeCount(lessUrgentRoute) + unlimited.onTimeCount(urgentRoute))
		t.Logf("load %v: %.0f of %.0f ran, %.0f on time, without a limit %.0f; refused %v", load, completed, capacity, onTime, onTimeUnlimited, limited.refused)
		assert.Assert(t, completed >= 0.9*capacity, "load %v: %.0f of %.0f ran", load, completed, capacity)
		assert.Assert(t, onTime >= 0.5*capacity, "load %v: %.0f of %.0f on time", load, onTime, capacity)
		assert.Assert(t, onTime > onTimeUnlimited, "load %v: %.0f on time, without a limit %.0f", load, onTime, onTimeUnlimited)
	}
}

// Guards against refusing urgent requests because of less urgent ones. The targets can run
// ten times as many urgent requests as there are.
func TestOverloadRefusesNoUrgentRequests(t *testing.T) {
	s := newOverloadSite(siteLatencyTarget)
	s.runLoad(3, 10*time.Second)
	assert.Equal(t, s.refused[urgentRoute], 0)
	assert.Assert(t, s.refused[lessUrgentRoute] > 0)
}

// Guards against refusals while slots are free: at a usual load, with a fifth of the
// targets five times as slow, and after an overload has ended. Distant callers and
// requests that take nearly as long as their latency target must not count as overload.
func TestNothingIsRefusedWhileSlotsAreFree(t *testing.T) {
	s := newOverloadSite(siteLatencyTarget)
	s.runLoad(0.7, 10*time.Second)
	assert.Equal(t, s.refused[lessUrgentRoute]+s.refused[urgentRoute], 0, "usual load")

	s = newOverloadSite(siteLatencyTarget)
	for _, id := range []string{"i-00000001", "i-00000002", "i-00000003"} {
		s.hosts[id].slowdown = 5
	}
	s.runLoad(0.5, 10*time.Second)
	assert.Equal(t, s.refused[lessUrgentRoute]+s.refused[urgentRoute], 0, "slow targets")

	s = newOverloadSite(siteLatencyTarget)
	s.oneWayDelay = 60 * time.Millisecond
	s.runLoad(0.7, 10*time.Second)
	assert.Equal(t, s.refused[lessUrgentRoute]+s.refused[urgentRoute], 0, "callers far away")

	s = newOverloadSite(siteServiceTime)
	s.runLoad(0.5, 10*time.Second)
	assert.Equal(t, s.refused[lessUrgentRoute]+s.refused[urgentRoute], 0, "requests as long as the latency target")

	s = newOverloadSite(siteLatencyTarget)
	s.runLoad(3, 5*time.Second)
	s.runLoad(0.5, 2*time.Second) // the limit is lifted
	refused := s.refused[lessUrgentRoute]
	s.runLoad(0.7, 5*time.Second)
	assert.Equal(t, s.refused[lessUrgentRoute], refused, "after an overload")
}

// causeOverload makes all responses slow and leaves requests in flight.
func (b *testBalancer) causeOverload(routes RouteSet) {
	for _, r := range routes.Routes {
		r.LatencyTarget = siteLatencyTarget
	}
	b.d.SetRoutes(routes)
	b.advance(100 * time.Millisecond)
	flows := make([]*callerFlow, 40)
	for i := range flows {
		flows[i] = b.newFlow(0).open()
		flows[i].sendRequest(10)
	}
	b.advance(siteLatencyTarget)
	for _, c := range flows {
		c.ackResponse(10)
		c.sendRequest(10)
	}
	b.advance(100 * time.Millisecond)
}

// Guards against resetting an opener that has been forwarded. The retransmission of an
// opener that another balancer may have forwarded is not reset. One that was refused here is.
func TestOverloadResetsNoForwardedOpener(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.causeOverload(newRouteSet(2, "web"))
	c := b.newFlow(0)
	d := c.sendOpener()
	assert.Assert(t, d.InFlightLimit > 0 && float64(d.InFlight) >= d.InFlightLimit)
	for range 3 {
		assert.Equal(t, d.Action, ActionReset)
		assert.Equal(t, d.Reason, ReasonOverload)
		d = c.sendOpener()
	}
	retransmitted := b.newFlow(0)
	retransmitted.retransmits = 1
	assert.Equal(t, retransmitted.sendOpener().Action, ActionForward)
}

// Guards against refusing a route that was just added because its service is overloaded.
// To callers, the route would look as if it did not exist.
func TestOverloadRefusesNoNewRoute(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.causeOverload(newRouteSet(2, "web", "web"))
	assert.Equal(t, b.newFlow(0).sendOpener().Reason, ReasonOverload)
	assert.Equal(t, b.newFlow(1).sendOpener().Action, ActionForward)
}

// Guards against treating a freeze of the balancer's process as an overload. Responses
// that arrive during the freeze are seen late and look slow.
func TestFreezeIsNotOverload(t *testing.T) {
	b := newTestBalancer(t, 3)
	set := newRouteSet(2, "web")
	set.Routes[0].LatencyTarget = siteLatencyTarget
	b.d.SetRoutes(set)
	b.advance(100 * time.Millisecond)
	flows := make([]*callerFlow, 40)
	for i := range flows {
		flows[i] = b.newFlow(0).open()
		flows[i].sendRequest(10)
	}
	b.now = b.now.Add(3 * time.Second)
	for _, c := range flows[:20] {
		c.ackResponse(10)
	}
	b.d.HandleFreeze(b.now)
	for _, c := range flows[20:] {
		c.ackResponse(10)
		c.sendRequest(10)
	}
	b.advance(time.Second)
	assert.Equal(t, b.newFlow(0).sendOpener().Action, ActionForward)
}

// Guards against a limit that follows only the route of the latest response when routes
// with different latency targets share a service.
func TestResponseBudgetAveragesRoutes(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.advance(100 * time.Millisecond)
	c := b.newFlow(0).open()
	short, long := &Route{LatencyTarget: 100 * time.Millisecond}, &Route{LatencyTarget: time.Second}
	for range 200 {
		b.d.recordResponse(b.now, c.target, short, b.now)
		b.d.recordResponse(b.now, c.target, long, b.now)
	}
	mean := time.Duration(responseBudgetShare * float64(short.LatencyTarget+long.LatencyTarget) / 2)
	deviation := b.d.loads["web"].ResponseBudget - mean
	assert.Assert(t, deviation.Abs() < mean/10, "%v, mean %v", b.d.loads["web"].ResponseBudget, mean)
}
