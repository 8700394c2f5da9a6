package dsr

import (
	"math"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Adaptive concurrency limit for each service. When demand exceeds the capacity of the
// targets, their queues fill up: throughput is the same as with short queues, but
// nearly all responses are late. A balancer therefore limits its in-flight requests at
// an overloaded service and refuses openers beyond the limit, those of less urgent
// routes first. It sees neither the queues nor the flows of other balancers, so it
// derives the limit from response times.

const (
	// responseBudgetShare is the share of a route's latency target that a target may
	// spend on a response on average during an overload, so that most responses are on
	// time. Responses that take longer count as slow.
	responseBudgetShare = 0.6
	// responseSmoothingFactor is the weight of one response in the moving averages over
	// responses. During an overload, a balancer of a small site sees a hundred responses
	// of a service per second.
	responseSmoothingFactor = 0.05
	// overloadEnterSlowShare is the share of slow responses at which a service counts as
	// overloaded. Below overloadExitSlowShare the overload may end. If fewer than half of
	// the responses are slow, a few slow targets may be the cause while others have free slots.
	overloadEnterSlowShare = 0.5
	overloadExitSlowShare  = 0.2
	// sustainedLimitShare is the share of the limit that must be in use for the limit to
	// stay in force when the share of slow responses is below overloadExitSlowShare.
	sustainedLimitShare = 0.5
	// shedBudgetShare is a share of the response budget. A response that arrives within
	// it means that the target shed the request because its queue is full.
	shedBudgetShare = 0.1
	// rttSmoothingFactor is the weight of one handshake in the moving average of the
	// round-trip time.
	rttSmoothingFactor = 0.05
	// minInFlightPerSlot is the lower bound of the limit, in in-flight requests per slot.
	// With one running and one queued request per slot, no slot idles for lack of
	// requests. This holds even where requests take nearly as long as their latency
	// target without queueing.
	minInFlightPerSlot = 2
	// rateTimeConstant is the time after which a response counts for 1/e in the response rate.
	rateTimeConstant = time.Second
	// urgentInFlightPerSlot is the number of in-flight requests per slot up to which a
	// route is admitted if its service also has a less urgent route in use.
	urgentInFlightPerSlot = 3
	// lessUrgentLimitShare is the share of the limit that is available to a route if its
	// service also has a more urgent route in use.
	lessUrgentLimitShare = 0.7
	// minInFlightPerRoute is the number of in-flight requests that every route may have,
	// so that a route that is new or little used is never refused.
	minInFlightPerRoute = 2
	// maxTickAge is the longest time since the last tick at which response times are
	// recorded. After a longer gap the process may not have run, and the measured times
	// would include its pause.
	maxTickAge = 250 * time.Millisecond
)

// Load is the load of a service as this balancer measures it.
type Load struct {
	// SlowShare is the moving average of the share of slow responses.
	SlowShare float64
	// ResponseRate is the number of responses per second, without requests that were shed.
	ResponseRate float64
	// RoundTripTime is the network time of a round trip to a target and a caller.
	RoundTripTime time.Duration
	// ResponseBudget is how long a target may take for a response, averaged over the
	// responses of all routes.
	ResponseBudget time.Duration
	// InFlight is the number of this balancer's in-flight requests. Limit is the highest
	// number allowed, or 0 for no limit.
	InFlight int
	Limit    float64
	// Slots is this balancer's share of the slots of the service.
	Slots float64

	// RejectedShare is the share of requests that targets rejected, and Reason what the limit
	// follows from.
	RejectedShare float64
	Reason        LimitReason

	// slowLimit is the limit that follows from slow responses, 0 for none.
	slowLimit float64
	// rttMeasured is set once RoundTripTime is known.
	rttMeasured bool
	// responses counts the responses since the last tick.
	responses int
}

// recordHandshake updates the round-trip time when a caller acknowledges the answer to
// an opener that was forwarded at openedAt. A target answers openers without occupying
// a slot, so the handshake time includes no queueing at the target.
func (d *Dispatcher) recordHandshake(now time.Time, t *Target, openedAt time.Time) {
	if openedAt.Before(d.resumedAt) || now.Sub(d.lastTickAt) > maxTickAge {
		return
	}
	l := d.loads[t.Service]
	if !l.rttMeasured {
		l.rttMeasured, l.RoundTripTime = true, now.Sub(openedAt)
	}
	l.RoundTripTime += time.Duration(rttSmoothingFactor * float64(now.Sub(openedAt)-l.RoundTripTime))
	d.loads[t.Service] = l
}

// recordResponse records the response to a request that started at startedAt.
func (d *Dispatcher) recordResponse(now time.Time, t *Target, r *Route, startedAt time.Time) {
	if r.LatencyTarget == 0 || !d.loads[t.Service].rttMeasured || startedAt.Before(d.resumedAt) || now.Sub(d.lastTickAt) > maxTickAge {
		return
	}
	l := d.loads[t.Service]
	responseTime := now.Sub(startedAt) - l.RoundTripTime
	budget := time.Duration(responseBudgetShare * float64(r.LatencyTarget))
	if l.ResponseBudget == 0 {
		l.ResponseBudget = budget
	}
	l.ResponseBudget += time.Duration(responseSmoothingFactor * float64(budget-l.ResponseBudget))
	if responseTime >= time.Duration(shedBudgetShare*float64(budget)) {
		l.responses++
	}
	slow := 0.0
	if responseTime > budget {
		slow = 1
	}
	l.SlowShare += responseSmoothingFactor * (slow - l.SlowShare)
	d.loads[t.Service] = l
}

// updateLimits sets, adjusts and lifts the limits of the services. elapsed is the time
// since the last call.
func (d *Dispatcher) updateLimits(elapsed time.Duration) {
	for service, l := range d.loads {
		if len(d.targets.byService[service]) == 0 {
			delete(d.loads, service)
			delete(d.pressures, service)
			continue
		}
		previousLimit := l.Limit
		l.InFlight, l.Slots = d.inFlightAndSlots(service)
		l.updateRate(elapsed)
		l.slowLimit = l.nextLimit()
		l.Limit = l.slowLimit
		if p := d.pressures[service]; p != nil {
			p.update(elapsed, l.InFlight, l.Slots)
			l.applyPressure(p)
		}
		d.loads[service] = l
		switch {
		case previousLimit == 0 && l.Limit > 0:
			d.events = append(d.events, Event{Kind: EventOverloadBegan, Service: service, Load: l})
		case previousLimit > 0 && l.Limit == 0:
			d.events = append(d.events, Event{Kind: EventOverloadEnded, Service: service, Load: l})
		}
	}
}

// updateRate updates the response rate with the responses since the last tick.
func (l *Load) updateRate(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	l.ResponseRate = decay*l.ResponseRate + (1-decay)*float64(l.responses)/elapsed.Seconds()
	l.responses = 0
}

// nextLimit returns the limit until the next tick, or 0 for none. By Little's law, the
// response time equals the budget if the number of in-flight requests is the response
// rate times the budget. With one flow per request, the handshake adds to the time in
// flight. Below minInFlightPerSlot requests for each of the balancer's slots, slots may
// be free.
func (l *Load) nextLimit() float64 {
	sustained := l.SlowShare >= overloadExitSlowShare || float64(l.InFlight) >= sustainedLimitShare*l.slowLimit
	if l.SlowShare < overloadEnterSlowShare && (l.slowLimit == 0 || !sustained) {
		return 0
	}
	return max(minInFlightPerSlot*l.Slots, l.ResponseRate*(l.ResponseBudget+2*l.RoundTripTime).Seconds())
}

// inFlightAndSlots returns this balancer's in-flight requests at a service, and its
// share of the slots of the targets that take new flows and are not suspected. Where flows may
// leave their place, only the targets of this place count: the others have limits of their own.
func (d *Dispatcher) inFlightAndSlots(service string) (inFlight int, slots float64) {
	for _, t := range d.targets.byService[service] {
		if d.options.CrossPlace && t.isElsewhere {
			continue
		}
		inFlight += t.inFlight
		if t.isUsable() {
			slots += float64(t.effectiveSlots)
		}
	}
	return inFlight, slots / float64(d.balancerCount())
}

// balancerCount estimates the number of balancers that share the targets that count for the
// limits: the balancers of this place, times the number of places unless flows leave their place.
func (d *Dispatcher) balancerCount() int {
	if d.options.CrossPlace {
		return max(d.placeBalancerCount, 1)
	}
	return max(d.placeBalancerCount, 1) * max(d.options.PlaceCount, 1)
}

// limitedInFlight returns the in-flight requests of a route that count against a limit.
func (d *Dispatcher) limitedInFlight(u *routeUsage) int {
	if d.options.CrossPlace {
		return u.inFlight - u.inFlightElsewhere
	}
	return u.inFlight
}

// SetPlaceBalancerCount sets the number of balancers in the place, including this one.
func (d *Dispatcher) SetPlaceBalancerCount(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placeBalancerCount = n
}

// overLimit reports whether a new flow of a route would exceed the limit of its service.
// The returned Load holds the in-flight requests that count against the route and the
// limit that applies to it. Requests of less urgent routes don't count.
func (d *Dispatcher) overLimit(r *Route, caller [4]byte, flowHash uint64) (Load, bool) {
	if len(r.Backends) == 0 || d.limitedInFlight(r.usage) < minInFlightPerRoute && !d.options.LearnsFromRejections {
		return Load{}, false
	}
	service := r.orderBackends(flowHash)[0].Service
	l := d.loads[service]
	if l.Limit == 0 {
		return Load{}, false
	}
	minInFlight := minInFlightPerRoute
	if l.Reason == LimitRejected {
		minInFlight = 1
	}
	if d.limitedInFlight(r.usage) < minInFlight {
		return Load{}, false
	}
	limit := l.Limit
	l.InFlight = 0
	for _, address := range d.routes.byService[service] {
		other := d.routes.current[address]
		if other.Priority <= r.Priority {
			l.InFlight += d.limitedInFlight(other.usage)
		}
		switch {
		case d.limitedInFlight(other.usage) < minInFlight:
		case other.Priority < r.Priority:
			limit = min(limit, max(minInFlightPerSlot*l.Slots, lessUrgentLimitShare*l.Limit))
		case other.Priority > r.Priority:
			limit = max(limit, l.urgentLimit())
		}
	}
	if l.Reason == LimitRejected {
		return d.overPressureLimit(l, limit, r, service, caller, flowHash)
	}
	l.Limit = limit
	return l, float64(l.InFlight) >= limit
}

// indexByService rebuilds the index of route addresses by service.
func (t *routeTable) indexByService() {
	t.byService = make(map[string][]protocol.Endpoint)
	for address, r := range t.current {
		for _, b := range r.Backends {
			t.byService[b.Service] = append(t.byService[b.Service], address)
		}
	}
}
