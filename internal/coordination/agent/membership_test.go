package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

const (
	// detectionBound is the goal for a dead balancer.
	detectionBound = 3 * time.Second
	// mergeBound is two exchanges, or five probes of dead members and seeds.
	mergeBound = 20 * time.Second
)

// Guards against a dead balancer that stays in some view for longer than 3 s,
// also when two die at once, packets are lost and clocks differ.
func TestDeadBalancersAreFoundWithin3s(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newSkewedCluster(t, 7, seed, 10*time.Second)
			c.settle()
			c.loss = 0.05 * float64(seed%2)
			c.run(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
			for i := range 1 + seed/2%2 {
				c.nodes[(seed+3*i)%7].dead = true
			}
			took := c.until(2*detectionBound, c.agree)
			assert.Assert(t, took <= detectionBound, "took %s", took)
		})
	}
}

// Guards against deaths declared because of lost packets.
func TestNoFalseDeathUnderLoss(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 7, seed)
			c.settle()
			c.loss = 0.05
			c.run(10 * time.Minute)
			assert.Equal(t, c.deaths(), uint64(0))
			assert.Assert(t, c.agree())
		})
	}
}

func (c *cluster) deaths() (sum uint64) {
	for _, n := range c.nodes {
		sum += n.members.Counts().Deaths
	}
	return sum
}

// Guards against partitions that never merge, and against views that drop live
// members again when the other side's deaths arrive.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 7, seed)
			c.settle()
			c.cut = func(a, b *node) bool { return (a.place == "pl-c") != (b.place == "pl-c") }
			c.run(time.Minute)
			assert.Equal(t, len(c.nodes[0].view), 5)
			assert.Equal(t, len(c.nodes[2].view), 2)
			c.cut = func(a, b *node) bool { return false }
			deaths := c.deaths()
			assert.Assert(t, c.until(mergeBound, c.agree) <= mergeBound)
			c.run(30 * time.Second)
			assert.Assert(t, c.agree())
			assert.Equal(t, c.deaths(), deaths)
		})
	}
}

// Guards against a frozen balancer that accuses the others when it wakes, and
// against one that never returns to the views.
func TestFrozenBalancerRefutesAndAccusesNobody(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 7, seed)
			c.settle()
			frozen := c.nodes[seed%7]
			frozen.frozen = true
			c.run(10 * time.Second)
			assert.Assert(t, c.agree())
			c.thaw(frozen)
			assert.Assert(t, c.until(detectionBound, c.agree) <= detectionBound)
			c.run(10 * time.Second)
			assert.Equal(t, frozen.members.Counts().Deaths, uint64(0))
			assert.Equal(t, frozen.members.Counts().Suspicions, uint64(0))
			assert.Equal(t, frozen.members.Counts().Freezes, uint64(1))
		})
	}
}

// Guards against a planned leave that is taken for a death, or that is not
// known everywhere before the process ends.
func TestPlannedLeaveIsNoDeath(t *testing.T) {
	c := newCluster(t, 7, 1)
	c.settle()
	c.loss = 0.05
	leaver := c.nodes[3]
	leaver.Leave()
	c.run(3 * time.Second)
	for _, n := range c.nodes {
		for _, m := range n.members.View().Members {
			assert.Equal(t, m.Leaving, m.VM == leaver.vm, "%s at %s", m.VM, n.vm)
		}
	}
	c.send(leaver, leaver.Left(c.now))
	leaver.dead = true
	assert.Assert(t, c.until(detectionBound, c.agree) <= detectionBound)
	c.run(10 * time.Second)
	assert.Equal(t, c.deaths(), uint64(0))
}

// Guards against a new process on a VM that is kept out because the old one died.
func TestRestartedBalancerReturns(t *testing.T) {
	c := newCluster(t, 7, 2)
	c.settle()
	for _, n := range c.nodes[:3] {
		n.dead = true
	}
	c.run(5 * time.Second)
	assert.Assert(t, c.agree())
	for _, n := range c.nodes[:3] {
		c.boot(n)
	}
	assert.Assert(t, c.until(mergeBound, c.agree) <= mergeBound)
}

// Guards against a lagging VM list that revives a dead member.
func TestLaggingListRevivesNobody(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.platform.vms = c.vmList
	c.settle()
	c.nodes[4].dead = true
	c.run(5 * time.Second)
	views := c.nodes[0].views
	c.run(2 * time.Minute)
	assert.Assert(t, c.agree())
	assert.Equal(t, c.nodes[0].views, views)
}

// Guards against a VM that the platform took away and that stays a member, and
// against one that is kept out after the list has it again.
func TestListDecidesIdentity(t *testing.T) {
	c := newCluster(t, 7, 4)
	hidden := ""
	c.platform.vms = func() []platform.VM {
		var list []platform.VM
		for _, vm := range c.vmList() {
			if vm.Name != hidden {
				list = append(list, vm)
			}
		}
		return list
	}
	c.settle()
	gone := c.nodes[5]
	hidden = gone.vm
	c.run(20 * time.Second)
	assert.Assert(t, c.nodes[0].view[gone.vm], "forgotten before the staleness bound")
	c.run(25 * time.Second)
	for _, n := range c.nodes[:5] {
		assert.Assert(t, !n.view[gone.vm], "still in the view of %s", n.vm)
	}
	assert.Assert(t, gone.members.Removed())
	hidden = ""
	assert.Assert(t, c.until(mergeBound, c.agree) <= mergeBound)
}

// Guards against a VM that has no seed and of which the VM list alone tells.
func TestListedVMIsFound(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.platform.vms = c.vmList
	c.settle()
	c.noSeeds = true
	c.add("vm-lone", "pl-a")
	assert.Assert(t, c.until(mergeBound, c.agree) <= mergeBound)
}

// Guards against acks that are accepted from a member that was not asked.
func TestForeignAckProvesNothing(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.settle()
	victim, liar := c.nodes[1], c.nodes[2]
	c.drop = func(to *node, p *wire.Probe) bool {
		if p.Source == victim.vm && p.Kind == wire.ProbeKind_PROBE_KIND_ACK {
			forged := &wire.Probe{Kind: p.Kind, Sequence: p.Sequence, Source: liar.vm}
			to.HandleProbe(c.clock(to), liar.addr, forged)
		}
		return to == victim || p.Source == victim.vm
	}
	c.run(5 * time.Second)
	assert.Assert(t, !c.nodes[0].view[victim.vm])
}
