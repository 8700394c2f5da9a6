package dsr

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	scarceTargets     = 60
	scarceSlots       = 2
	scarceMaxQueued   = 8
	scarceServiceTime = 50 * time.Millisecond
	// scarceCapacity is the number of requests that the targets can run per second.
	scarceCapacity = scarceTargets * scarceSlots * float64(time.Second) / float64(scarceServiceTime)
	// rejectionBytes is the size of a rejection.
	rejectionBytes = 130
	// scarceMaxRepeats is how often a caller repeats a request that was rejected or refused.
	scarceMaxRepeats = 2
	scarceCallers    = 200
	// scarceFlowRequests is the number of requests on a long flow. Half of the requests are on
	// long flows.
	scarceFlowRequests = 20
	scarceUrgent       = 0
	scarceLessUrgent   = 1
)

// scarceSite simulates a place whose targets reject requests beyond their queues, and
// callers that repeat these.
type scarceSite struct {
	*site
	heavyCallerFlows int // flows of caller 0 relative to the other callers
	nextPort         uint16
	// measured is set while the requests of new flows count.
	measured bool
	results  [2]scarceResult
	callers  [scarceCallers]scarceResult
	// servedSizes returns the size of a response.
	servedSize func() uint32
}

// scarceResult counts requests, which end as served or failed, and the rejections and refusals
// of their attempts. A request that fails also fails those that were to follow on its flow.
type scarceResult struct{ calls, onTime, served, rejected, refused, failed int }

func newScarceSite(balancers int, learns bool) *scarceSite {
	s := &scarceSite{site: &site{now: startTime, random: rand.New(rand.NewPCG(7, 7)), hosts: map[string]*siteHost{}, oneWayDelay: siteOneWayDelay}, heavyCallerFlows: 1}
	s.servedSize = func() uint32 { return uint32(600 * math.Pow(10, s.random.Float64())) }
	var targets []Announcement
	for i := range scarceTargets {
		a := newAnnouncement(i, "web", "a")
		targets = append(targets, a)
		s.hosts[a.ID] = &siteHost{}
	}
	for range balancers {
		d := NewDispatcher(Options{Place: "a", PlaceCount: 1, MaxFlowLifetime: time.Minute, LearnsFromRejections: learns})
		d.SetPlaceBalancerCount(balancers)
		set := newRouteSet(1, "web", "web")
		for i, r := range set.Routes {
			r.Priority, r.LatencyTarget, r.Timeout = i+1, time.Duration(500+100*i)*time.Millisecond, 5*time.Second
		}
		d.SetRoutes(set)
		d.ApplyListing(startTime, Listing{Targets: targets, Revision: 1})
		s.balancers = append(s.balancers, d)
	}
	s.queue.Schedule(s.now, s.tick)
	return s
}

// run schedules a load, as a multiple of the capacity, of which a third is urgent, and runs
// the simulation for a duration.
func (s *scarceSite) run(load float64, duration time.Duration) {
	for route, share := range []float64{1.0 / 3, 2.0 / 3} {
		requests := share * load * scarceCapacity * duration.Seconds()
		s.scheduleCalls(int(requests/2), 1, route, duration)
		s.scheduleCalls(int(requests/2/scarceFlowRequests), scarceFlowRequests, route, duration)
	}
	s.queue.RunUntil(&s.now, s.now.Add(duration))
}

func (s *scarceSite) scheduleCalls(flows, requests, route int, duration time.Duration) {
	for range flows {
		s.schedule(time.Duration(s.random.Int64N(int64(duration))), func() {
			caller := max(s.random.IntN(scarceCallers+s.heavyCallerFlows-1)-s.heavyCallerFlows+1, 0)
			c := &scarceCall{scarceSite: s, route: route, caller: caller, requestsLeft: requests, isMeasured: s.measured}
			c.count(func(r *scarceResult) { r.calls += requests })
			c.openFlow()
		})
	}
}

// scarceCall is a sequence of requests of a caller, on one flow unless requests are repeated.
type scarceCall struct {
	*scarceSite
	route, caller int
	requestsLeft  int
	repeats       int
	isMeasured    bool
	// startedAt is when the current request was first tried, zero between two requests.
	startedAt time.Time
	d         *Dispatcher
	key       protocol.FlowKey
	target    *Target
	seq, ack  uint32
}

func (c *scarceCall) count(add func(*scarceResult)) {
	if c.isMeasured {
		add(&c.results[c.route])
		add(&c.callers[c.caller])
	}
}

// startCall begins a request of the sequence.
func (c *scarceCall) startCall() {
	if !c.startedAt.IsZero() {
		return
	}
	c.startedAt, c.repeats = c.now, 0
}

