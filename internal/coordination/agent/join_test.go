package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// joinTimes runs a cluster for d and returns how long each balancer took to join.
func (c *cluster) joinTimes(d time.Duration) map[string]time.Duration {
	start, times := c.now, map[string]time.Duration{}
	for c.now.Sub(start) < d {
		c.run(10 * time.Millisecond)
		for _, n := range c.nodes {
			if _, known := times[n.vm]; !known && !n.dead && n.join.joined {
				times[n.vm] = c.now.Sub(start)
			}
		}
	}
	return times
}

// Guards against balancers that accept packets before they know the other members.
// While a fleet was starting, a balancer without known members selected wrong targets
// for flows that other balancers had opened, and uploads failed.
func TestStartingBalancersKnowAllMembersWhenJoined(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 7, seed)
		for c.now.Before(time.Unix(1_700_000_000, 0).Add(5 * time.Second)) {
			c.run(10 * time.Millisecond)
			for _, n := range c.nodes {
				assert.Assert(t, !n.join.joined || len(n.view) == len(c.nodes), "seed %d: %s joined with a view of %d members", seed, n.vm, len(n.view))
			}
		}
		for _, n := range c.nodes {
			assert.Assert(t, n.join.joined, "seed %d: %s did not join", seed, n.vm)
		}
	}
}

// Guards against a balancer that never accepts packets because no other balancer
// answers, as in a place that is partitioned from the others.
func TestUnansweredBalancerJoinsAfterTimeout(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.nodes[0].dead, c.nodes[1].dead = true, true
	times := c.joinTimes(joinTimeout + time.Second)
	assert.Equal(t, len(times), 1)
	assert.Assert(t, times["vm-002"] >= joinTimeout)
}

// Guards against a balancer that waits for other balancers although neither seeds
// nor the VM list name any.
func TestSingleBalancerJoinsAtOnce(t *testing.T) {
	j := joinState{startedAt: time.Unix(0, 0)}
	assert.Assert(t, !j.update(j.startedAt, 1, false), "joined before the VM list was read")
	c := newCluster(t, 1, 1)
	c.noSeeds = true
	c.boot(c.nodes[0])
	c.nodes[0].HandleVMs(c.now, []platform.VM{{Name: "vm-000"}}, nil)
	assert.Assert(t, c.joinTimes(time.Second)["vm-000"] <= 100*time.Millisecond)
}
