package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

const (
	// targetsPerNode is the ratio of 5,000 targets to 800 balancers.
	targetsPerNode = 6.25
	// measureSeconds is the fake time over which each rate is measured.
	measureSeconds = 60
)

// measurement holds the clocks and counters of a cluster at the start of a measurement.
type measurement struct {
	c          *cluster
	wallStart  time.Time // wall clock
	fakeStart  time.Time // fake clock
	startBytes int
	startCalls int
}

func (c *cluster) totalBytes() (sum int) {
	for _, n := range c.nodes {
		sum += n.bytesSent + n.bytesReceived
	}
	return sum
}

func (c *cluster) startMeasurement() measurement {
	return measurement{c, time.Now(), c.now, c.totalBytes(), c.platform.calls}
}

// report reports the cost per balancer and second of fake time since the start. The
// CPU time includes the emulated network, so it is an upper bound.
func (m measurement) report(b *testing.B, name string) {
	seconds := m.c.now.Sub(m.fakeStart).Seconds()
	perNode := seconds * float64(len(m.c.nodes))
	b.ReportMetric(float64(m.c.totalBytes()-m.startBytes)/perNode, name+"-B/s")
	b.ReportMetric(float64(time.Since(m.wallStart).Microseconds())/perNode, name+"-us/s")
	b.ReportMetric(float64(m.c.platform.calls-m.startCalls)/seconds, name+"-calls/s")
}

// scheduleLoadChanges schedules changes of the targets' busy slots during the given
// length, on average one per target and period.
func (c *cluster) scheduleLoadChanges(targets int, period, length time.Duration) {
	changes := int(length / period * time.Duration(targets))
	for range changes {
		name := fmt.Sprintf("quote-%04d", c.rng.IntN(targets))
		busy := c.rng.IntN(3)
		c.after(time.Duration(c.rng.Int64N(int64(length))), func() {
			c.targets[name] = health.Result{OK: true, Healthy: true, BusySlots: busy, Slots: 2}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSlopeFleet measures bytes, CPU time, memory and the propagation time of
// a configuration by the size of the fleet, with 6.25 targets per balancer: idle,
// with loads that change every 10 s, and while configurations are published.
func BenchmarkSlopeFleet(b *testing.B) {
	for _, size := range []int{8, 50, 100, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	targets := int(targetsPerNode * float64(size))
	before := heapBytes()
	c := healthCluster(b, size, targets, 1)
	c.platform.vms = c.vmList
	c.run(30 * time.Second)
	idle := c.startMeasurement()
	c.run(measureSeconds * time.Second)
	idle.report(b, "idle")
	b.ReportMetric(float64(heapBytes()-before)/float64(size), "heap-B/node")
	const period = 10 * time.Second
	c.scheduleLoadChanges(targets, period, measureSeconds*time.Second)
	busy := c.startMeasurement()
	c.run(measureSeconds * time.Second)
	busy.report(b, "busy")
	slowest := time.Duration(0)
	for i := range 3 {
		c.publishChange(fleetSet(targets), i)
		slowest = max(slowest, c.runUntil(time.Minute, c.allInForce))
	}
	b.ReportMetric(slowest.Seconds(), "spread-s")
}

// publishChange publishes the set with a changed weight of target i.
func (c *cluster) publishChange(set objects.Set, i int) {
	set.Targets[i].Weight = uint32(200 + i)
	c.platform.publish(set)
}

// setWithoutHealthChecks returns a configuration without health endpoints, so that the
// traffic of health reports does not hide the cost of a snapshot.
func setWithoutHealthChecks(targets int) objects.Set {
	set := fleetSet(targets)
	for i := range set.Targets {
		set.Targets[i].Health = ""
	}
	return set
}

// BenchmarkSlopeSnapshot measures, by the number of targets, the cost of one changed
// target for each of 8 balancers and the memory of a balancer. The reader's call
// to the platform is not counted.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, targets := range []int{500, 2000, 5000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			for b.Loop() {
				measureSnapshot(b, targets)
			}
		})
	}
}

func measureSnapshot(b *testing.B, targets int) {
	const size, publishes, publishInterval = 8, 5, 12 * time.Second
	before := heapBytes()
	c := newCluster(b, size, 1)
	c.platform.publish(setWithoutHealthChecks(targets))
	c.runUntilSettled()
	assert.Assert(b, c.runUntil(time.Minute, c.allInForce) <= time.Minute)
	b.ReportMetric(float64(heapBytes()-before)/size, "heap-B/node")
	c.run(30 * time.Second)
	idle := c.totalBytes()
	c.run(publishes * publishInterval)
	idle = c.totalBytes() - idle
	changes := c.startMeasurement()
	for i := range publishes {
		c.publishChange(setWithoutHealthChecks(targets), i)
		c.run(publishInterval)
		assert.Assert(b, c.allInForce())
	}
	b.ReportMetric(float64(c.totalBytes()-changes.startBytes-idle)/size/publishes, "B/publish/node")
	b.ReportMetric(float64(time.Since(changes.wallStart).Microseconds())/size/publishes, "us/publish/node")
	b.ReportMetric(float64(len(objects.Canonical(setWithoutHealthChecks(targets)))), "snapshot-B")
}
