package dsr

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	testColdPerSecond = 4
	testColdBound     = testColdPerSecond*1.5 + 5
	testColdDuration  = 8 * time.Second
)

// coldPlace is a place of which all targets are cold. The last balancer is of another place.
type coldPlace struct {
	rng       *rand.Rand
	now       time.Time
	balancers []*Dispatcher
	names     []string
	opened    uint32
	openedAt  map[string][]time.Time // of all forwarded openers, by target
}

func newColdPlace(balancers, targets int, seed uint64) *coldPlace {
	p := &coldPlace{rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, openedAt: make(map[string][]time.Time)}
	listing := Listing{Revision: 7}
	for i := range targets {
		a := newAnnouncement(i, "web", "a")
		a.WarmupRemaining = testColdDuration
		listing.Targets = append(listing.Targets, a)
	}
	for i := range balancers + 1 {
		p.names = append(p.names, fmt.Sprintf("vm-%d", i))
		d := NewDispatcher(Options{Place: string(rune('a' + i/balancers)), MaxFlowLifetime: time.Minute, ColdOverage: 1.5, ColdSlack: 5})
		set := newRouteSet(1, "web")
		set.Routes[0].Backends[0].ColdPerSecond = testColdPerSecond
		d.SetRoutes(set)
		d.ApplyListing(p.now, listing)
		p.balancers = append(p.balancers, d)
	}
	for i, d := range p.balancers {
		d.SetPlaceMembers(p.names[i], append(p.names[:balancers:balancers], p.names[i]))
	}
	return p
}

func (p *coldPlace) handle(balancer int, packet Packet) (forwarded int) {
	if decision := p.balancers[balancer].Handle(p.now, packet); decision.Action == ActionForward {
		p.openedAt[decision.Target.ID] = append(p.openedAt[decision.Target.ID], p.now)
		return 1
	}
	return 0
}

// run opens flows at a rate for a time, one of ten with copies of the opener to its balancer and to another one, and
// returns how many were opened and not opened by the first transmission.
func (p *coldPlace) run(duration time.Duration, perSecond float64) (forwarded, refused int) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))) {
		p.opened++
		opener := Packet{Flow: protocol.FlowKey{Caller: protocol.Endpoint{IP: [4]byte{100, 64, byte(p.opened >> 16)}, Port: uint16(p.opened)}, Service: routeAddress(0)}, Opener: true}
		first := p.rng.IntN(len(p.balancers) - 1)
		opened := p.handle(first, opener)
		forwarded, refused = forwarded+opened, refused+1-opened
		if opener.Retransmits = 1; p.opened%10 == 0 {
			p.handle(first, opener)
			p.handle(p.rng.IntN(len(p.balancers)), opener)
		}
	}
	return forwarded, refused
}

// Guards against more openers to a cold target than it can bear, where one balancer's member list lacks a
// third, and against a place that does not fill while it is cold or afterwards.
func TestOpenersToColdTargetsAreLimited(t *testing.T) {
	const targets, borne = 40, 40 * testColdPerSecond
	for _, balancers := range []int{1, 7, 30, 160} {
		for seed, demand := range []float64{1.5 * borne, 1.5 * borne, 10 * borne} {
			p := newColdPlace(balancers, targets, uint64(seed))
			self := p.rng.IntN(balancers)
			p.balancers[self].SetPlaceMembers(p.names[self], append(p.names[balancers/3:balancers:balancers], p.names[self]))
			forwarded, _ := p.run(testColdDuration, demand)
			highest := 0
			for _, times := range p.openedAt {
				for first, i := 0, 0; i < len(times); i++ {
					for times[i].Sub(times[first]) >= time.Second {
						first++
					}
					highest = max(highest, i-first+1)
				}
			}
			t.Logf("%d balancers, demand %v: %d openers in a second at most, %d forwarded", balancers, demand, highest, forwarded)
			// A half of the requests that the targets bear must reach them.
			assert.Check(t, highest <= testColdBound && float64(forwarded) >= 0.5*borne*testColdDuration.Seconds(), "%d balancers, seed %d: %d openers in a second, %d forwarded", balancers, seed, highest, forwarded)
			_, refused := p.run(2*time.Second, demand)
			assert.Check(t, refused == 0 && len(p.openedAt) == targets, "%d balancers, seed %d: %d openers refused after the warm-up, %d targets", balancers, seed, refused, len(p.openedAt))
		}
	}
}

