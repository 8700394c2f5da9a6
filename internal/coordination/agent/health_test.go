package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// maxDrainTime is the time after which no balancer sends new flows to a draining target.
const maxDrainTime = 3 * time.Second

var healthyResult = health.Result{OK: true, Healthy: true, Slots: 2}

func healthCluster(t testing.TB, size, targets int, seed uint64) *cluster {
	c := newCluster(t, size, seed)
	for _, target := range fleetSet(targets).Targets {
		c.targets[target.Name] = healthyResult
	}
	c.platform.publish(fleetSet(targets))
	c.runUntilSettled()
	return c
}

// allReports reports whether a condition holds for a target's report at every running balancer.
func (c *cluster) allReports(target string, condition func(coordination.TargetReport) bool) bool {
	for _, n := range c.runningNodes() {
		if !condition(n.reports[target]) {
			return false
		}
	}
	return true
}

func draining(r coordination.TargetReport) bool { return r.Draining }
func healthy(r coordination.TargetReport) bool  { return r.Healthy }
func unhealthy(r coordination.TargetReport) bool {
	return r.Target != "" && !r.Healthy
}

// Guards against a drain signal that takes more than 3 s to reach all balancers.
// One of the balancers receives no pushes.
func TestDrainReachesAllBalancersWithin3s(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := healthCluster(t, 7, 18, seed)
			withoutPushes := c.nodes[seed%7]
			c.lossRate = 0.05 * float64(seed%2)
			c.dropProbe = func(to *node, p *wire.Probe) bool {
				return to == withoutPushes && p.Kind == wire.ProbeKind_PROBE_KIND_PUSH
			}
			c.run(time.Duration(c.rng.IntN(4000)) * time.Millisecond)
			target := fmt.Sprintf("quote-%04d", seed%18)
			c.targets[target] = health.Result{OK: true, Healthy: true, Draining: true, Slots: 2}
			took := c.runUntil(2*maxDrainTime, func() bool { return c.allReports(target, draining) })
			assert.Assert(t, took <= maxDrainTime, "took %s", took)
		})
	}
}

// Guards against a drain that ends because health checks of the target fail. Only
// an answer without the drain signal ends it.
func TestFailedChecksKeepDrain(t *testing.T) {
	c := healthCluster(t, 7, 18, 1)
	c.targets["quote-0000"] = health.Result{OK: true, Healthy: true, Draining: true}
	c.run(5 * time.Second)
	c.targets["quote-0000"] = health.Result{}
	c.run(10 * time.Second)
	assert.Assert(t, c.allReports("quote-0000", draining))
	c.targets["quote-0000"] = healthyResult
	c.run(10 * time.Second)
	assert.Assert(t, c.allReports("quote-0000", func(r coordination.TargetReport) bool { return !r.Draining && r.Healthy }))
}

// Guards against a target that all balancers mark unhealthy because one of its
// probers cannot reach it, and against a dead target that stays healthy.
func TestOneProberCannotMarkTargetUnhealthy(t *testing.T) {
	c := healthCluster(t, 7, 18, 2)
	name := "quote-0000"
	isolated := c.byName[c.nodes[0].health.Probers(name)[0]]
	c.checkLost = func(n *node, target string) bool { return n == isolated && target == name }
	c.run(20 * time.Second)
	assert.Assert(t, c.allReports(name, healthy))
	c.checkLost = nil
	c.targets[name] = health.Result{}
	c.run(15 * time.Second)
	assert.Assert(t, c.allReports(name, unhealthy))
}

// Guards against a drain signal that stays in effect after the probers that reported
// it died.
func TestReportsOfDeadProbersExpire(t *testing.T) {
	c := healthCluster(t, 7, 18, 3)
	name := "quote-0000"
	probers := c.nodes[0].health.Probers(name)
	c.targets[name] = health.Result{OK: true, Healthy: true, Draining: true}
	c.run(5 * time.Second)
	assert.Assert(t, c.allReports(name, draining))
	for _, vm := range probers {
		c.byName[vm].dead = true
	}
	c.targets[name] = healthyResult
	c.run(20 * time.Second)
	assert.Assert(t, c.allReports(name, func(r coordination.TargetReport) bool { return r.Healthy && !r.Draining }))
}

// Guards against a single failed check that marks a target unhealthy, and against a
// load that is used beyond its maximum age. The test runs one monitor at fixed times.
func TestUnhealthyThresholdAndLoadMaxAge(t *testing.T) {
	now := time.Unix(1000, 0)
	m := health.New(health.Config{VM: "vm", Place: "pl-a"})
	m.SetView(now, coordination.View{Members: []coordination.Member{{VM: "vm", Place: "pl-a"}}})
	m.SetTargets(now, []objects.Target{{Name: "x", Place: "pl-a", Health: "10.0.0.1:80"}})
	reportAfter := func(r health.Result) coordination.TargetReport {
		now = now.Add(2 * time.Second)
		m.Tick(now)
		m.HandleResult(now, "x", r)
		return m.Reports(now)[0]
	}
	busy := health.Result{OK: true, Healthy: true, BusySlots: 2, Slots: 2}
	assert.Equal(t, reportAfter(busy).LoadPermille, uint32(1000))
	assert.Assert(t, reportAfter(health.Result{}).Healthy)
	assert.Assert(t, reportAfter(health.Result{}).Healthy)
	assert.Assert(t, !reportAfter(health.Result{}).Healthy)
	assert.Assert(t, !reportAfter(busy).Healthy)
	assert.Assert(t, reportAfter(busy).Healthy)
	now = now.Add(2 * time.Minute)
	m.Tick(now)
	assert.Equal(t, m.Reports(now)[0].LoadPermille, uint32(0))
}
