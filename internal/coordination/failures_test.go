package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crash stops a balancer at once. The fabric still sends packets to it for 1 s,
// and they are lost. The other balancers keep it in their views until the test
// calls propagateView.
func (f *fleet) crash(vm string) {
	f.frozen[vm] = true
	f.members = filter(f.members, func(m Member) bool { return m.VM != vm })
	f.schedule(time.Second, func() { f.kill(vm) })
}

// sendRequestsRepeatedly sends a new request on a flow about once a second.
func (c *fakeCaller) sendRequestsRepeatedly(requestID, left int) {
	if left == 0 || c.reset {
		return
	}
	c.sendUntilAnswered(requestID)
	pause := 500*time.Millisecond + time.Duration(c.f.rng.Int64N(int64(time.Second)))
	c.f.schedule(pause, func() { c.sendRequestsRepeatedly(requestID+1, left-1) })
}

// requestsPerBusyFlow is how many requests a busy flow sends during a failure.
const requestsPerBusyFlow = 12

// splitBusyIdle returns three quarters of the flows as busy and the others as
// idle. Both groups have flows of all services.
func splitBusyIdle(all []*fakeCaller) (busy, idle []*fakeCaller) {
	for i, c := range all {
		if i%8 < 2 {
			idle = append(idle, c)
		} else {
			busy = append(busy, c)
		}
	}
	return busy, idle
}

// countBrokenDuring causes a failure while the busy flows carry packets, and
// returns how many busy and idle flows broke. The other balancers detect the
// failure 1 to 3 s after it, each at a different time.
func (f *fleet) countBrokenDuring(all []*fakeCaller, failure func()) (busyBroken, idleBroken int) {
	busy, idle := splitBusyIdle(all)
	for _, c := range busy {
		f.schedule(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { c.sendRequestsRepeatedly(100, requestsPerBusyFlow) })
	}
	f.advance(3 * time.Second)
	failure()
	f.propagateView(time.Second, 3*time.Second)
	f.advance(5 * time.Second)
	f.deliverHandoffs()
	f.advance(25 * time.Second)
	for _, c := range busy {
		if c.reset || c.misdirected > 0 || len(c.answered) < len(c.requested) {
			busyBroken++
		}
	}
	return busyBroken, f.countBroken(idle, 200)
}

// Guards the limits on flows broken by crashed balancers. If one of seven crashes,
// no busy flow and at most 0.5 % of the idle flows break; if two crash at once, at
// most 0.5 % of the busy and 5 % of the idle flows. The test crashes the owner of
// a service, alone and together with its backup.
func TestKilledBalancersBreakFewFlows(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 7, twoServices(), Options{})
		all := f.establish(2000)
		busy, idle := f.countBrokenDuring(all, func() { f.crash(f.ownerOf(int(seed) % 2)) })
		assert.Equal(t, busy, 0)
		assert.Assert(t, idle*1000 <= 5*500)
		assert.Equal(t, f.crossServicePackets, 0)

		f = newFleet(t, seed, 7, twoServices(), Options{})
		all = f.establish(2000)
		busy, idle = f.countBrokenDuring(all, func() {
			f.crash(f.ownerOf(int(seed) % 2))
			f.crash(f.ownerOf(int(seed) % 2)) // the former backup
		})
		assert.Assert(t, busy*1000 <= 5*1500)
		assert.Assert(t, idle*100 <= 5*500)
		assert.Equal(t, f.crossServicePackets, 0)
	})
}

// partitionPlace cuts the network between a place and the others. Within 3 s the
// balancers of each side remove those of the other side from their views.
func (f *fleet) partitionPlace(place string) {
	for i := range 3 {
		if other := placeName(i); other != place {
			f.partitioned[[2]string{place, other}], f.partitioned[[2]string{other, place}] = true, true
		}
	}
	for _, m := range f.members {
		reachable := filter(f.members, func(peer Member) bool { return !f.partitioned[[2]string{m.Place, peer.Place}] })
		f.schedule(time.Second+time.Duration(f.rng.Int64N(int64(2*time.Second))), func() { f.setViewOf(m.VM, reachable) })
	}
}

// canReachTarget reports whether the target of a flow is on the caller's side of
// a network partition.
func (c *fakeCaller) canReachTarget() bool {
	for _, t := range c.f.targets {
		if t.conns[c.key] != nil {
			return !c.f.partitioned[[2]string{t.place, c.place}]
		}
	}
	return false
}

