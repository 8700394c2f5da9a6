package dsr

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// region extends the simulation of load_test.go to long flows and to places with their own demand:
// three places with 40 targets of 2 slots each, which queue 8 requests and reject further ones.
type region struct {
	*site
	perPlace    int
	measureFrom time.Time
	stats       [regionPlaces]regionStats
	// demand is the demand of each place in shares of the slots of a place.
	demand [regionPlaces]float64
	// cutOff is set while packets between places are lost.
	cutOff bool
	away   []int // flows that left the first place, by second
	opened []int // flows of the first place, by second
}

// regionStats counts the requests and flows of the callers of one place.
type regionStats struct {
	requests, rejected, refused, onTime, served, flows, left int
	totalTime                                                time.Duration
}

const (
	regionPlaces   = 3
	regionTargets  = 40
	regionSlots    = 2
	regionQueue    = 8
	regionWork     = 55 * time.Millisecond
	regionDeadline = 500 * time.Millisecond
	// A long flow carries longFlowRequests requests with pauses between them. Of all requests,
	// longShare run on long flows.
	longFlowRequests = 20
	longFlowPause    = 400 * time.Millisecond
	longShare        = 0.7
	localDelay       = 300 * time.Microsecond  // one way
	remoteDelay      = 1500 * time.Microsecond // one way, between places
)

func placeName(i int) string { return string(rune('a' + i)) }

func newRegion(perPlace int, crossPlace bool, demand [regionPlaces]float64) *region {
	r := &region{site: &site{now: startTime, random: rand.New(rand.NewPCG(3, 3)), hosts: map[string]*siteHost{}}, perPlace: perPlace, demand: demand}
	var targets []Announcement
	for i := range regionPlaces * regionTargets {
		a := newAnnouncement(i, "web", placeName(i%regionPlaces))
		targets = append(targets, a)
		r.hosts[a.ID] = &siteHost{}
	}
	routes := newRouteSet(1, "web")
	routes.Routes[0].LatencyTarget = regionDeadline
	for i := range regionPlaces * perPlace {
		d := NewDispatcher(Options{Place: placeName(i / perPlace), PlaceCount: regionPlaces, MaxFlowLifetime: time.Minute, CrossPlace: crossPlace})
		d.SetPlaceBalancerCount(perPlace)
		d.SetRoutes(routes)
		d.ApplyListing(startTime, Listing{Targets: targets, Revision: 1})
		r.balancers = append(r.balancers, d)
	}
	r.queue.Schedule(r.now, r.tick)
	for place := range regionPlaces {
		r.scheduleNext(place, 1)
		r.scheduleNext(place, longFlowRequests)
	}
	return r
}

// scheduleNext opens flows of a number of requests at random intervals.
func (r *region) scheduleNext(place, requests int) {
	share := longShare
	if requests == 1 {
		share = 1 - longShare
	}
	perSecond := r.demand[place] * share / float64(requests) * regionTargets * regionSlots / regionWork.Seconds()
	r.schedule(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f := &regionFlow{region: r, place: place, requests: requests}
		f.startRequest()
		r.scheduleNext(place, requests)
	})
}

// run runs the simulation for a duration and counts what happens in it.
func (r *region) run(d time.Duration) {
	r.stats, r.measureFrom = [regionPlaces]regionStats{}, r.now
	r.away, r.opened = nil, nil
	r.queue.RunUntil(&r.now, r.now.Add(d))
}

// regionFlow is a caller's sequence of requests. It continues on another flow after a rejection.
type regionFlow struct {
	*region
	place, requests, attempts int
	startedAt                 time.Time
	d                         *Dispatcher
	key                       protocol.FlowKey
	target                    *Target
	seq, ack                  uint32
}

func (f *regionFlow) measured() bool { return !f.startedAt.Before(f.measureFrom) }

// startRequest starts the next request, on a new flow if none is open.
func (f *regionFlow) startRequest() {
	f.startedAt, f.attempts = f.now, 0
	f.stats[f.place].requests++
	if f.target != nil {
		f.send(Packet{Seq: f.seq, Ack: f.ack, Bytes: 100})
		f.seq += 100
		f.runOrQueue()
		return
	}
	f.openFlow()
}

func (f *regionFlow) openFlow() {
	f.d = f.balancers[f.place*f.perPlace+f.random.IntN(f.perPlace)]
	f.key = protocol.FlowKey{Caller: protocol.Endpoint{IP: [4]byte{100, byte(f.random.IntN(64)), byte(f.random.IntN(256)), byte(f.place)}, Port: uint16(f.random.IntN(1 << 16))}, Service: routeAddress(0), Transport: protocol.TransportTCP}
	f.stats[f.place].flows++
	f.sendOpener(0)
}

func (f *regionFlow) sendOpener(retransmits uint32) {
	timeouts := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	if int(retransmits) == len(timeouts) {
		f.reject()
		return
	}
	d := f.d.Handle(f.now, Packet{Flow: f.key, Opener: true, Retransmits: retransmits, Seq: 1})
	if d.Action == ActionReset {
		f.reject()
		return
	}
	if d.target == nil || f.hosts[d.target.ID].silent || f.cutOff && d.target.Place != placeName(f.place) {
		f.schedule(timeouts[retransmits], func() { f.sendOpener(retransmits + 1) })
		return
	}
	second := int(f.now.Sub(f.measureFrom) / time.Second)
	if f.place == 0 {
		for len(f.away) <= second {
			f.away, f.opened = append(f.away, 0), append(f.opened, 0)
		}
		f.opened[second]++
	}
	if d.target.Place != placeName(f.place) {
		f.stats[f.place].left++
		if f.place == 0 {
			f.away[second]++
		}
	}
	f.target = d.target
	f.schedule(2*f.delay(), func() {
		f.send(Packet{Seq: 2, Ack: 1, Bytes: 100})
		f.seq, f.ack = 102, 1
		f.runOrQueue()
	})
}

