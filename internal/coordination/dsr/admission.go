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
	waitShare = 0.6
	// slowWeight is the weight of one answer in the averages over answers. In an overload,
	// a balancer of a small site sees a hundred answers of a service a second.
	slowWeight = 0.05
	// overloadBegin is the share of slow answers from which a service counts as
	// overloaded, overloadEnd the one below which it may no longer be. With fewer slow
	// ones than half, some targets may be slow by themselves while others have free slots.
	overloadBegin = 0.5
	overloadEnd   = 0.2
	// limitNear is the part of the limit at which it still holds without slow answers.
	limitNear = 0.5
	// shedShare is the part of the time that an answer may take below which the target
	// did not run the request, but refused it because its queue is full.
	shedShare = 0.1
	// networkWeight is the weight of one handshake in the time on the network.
	networkWeight = 0.05
	// limitDepth is the number of requests in progress for each slot that are never too
	// many: with one that waits behind each, a slot is not free for lack of requests, also
	// where requests take nearly as long as their latency target without waiting.
	limitDepth = 2
	// rateMemory is the time after which an answer counts for 1/e in the rate of answers.
	rateMemory = time.Second
	// urgentDepth is the number of requests in progress for each slot up to which a route
	// is admitted that is more urgent than another one of its service.
	urgentDepth = 3
	// lessUrgentShare is the part of the limit that is open to the other one.
	lessUrgentShare = 0.7
	// routeLeast is the number of requests in progress that any route may have, so that
	// a route that is new or little used is never refused.
	routeLeast = 2
	// answerGap is the time since the last tick from which the age of an answer proves
	// nothing, because the process may not have run.
	answerGap = 250 * time.Millisecond
)

// Load is what a balancer knows about the load of a service.
type Load struct {
	// Slow is the share of slow answers.
	Slow float64
	// Rate is the number of answers in a second, without requests that did not run.
	Rate float64
	// Network is the time of a round trip to a target and a caller.
	Network time.Duration
	// May is how long a target may take for an answer, on average over the routes.
	May time.Duration
	// Running is the number of this balancer's requests in progress, Limit their
	// bound, 0 for none.
	Running int
	Limit   float64
	// Slots is this balancer's part of the slots of the service.
	Slots float64

	// measured is set once Network is known.
	measured bool
	// answers counts the answers since the last tick.
	answers int
}

// noteHandshake notes that a caller acknowledged the answer to an opener that was
// forwarded at a time. Targets answer openers without a slot.
func (d *Dispatcher) noteHandshake(now time.Time, t *Target, from time.Time) {
	if from.Before(d.resumedAt) || now.Sub(d.lastTickAt) > answerGap {
		return
	}
	l := d.loads[t.Service]
	if !l.measured {
		l.measured, l.Network = true, now.Sub(from)
	}
	l.Network += time.Duration(networkWeight * float64(now.Sub(from)-l.Network))
	d.loads[t.Service] = l
}

// noteAnswer notes the time of an answer to a request that began at a time.
func (d *Dispatcher) noteAnswer(now time.Time, t *Target, r *Route, from time.Time) {
	if r.LatencyTarget == 0 || !d.loads[t.Service].measured || from.Before(d.resumedAt) || now.Sub(d.lastTickAt) > answerGap {
		return
	}
	l := d.loads[t.Service]
	took := now.Sub(from) - l.Network
	may := time.Duration(waitShare * float64(r.LatencyTarget))
	if l.May == 0 {
		l.May = may
	}
	l.May += time.Duration(slowWeight * float64(may-l.May))
	if took >= time.Duration(shedShare*float64(may)) {
		l.answers++
	}
	slow := 0.0
	if took > may {
		slow = 1
	}
	l.Slow += slowWeight * (slow - l.Slow)
	d.loads[t.Service] = l
}

// adjustLimits begins, moves and ends the limits of the services. elapsed is the time
// since the last call.
func (d *Dispatcher) adjustLimits(elapsed time.Duration) {
	for service, l := range d.loads {
		if len(d.targets.byService[service]) == 0 {
			delete(d.loads, service)
			continue
		}
		before := l.Limit
		l.Running, l.Slots = d.requestsAndSlots(service)
		l.noteRate(elapsed)
		l.Limit = l.nextLimit()
		d.loads[service] = l
		switch {
		case before == 0 && l.Limit > 0:
			d.events = append(d.events, Event{Kind: EventOverloadBegan, Service: service, Load: l})
		case before > 0 && l.Limit == 0:
			d.events = append(d.events, Event{Kind: EventOverloadEnded, Service: service, Load: l})
		}
	}
}

// noteRate adds the answers since the last tick to the rate.
func (l *Load) noteRate(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
	l.Rate = keep*l.Rate + (1-keep)*float64(l.answers)/elapsed.Seconds()
	l.answers = 0
}

// nextLimit returns the limit until the next tick, 0 for none. With as many requests in
// progress as are answered in the time that an answer may take, each takes that time
// (Little's law). A flow for each request has the time of its handshake besides. With
// fewer requests than limitDepth for each of the balancer's slots, slots may be free.
func (l *Load) nextLimit() float64 {
	near := l.Slow >= overloadEnd || float64(l.Running) >= limitNear*l.Limit
	if l.Slow < overloadBegin && (l.Limit == 0 || !near) {
		return 0
	}
	return max(limitDepth*l.Slots, l.Rate*(l.May+2*l.Network).Seconds())
}

// requestsAndSlots returns this balancer's requests in progress at a service, and its
// part of the slots of the targets that live.
func (d *Dispatcher) requestsAndSlots(service string) (running int, slots float64) {
	for _, t := range d.targets.byService[service] {
		running += t.inFlight
		if t.acceptsNewFlows() && !t.health.suspected() {
			slots += float64(t.Slots)
		}
	}
	return running, slots / float64(d.sharers())
}

// sharers is the number of balancers that share the targets, as far as is known.
func (d *Dispatcher) sharers() int { return max(d.peers, 1) * max(d.options.PlaceCount, 1) }

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
	if r.usage.inFlight < routeLeast || len(r.Backends) == 0 {
		return Load{}, false
	}
	service := r.orderBackends(flow)[0].Service
	l := d.loads[service]
	if l.Limit == 0 {
		return Load{}, false
	}
	limit := l.Limit
	l.Running = 0
	for _, address := range d.routes.byService[service] {
		other := d.routes.current[address]
		if other.Priority <= r.Priority {
			l.Running += other.usage.inFlight
		}
		switch {
		case other.usage.inFlight < routeLeast:
		case other.Priority < r.Priority:
			limit = min(limit, max(limitDepth*l.Slots, lessUrgentShare*l.Limit))
		case other.Priority > r.Priority:
			limit = max(limit, urgentDepth*l.Slots)
		}
	}
	l.Limit = limit
	return l, float64(l.Running) >= limit
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