// newCallersInAllPlaces returns n callers spread over all places and services,
// numbered upwards from a given number.
func (f *fleet) newCallersInAllPlaces(from, n int) []*fakeCaller {
	var all []*fakeCaller
	for i := from; i < from+n; i++ {
		c := f.newCaller(i%len(f.set.Services), i)
		c.place = placeName(i / 2)
		all = append(all, c)
	}
	return all
}

// Guards against a place that stops serving when a network partition separates it
// from the others, and against flows that break when the partition heals and the
// views merge. Flows that carry packets when the partition begins must continue
// if their target is on the caller's side, and new flows must open.
func TestPartitionedPlaceKeepsServing(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 7, twoServices(), Options{})
		all := f.newCallersInAllPlaces(0, 600)
		f.openAll(all)
		for _, c := range all {
			c.sendRequestsRepeatedly(100, requestsPerBusyFlow)
		}
		f.advance(4 * time.Second)
		f.partitionPlace(placeName(int(seed)))
		reachableFlows := filter(all, (*fakeCaller).canReachTarget)
		assert.Assert(t, len(reachableFlows) > 200)
		f.advance(5 * time.Second)
		f.deliverHandoffs()
		newFlows := f.newCallersInAllPlaces(600, 600)
		f.openAll(newFlows)
		assert.Equal(t, f.countBroken(reachableFlows, 200), 0)
		assert.Equal(t, f.countBroken(newFlows, 200), 0)
		clear(f.partitioned)
		f.propagateView(0, 3*time.Second)
		f.advance(4 * time.Second)
		f.deliverHandoffs()
		assert.Equal(t, f.countBroken(append(reachableFlows, newFlows...), 300), 0)
		assert.Equal(t, f.crossServicePackets, 0)
	})
}

// setReports gives all balancers the same target reports.
func (f *fleet) setReports(reports ...TargetReport) {
	for _, m := range f.members {
		f.dispatchers[m.VM].SetReports(f.now, reports)
	}
}

// connectionsPerTarget returns the number of connections at each target of a service.
func (f *fleet) connectionsPerTarget(service int) map[string]int {
	connections := make(map[string]int)
	for _, t := range f.set.Targets {
		if t.Pool == f.set.Services[service].Pool {
			connections[t.Name] = len(f.targets[endpointOf(t)].conns)
		}
	}
	return connections
}

// Guards against a pool that refuses openers because all its targets are reported
// unhealthy, and against one target that then gets all flows.
func TestPoolWithOnlyUnhealthyTargetsIsUsed(t *testing.T) {
	f := newFleet(t, 1, 7, twoServices(), Options{})
	var reports []TargetReport
	for _, target := range f.set.Targets {
		reports = append(reports, TargetReport{Target: target.Name})
	}
	f.setReports(reports...)
	assert.Equal(t, f.countBroken(f.establish(700), 2), 0)
	for service := range f.set.Services {
		for name, n := range f.connectionsPerTarget(service) {
			assert.Assert(t, n > 0, "%s has no flow", name)
		}
	}
}

// Guards against a load report that is stuck at its maximum and starves its target
// or unbalances the pool. A report may at most halve the target's share of the
// flows. With an imbalance of up to 1.25 the target keeps 0.4 of the mean, and the
// others get at most 1.25 times their share of the rest.
func TestStuckLoadReportHasBoundedEffect(t *testing.T) {
	f := newFleet(t, 1, 7, twoServices(), Options{})
	f.setReports(TargetReport{Target: f.set.Targets[0].Name, Healthy: true, LoadPermille: 1000},
		TargetReport{Target: f.set.Targets[14].Name, Healthy: true, LoadPermille: 1000})
	const flows, targets = 1400, 14
	assert.Equal(t, f.countBroken(f.establish(2*flows), 2), 0)
	for service := range f.set.Services {
		for name, n := range f.connectionsPerTarget(service) {
			mean := float64(flows) / targets
			assert.Assert(t, float64(n) >= 0.4*mean, "%s has %d", name, n)
			assert.Assert(t, float64(n) <= 1.25*flows/(targets-0.5), "%s has %d", name, n)
		}
	}
}