func (f *regionFlow) delay() time.Duration {
	if f.target.Place != placeName(f.place) {
		return remoteDelay
	}
	return localDelay
}

func (f *regionFlow) send(p Packet) {
	p.Flow, p.Token = f.key, f.target.Token
	f.d.Handle(f.now, p)
}

// runOrQueue runs the request in a slot of the target, queues it, or rejects it.
func (f *regionFlow) runOrQueue() {
	h := f.hosts[f.target.ID]
	run := func() {
		h.busySlots++
		f.schedule(time.Duration(float64(regionWork)*(0.5+f.random.Float64())), func() {
			h.busySlots--
			if len(h.waiting) > 0 {
				next := h.waiting[0]
				h.waiting = h.waiting[1:]
				next()
			}
			f.schedule(2*f.delay(), f.complete)
		})
	}
	switch {
	case h.silent:
		f.schedule(time.Second, f.reject) // the caller gives up
	case h.busySlots < regionSlots:
		run()
	case len(h.waiting) < regionQueue:
		h.waiting = append(h.waiting, run)
	default:
		f.schedule(2*f.delay(), func() {
			f.acknowledge()
			f.reject()
		})
	}
}

func (f *regionFlow) acknowledge() {
	f.ack += 100
	f.send(Packet{Seq: f.seq, Ack: f.ack})
}

func (f *regionFlow) closeFlow() {
	if f.target != nil {
		f.send(Packet{Seq: f.seq, Ack: f.ack, Fin: true})
		f.target = nil
	}
}

// reject repeats the request on a new flow, twice at the most.
func (f *regionFlow) reject() {
	f.closeFlow()
	s := &f.stats[f.place]
	if f.measured() {
		s.rejected++
	}
	f.attempts++
	if f.attempts <= 2 {
		f.openFlow()
		return
	}
	if f.measured() {
		s.refused++
	}
	f.next()
}

func (f *regionFlow) complete() {
	f.acknowledge()
	if s := &f.stats[f.place]; f.measured() {
		s.served++
		s.totalTime += f.now.Sub(f.startedAt)
		if f.now.Sub(f.startedAt) <= regionDeadline {
			s.onTime++
		}
	}
	f.next()
}

func (f *regionFlow) next() {
	f.requests--
	if f.requests == 0 {
		f.closeFlow()
		return
	}
	f.schedule(time.Duration(f.random.ExpFloat64()*float64(longFlowPause)), f.startRequest)
}

func (s regionStats) String() string {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	return fmt.Sprintf("rej %5.2f ref %5.2f ontime %6.2f mean %3d left %5.1f", percent(s.rejected, s.requests), percent(s.refused, s.requests),
		percent(s.onTime, s.served+s.refused), s.totalTime.Milliseconds()/int64(max(s.served, 1)), percent(s.left, s.flows))
}

// regionScenario is a course of demand and failures. prepare runs after the warm-up.
type regionScenario struct {
	name    string
	demand  [regionPlaces]float64
	prepare func(r *region)
}

func regionScenarios() []regionScenario {
	burst := func(r *region) {
		r.demand[0] = 1.6
		r.schedule(3*time.Second, func() { r.demand[0] = 0.4 })
	}
	loseTargets := func(r *region) {
		for i := range regionTargets / 3 {
			r.hosts[fmt.Sprintf("i-%08x", 3*i+1)].silent = true
		}
	}
	return []regionScenario{
		{"40-40", [3]float64{0.4, 0.4, 0.4}, nil},
		{"80-40", [3]float64{0.8, 0.4, 0.4}, nil},
		{"130-40", [3]float64{1.3, 0.4, 0.4}, nil},
		{"40-110", [3]float64{0.4, 1.1, 1.1}, nil},
		{"80-110", [3]float64{0.8, 1.1, 1.1}, nil},
		{"130-110", [3]float64{1.3, 1.1, 1.1}, nil},
		{"burst", [3]float64{0.4, 0.4, 0.4}, burst},
		{"third-gone", [3]float64{0.8, 0.4, 0.4}, loseTargets},
		{"130-cut", [3]float64{1.3, 0.4, 0.4}, func(r *region) { r.cutOff = true }},
	}
}

const regionWarmup, regionDuration = 12 * time.Second, 8 * time.Second

// BenchmarkCrossPlace prints the table of docs/design/cross-place.md, for today's rule and for shares by load.
func BenchmarkCrossPlace(b *testing.B) {
	for _, perPlace := range []int{1, 7, 30, 160} {
		for _, sc := range regionScenarios() {
			for _, crossPlace := range []bool{false, true} {
				b.Run(fmt.Sprintf("balancers=%d/%s/cross=%v", perPlace, sc.name, crossPlace), func(b *testing.B) {
					for range b.N {
						r := sc.run(perPlace, crossPlace)
						b.Logf("a: %v; b: %v; left by second: %v", r.stats[0], r.stats[1], r.awayShares())
					}
				})
			}
		}
	}
}

// run runs a scenario and returns the simulation.
func (sc regionScenario) run(perPlace int, crossPlace bool) *region {
	r := newRegion(perPlace, crossPlace, sc.demand)
	r.run(regionWarmup)
	if sc.prepare != nil {
		sc.prepare(r)
	}
	r.run(regionDuration)
	return r
}

// awayShares returns the percentages of the flows of the first place that left it, by second.
func (r *region) awayShares() []int {
	shares := make([]int, len(r.away))
	for i, n := range r.away {
		shares[i] = 100 * n / max(r.opened[i], 1)
	}
	return shares
}
