package dsr

import (
	"math"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// When callers ask for more than the targets can do, the targets' queues fill up:
// they answer as many requests as with short queues, but nearly all of them late.
// A balancer therefore bounds its requests in progress at an overloaded service and
// refuses openers beyond, less urgent ones first. It sees neither the queues nor the
// flows of other balancers, so the bound follows from how long answers take.

const (
	// waitShare is the part of the latency target that a target may take for an answer on
	// average in an overload, so that most are on time. Longer ones are slow.
	responseBudgetShare = 0.6
	// slowWeight is the weight of one answer in the averages over answers. In an overload,
	// a balancer of a small site sees a hundred answers of a service a second.
	responseSmoothingFactor = 0.05
	// overloadBegin is the share of slow answers from which a service counts as
	// overloaded, overloadEnd the one below which it may no longer be. With fewer slow
	// ones than half, some targets may be slow by themselves while others have free slots.
	overloadEnterSlowShare = 0.5
	overloadExitSlowShare  = 0.2
	// limitNear is the part of the limit at which it still holds without slow answers.
	sustainedLimitShare = 0.5
	// shedShare is the part of the time that an answer may take below which the target
	// did not run the request, but refused it because its queue is full.
	shedBudgetShare = 0.1
	// networkWeight is the weight of one handshake in the time on the network.
	rttSmoothingFactor = 0.05
	// limitDepth is the number of requests in progress for each slot that are never too
	// many: with one that waits behind each, a slot is not free for lack of requests, also
	// where requests take nearly as long as their latency target without waiting.
	minInFlightPerSlot = 2
	// rateMemory is the time after which an answer counts for 1/e in the rate of answers.
	rateTimeConstant = time.Second
	// urgentDepth is the number of requests in progress for each slot up to which a route
	// is admitted that is more urgent than another one of its service.
	urgentInFlightPerSlot = 3
	// lessUrgentShare is the part of the limit that is open to the other one.
	lessUrgentLimitShare = 0.7
	// routeLeast is the number of requests in progress that any route may have, so that
	// a route that is new or little used is never refused.
	minInFlightPerRoute = 2
	// answerGap is the time since the last tick from which the age of an answer proves
	// nothing, because the process may not have run.
	maxTickAge = 250 * time.Millisecond
)

// Load is what a balancer knows about the load of a service.
type Load struct {
	// Slow is the share of slow answers.
	SlowShare float64
	// Rate is the number of answers in a second, without requests that did not run.
	ResponseRate float64
	// Network is the time of a round trip to a target and a caller.
	RoundTripTime time.Duration
	// May is how long a target may take for an answer, on average over the routes.
	ResponseBudget time.Duration
	// Running is the number of this balancer's requests in progress, Limit their
	// bound, 0 for none.
	InFlight int
	Limit    float64
	// Slots is this balancer's part of the slots of the service.
	Slots float64

	// measured is set once Network is known.
	rttMeasured bool
	// answers counts the answers since the last tick.
	responses int
}

// noteHandshake notes that a caller acknowledged the answer to an opener that was
// forwarded at a time. Targets answer openers without a slot.
func (d *Dispatcher) recordHandshake(now time.Time, t *Target, openedAt time.Time) {
	if openedAt.Before(d.evidenceFrom) || now.Sub(d.tickedAt) > maxTickAge {
		return
	}
	l := d.loads[t.Service]
	if !l.rttMeasured {
		l.rttMeasured, l.RoundTripTime = true, now.Sub(openedAt)
	}
	l.RoundTripTime += time.Duration(rttSmoothingFactor * float64(now.Sub(openedAt)-l.RoundTripTime))
	d.loads[t.Service] = l
}

// noteAnswer notes the time of an answer to a request that began at a time.
func (d *Dispatcher) recordResponse(now time.Time, t *Target, r *Route, startedAt time.Time) {
	if r.Latency == 0 || !d.loads[t.Service].rttMeasured || startedAt.Before(d.evidenceFrom) || now.Sub(d.tickedAt) > maxTickAge {
		return
	}
	l := d.loads[t.Service]
	responseTime := now.Sub(startedAt) - l.RoundTripTime
	budget := time.Duration(responseBudgetShare * float64(r.Latency))
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

// adjustLimits begins, moves and ends the limits of the services. elapsed is the time
// since the last call.
func (d *Dispatcher) updateLimits(elapsed time.Duration) {
	for service, l := range d.loads {
		if len(d.targets.services[service]) == 0 {
			delete(d.loads, service)
			continue
		}
		previousLimit := l.Limit
		l.InFlight, l.Slots = d.inFlightAndSlots(service)
		l.updateRate(elapsed)
		l.Limit = l.nextLimit()
		d.loads[service] = l
		switch {
		case previousLimit == 0 && l.Limit > 0:
			d.events = append(d.events, Event{Kind: EventOverloadBegan, Service: service, Load: l})
		case previousLimit > 0 && l.Limit == 0:
			d.events = append(d.events, Event{Kind: EventOverloadEnded, Service: service, Load: l})
		}
	}
}

// noteRate adds the answers since the last tick to the rate.
func (l *Load) updateRate(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	l.ResponseRate = decay*l.ResponseRate + (1-decay)*float64(l.responses)/elapsed.Seconds()
	l.responses = 0
}

// nextLimit returns the limit until the next tick, 0 for none. With as many requests in
// progress as are answered in the time that an answer may take, each takes that time
// (Little's law). A flow for each request has the time of its handshake besides. With
// fewer requests than limitDepth for each of the balancer's slots, slots may be free.
func (l *Load) nextLimit() float64 {
	sustained := l.SlowShare >= overloadExitSlowShare || float64(l.InFlight) >= sustainedLimitShare*l.Limit
	if l.SlowShare < overloadEnterSlowShare && (l.Limit == 0 || !sustained) {
		return 0
	}
	return max(minInFlightPerSlot*l.Slots, l.ResponseRate*(l.ResponseBudget+2*l.RoundTripTime).Seconds())
}

// requestsAndSlots returns this balancer's requests in progress at a service, and its
// part of the slots of the targets that live.
func (d *Dispatcher) inFlightAndSlots(service string) (inFlight int, slots float64) {
	for _, t := range d.targets.services[service] {
		inFlight += t.running
		if t.usable() && !t.health.suspected() {
			slots += float64(t.Slots)
		}
	}
	return inFlight, slots / float64(d.balancerCount())
}

// sharers is the number of balancers that share the targets, as far as is known.
func (d *Dispatcher) balancerCount() int { return max(d.peers, 1) * max(d.options.Places, 1) }

// SetPeers tells how many balancers of the place there are, with this one.
func (d *Dispatcher) SetPeers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = n
}

// overLimit reports whether a new flow of a route is beyond the limit of its service,
// with the requests in progress that count against it and the limit that applies to it.
// Requests of less urgent routes do not count.
func (d *Dispatcher) overLimit(r *Route, flow uint64) (Load, bool) {
	if r.use.running < minInFlightPerRoute || len(r.Backends) == 0 {
		return Load{}, false
	}
	service := r.order(flow)[0].Service
	l := d.loads[service]
	if l.Limit == 0 {
		return Load{}, false
	}
	limit := l.Limit
	l.InFlight = 0
	for _, address := range d.routes.byService[service] {
		other := d.routes.current[address]
		if other.Priority <= r.Priority {
			l.InFlight += other.use.running
		}
		switch {
		case other.use.running < minInFlightPerRoute:
		case other.Priority < r.Priority:
			limit = min(limit, max(minInFlightPerSlot*l.Slots, lessUrgentLimitShare*l.Limit))
		case other.Priority > r.Priority:
			limit = max(limit, urgentInFlightPerSlot*l.Slots)
		}
	}
	l.Limit = limit
	return l, float64(l.InFlight) >= limit
}

// indexByService lists the addresses of the routes by service.
func (t *routeTable) indexByService() {
	t.byService = make(map[string][]protocol.Endpoint)
	for address, r := range t.current {
		for _, b := range r.Backends {
			t.byService[b.Service] = append(t.byService[b.Service], address)
		}
	}
}