func (c *scarceCall) openFlow() {
	c.startCall()
	c.d = c.balancers[c.random.IntN(len(c.balancers))]
	c.nextPort++
	c.key = protocol.FlowKey{Caller: protocol.Endpoint{IP: [4]byte{100, 64, 0, byte(c.caller)}, Port: c.nextPort}, Service: routeAddress(c.route), Transport: protocol.TransportTCP}
	decision := c.d.Handle(c.now, Packet{Flow: c.key, Opener: true, Seq: 1})
	if decision.Action != ActionForward {
		c.count(func(r *scarceResult) { r.refused++ })
		c.repeat()
		return
	}
	c.target, c.seq, c.ack = decision.target, 2, 1
	c.schedule(2*c.oneWayDelay, func() {
		c.send(Packet{})
		c.sendRequest()
	})
}

func (c *scarceCall) send(p Packet) {
	p.Flow, p.Token, p.Seq, p.Ack = c.key, c.target.Token, c.seq, c.ack
	c.d.Handle(c.now, p)
	c.seq = p.endSeq()
}

func (c *scarceCall) sendRequest() {
	c.startCall()
	c.send(Packet{Bytes: 100})
	h := c.hosts[c.target.ID]
	run := func() {
		h.busySlots++
		serviceTime := time.Duration(float64(scarceServiceTime) * (0.5 + c.random.Float64()) * float64(max(h.slowdown, 1)))
		c.schedule(serviceTime, func() { c.complete(h) })
	}
	switch {
	case h.busySlots < scarceSlots:
		run()
	case len(h.waiting) < scarceMaxQueued:
		h.waiting = append(h.waiting, run)
	default:
		c.schedule(8*time.Millisecond, c.reject)
	}
}

// acknowledge acknowledges a response of a size, every second packet or the last one.
func (c *scarceCall) acknowledge(size uint32) {
	const ackedBytes = 2 * 1200
	for ; size > 0; size -= min(size, ackedBytes) {
		c.ack += min(size, ackedBytes)
		c.send(Packet{})
	}
}

func (c *scarceCall) reject() {
	c.count(func(r *scarceResult) { r.rejected++ })
	c.acknowledge(rejectionBytes)
	c.send(Packet{Fin: true})
	c.repeat()
}

// repeat tries the request again on a new flow after a pause.
func (c *scarceCall) repeat() {
	if c.repeats == scarceMaxRepeats {
		c.count(func(r *scarceResult) { r.failed += c.requestsLeft })
		return
	}
	c.repeats++
	c.schedule(time.Duration(50+c.random.IntN(50))*time.Millisecond, c.openFlow)
}

func (c *scarceCall) complete(h *siteHost) {
	h.busySlots--
	if len(h.waiting) > 0 {
		next := h.waiting[0]
		h.waiting = h.waiting[1:]
		next()
	}
	c.schedule(2*c.oneWayDelay, func() {
		c.count(func(r *scarceResult) {
			r.served++
			if c.now.Sub(c.startedAt) <= time.Duration(500+100*c.route)*time.Millisecond {
				r.onTime++
			}
		})
		c.acknowledge(c.servedSize())
		c.startedAt = time.Time{}
		c.requestsLeft--
		if c.requestsLeft == 0 {
			c.send(Packet{Fin: true})
			return
		}
		c.schedule(time.Duration(c.random.IntN(200))*time.Millisecond, c.sendRequest)
	})
}

// BenchmarkScarceCapacity prints the table of docs/design/scarce-capacity.md.
func BenchmarkScarceCapacity(b *testing.B) {
	for _, balancers := range []int{1, 7, 30, 160} {
		for _, load := range []float64{0.4, 0.8, 1.3, 2} {
			for _, learns := range []bool{false, true} {
				b.Run(fmt.Sprintf("balancers=%d,load=%v,learns=%v", balancers, load, learns), func(b *testing.B) {
					s := newScarceSite(balancers, learns)
					s.run(0.4, 8*time.Second)
					s.measured = true
					s.run(load, 10*time.Second)
					s.measured = false
					s.run(0.4, 12*time.Second)
					line := ""
					for _, r := range s.results {
						n := float64(max(r.calls, 1))
						line += fmt.Sprintf(" | %d on time %.1f rejected %.1f refused %.1f failed %.1f", r.calls, 100*float64(r.onTime)/n, 100*float64(r.rejected)/n, 100*float64(r.refused)/n, 100*float64(r.failed)/n)
					}
					limits, meanLimit := 0, 0.0
					for _, d := range s.balancers {
						if d.loads["web"].Limit > 0 {
							limits++
							meanLimit += d.loads["web"].Limit
						}
					}
					b.Logf("%s; limits left %d", line, limits)
				})
			}
		}
	}
}
