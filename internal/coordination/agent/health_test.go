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

// drainBound is the time after which no balancer gives new work to a target that leaves.
const drainBound = 3 * time.Second

var serving = health.Result{OK: true, Healthy: true, Slots: 2}

func healthCluster(t testing.TB, size, targets int, seed uint64) *cluster {
	c := newCluster(t, size, seed)
	for _, target := range fleetSet(targets).Targets {
		c.targets[target.Name] = serving
	}
	c.platform.publish(fleetSet(targets))
	c.settle()
	return c
}

// everywhere reports whether a condition holds for the report of a target at each running balancer.
func (c *cluster) everywhere(target string, condition func(coordination.TargetReport) bool) bool {
	for _, n := range c.live() {
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

// Guards against a drain signal that some balancer does not know after 3 s,
// although one balancer receives no push.
func TestDrainReachesAllWithin3s(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := healthCluster(t, 7, 18, seed)
			deaf := c.nodes[seed%7]
			c.loss = 0.05 * float64(seed%2)
			c.drop = func(to *node, p *wire.Probe) bool {
				return to == deaf && p.Kind == wire.ProbeKind_PROBE_KIND_PUSH
			}
			c.run(time.Duration(c.rng.IntN(4000)) * time.Millisecond)
			target := fmt.Sprintf("quote-%04d", seed%18)
			c.targets[target] = health.Result{OK: true, Healthy: true, Draining: true, Slots: 2}
			took := c.until(2*drainBound, func() bool { return c.everywhere(target, draining) })
			assert.Assert(t, took <= drainBound, "took %s", took)
		})
	}
}

// Guards against a drain that is called off because one answer was lost.
func TestLostAnswerKeepsDrain(t *testing.T) {
	c := healthCluster(t, 7, 18, 1)
	c.targets["quote-0000"] = health.Result{OK: true, Healthy: true, Draining: true}
	c.run(5 * time.Second)
	c.targets["quote-0000"] = health.Result{}
	c.run(10 * time.Second)
	assert.Assert(t, c.everywhere("quote-0000", draining))
	c.targets["quote-0000"] = serving
	c.run(10 * time.Second)
	assert.Assert(t, c.everywhere("quote-0000", func(r coordination.TargetReport) bool { return !r.Draining && r.Healthy }))
}

// Guards against a target that is skipped everywhere because one of its
// probers cannot reach it, and against a dead one that stays healthy.
func TestOneProberCannotCondemnATarget(t *testing.T) {
	c := healthCluster(t, 7, 18, 2)
	name := "quote-0000"
	blind := c.byName[c.nodes[0].health.Probers(name)[0]]
	c.checkLost = func(n *node, target string) bool { return n == blind && target == name }
	c.run(20 * time.Second)
	assert.Assert(t, c.everywhere(name, healthy))
	c.checkLost = nil
	c.targets[name] = health.Result{}
	c.run(15 * time.Second)
	assert.Assert(t, c.everywhere(name, unhealthy))
}

// Guards against the drain signal of a dead prober that counts forever.
func TestReportsOfDeadProbersExpire(t *testing.T) {
	c := healthCluster(t, 7, 18, 3)
	name := "quote-0000"
	probers := c.nodes[0].health.Probers(name)
	c.targets[name] = health.Result{OK: true, Healthy: true, Draining: true}
	c.run(5 * time.Second)
	assert.Assert(t, c.everywhere(name, draining))
	for _, vm := range probers {
		c.byName[vm].dead = true
	}
	c.targets[name] = serving
	c.run(20 * time.Second)
	assert.Assert(t, c.everywhere(name, func(r coordination.TargetReport) bool { return r.Healthy && !r.Draining }))
}

// Guards against a single failed probe that marks a target, and against a load
// that counts after its bound. One prober alone is asked, at fixed times.
func TestHysteresisAndLoadBound(t *testing.T) {
	now := time.Unix(1000, 0)
	m := health.New(health.Config{VM: "vm", Place: "pl-a"})
	m.SetView(now, coordination.View{Members: []coordination.Member{{VM: "vm", Place: "pl-a"}}})
	m.SetTargets(now, []objects.Target{{Name: "x", Place: "pl-a", Health: "10.0.0.1:80"}})
	feed := func(r health.Result) coordination.TargetReport {
		now = now.Add(2 * time.Second)
		m.Tick(now)
		m.HandleResult(now, "x", r)
		return m.Reports(now)[0]
	}
	busy := health.Result{OK: true, Healthy: true, BusySlots: 2, Slots: 2}
	assert.Equal(t, feed(busy).LoadPermille, uint32(1000))
	assert.Assert(t, feed(health.Result{}).Healthy)
	assert.Assert(t, feed(health.Result{}).Healthy)
	assert.Assert(t, !feed(health.Result{}).Healthy)
	assert.Assert(t, !feed(busy).Healthy)
	assert.Assert(t, feed(busy).Healthy)
	now = now.Add(2 * time.Minute)
	m.Tick(now)
	assert.Equal(t, m.Reports(now)[0].LoadPermille, uint32(0))
}