// Guards against openers to cold targets from balancers that cannot know the other deciders, and against flows that
// are then refused although a target of another place is warm.
func TestOnlyMembersOfThePlaceSendOpenersToColdTargets(t *testing.T) {
	p := newColdPlace(2, 3, 1)
	p.balancers[0].SetPlaceMembers("vm-0", nil)
	p.balancers[1].SetPlaceMembers("vm-1", []string{"vm-0"})
	forwarded, _ := p.run(time.Second, 100)
	assert.Equal(t, forwarded+p.handle(2, Packet{Flow: protocol.FlowKey{Service: routeAddress(0)}, Opener: true}), 0)
	p.balancers[0].Tick(p.now)
	assert.Equal(t, *p.balancers[0].Gauges().Cold, ColdTargets{Limited: 3})
	for _, d := range p.balancers {
		d.ApplyDelta(p.now, Delta{Revision: 8, Targets: []Announcement{newAnnouncement(9, "web", "b")}})
	}
	_, refused := p.run(time.Second, 300)
	assert.Equal(t, refused, 0)
}

// Guards against a limit in deployments that state none, and against one without end by a wrong entry.
func TestColdLimitIsOptional(t *testing.T) {
	for name, backend := range map[string]Backend{"no bound": {ColdPerSecond: 4}, "no rate": {}, "longer than a warm-up": {ColdPerSecond: 4, ColdDuration: 1}} {
		p, set := newColdPlace(1, 3, 1), newRouteSet(2, "web")
		backend.Service, backend.Weight = "web", 1
		set.Routes[0].Backends[0] = backend
		p.balancers[0].SetRoutes(set)
		if name == "no bound" {
			p.balancers[0].options.ColdOverage = 0
		}
		p.now = p.now.Add(time.Millisecond)
		_, refused := p.run(time.Second, 100)
		assert.Check(t, refused == 0, "%s: %d refused", name, refused)
	}
}

// Guards against shares that exceed the limit where the balancers of a place have two different member
// lists, or where one takes itself for the first decider by mistake.
func TestColdShares(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 2.9, 3, 6, 11, 12.5, 16, 100, 1e9} {
		sum := 0
		for rank := range 2 + coldFurtherDeciders {
			sum += coldShare(limit, rank)
		}
		assert.Check(t, (sum > 0) == (limit >= 1) && float64(sum) <= limit, "limit %v: %d", limit, sum)
		assert.Check(t, limit < 3 || float64(sum+max(sum, coldShare(limit, 0))) <= limit, "limit %v: %d", limit, sum)
	}
}

// Guards against followers that are not told of a target that became cold again, or that count a
// warm-up from the start again.
func TestWarmupsAreReplicated(t *testing.T) {
	p := newColdPlace(2, 1, 1)
	parent, follower := p.balancers[0], p.balancers[1]
	before, _ := parent.Summary()
	again := newAnnouncement(0, "web", "a")
	again.Revision, again.WarmupRemaining = 20, testColdDuration+6*time.Second
	parent.ApplyListing(p.now, Listing{Targets: []Announcement{again}, Revision: 20})
	parent.Tick(p.now.Add(10 * time.Second))
	delta := parent.Delta(before.Epoch, before.ChangeSequence)
	follower.ApplyDelta(p.now.Add(10*time.Second), delta)
	assert.Equal(t, follower.targets.byID[again.ID].warmupUntil, p.now.Add(again.WarmupRemaining))
}
