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
	maxDetectionTime = 3 * time.Second
	// mergeBound is two exchanges, or five probes of dead members and seeds.
	maxMergeTime = 20 * time.Second
)

// Guards against a dead balancer that stays in some view for longer than 3 s,
// also when two die at once, packets are lost and clocks differ.
func TestDeadBalancersAreDetectedWithin3s(t *testing.T) {
	for seed := range uint64(400) {
		c := newSkewedCluster(t, 7, seed, 10*time.Second)
		c.runUntilSettled()
		c.lossRate = 0.05 * float64(seed%2)
		c.run(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
		for i := range 1 + seed/2%2 {
			c.nodes[(seed+3*i)%7].dead = true
		}
		took := c.runUntil(2*maxDetectionTime, c.viewsAgree)
		assert.Assert(t, took <= maxDetectionTime, "seed %d: took %s", seed, took)
	}
}

// Guards against deaths declared because of lost packets.
func TestNoFalseDeathUnderPacketLoss(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 7, seed)
			c.runUntilSettled()
			c.lossRate = 0.05
			c.run(10 * time.Minute)
			assert.Equal(t, c.deaths(), uint64(0))
			assert.Assert(t, c.viewsAgree())
		})
	}
}

// Guards against suspicions because of one broken link, which members that
// reach both sides can dispel.
func TestOneBrokenLinkCausesNoSuspicion(t *testing.T) {
	c := newCluster(t, 7, 1)
	c.runUntilSettled()
	a, b := c.nodes[1], c.nodes[4]
	c.linkDown = func(x, y *node) bool { return x == a && y == b || x == b && y == a }
	c.run(time.Minute)
	for _, n := range c.nodes {
		assert.Equal(t, n.detector.Counts().Suspicions, uint64(0), "%s", n.vm)
	}
}

func (c *cluster) deaths() (sum uint64) {
	for _, n := range c.nodes {
		sum += n.detector.Counts().Deaths
	}
	return sum
}

// Guards against partitions that never merge, and against views that drop live
// members again when the other side's deaths arrive.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 7, seed)
			c.runUntilSettled()
			c.linkDown = func(a, b *node) bool { return (a.place == "pl-c") != (b.place == "pl-c") }
			c.run(time.Minute)
			assert.Equal(t, len(c.nodes[0].view), 5)
			assert.Equal(t, len(c.nodes[2].view), 2)
			c.linkDown = func(a, b *node) bool { return false }
			deaths := c.deaths()
			assert.Assert(t, c.runUntil(maxMergeTime, c.viewsAgree) <= maxMergeTime)
			c.run(30 * time.Second)
			assert.Assert(t, c.viewsAgree())
			assert.Equal(t, c.deaths(), deaths)
		})
	}
}

// Guards against a frozen balancer that accuses the others when it wakes, and
// against one that never returns to the views.
func TestFrozenBalancerRejoinsWithoutSuspectingOthers(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 7, seed)
			c.runUntilSettled()
			frozen := c.nodes[seed%7]
			frozen.frozen = true
			c.run(10 * time.Second)
			assert.Assert(t, c.viewsAgree())
			c.unfreeze(frozen)
			assert.Assert(t, c.runUntil(maxDetectionTime, c.viewsAgree) <= maxDetectionTime)
			c.run(10 * time.Second)
			assert.Equal(t, frozen.detector.Counts().Deaths, uint64(0))
			assert.Equal(t, frozen.detector.Counts().Suspicions, uint64(0))
			assert.Equal(t, frozen.detector.Counts().Freezes, uint64(1))
		})
	}
}

// Guards against a planned leave that is taken for a death, or that is not
// known everywhere before the process ends.
func TestPlannedLeaveIsNotCountedAsDeath(t *testing.T) {
	c := newCluster(t, 7, 1)
	c.runUntilSettled()
	c.lossRate = 0.05
	leaver := c.nodes[3]
	leaver.AnnounceLeaving()
	c.run(3 * time.Second)
	for _, n := range c.nodes {
		for _, m := range n.detector.View().Members {
			assert.Equal(t, m.Leaving, m.VM == leaver.vm, "%s at %s", m.VM, n.vm)
		}
	}
	c.send(leaver, leaver.AnnounceLeft(c.now))
	leaver.dead = true
	assert.Assert(t, c.runUntil(maxDetectionTime, c.viewsAgree) <= maxDetectionTime)
	c.run(10 * time.Second)
	assert.Equal(t, c.deaths(), uint64(0))
}

// Guards against a new process on a VM that is kept out because the old one
// died or left.
func TestRestartedBalancerRejoins(t *testing.T) {
	c := newCluster(t, 7, 2)
	c.runUntilSettled()
	c.nodes[0].AnnounceLeaving()
	c.run(time.Second)
	c.send(c.nodes[0], c.nodes[0].AnnounceLeft(c.now))
	for _, n := range c.nodes[:3] {
		n.dead = true
	}
	c.run(5 * time.Second)
	assert.Assert(t, c.viewsAgree())
	for _, n := range c.nodes[:3] {
		c.boot(n)
	}
	assert.Assert(t, c.runUntil(maxMergeTime, c.viewsAgree) <= maxMergeTime)
}

// Guards against a lagging VM list that revives a dead member.
func TestStaleVMListRevivesNoDeadMember(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.platform.vms = c.vmList
	c.runUntilSettled()
	c.nodes[4].dead = true
	c.run(5 * time.Second)
	views := c.nodes[0].viewChanges
	c.run(2 * time.Minute)
	assert.Assert(t, c.viewsAgree())
	assert.Equal(t, c.nodes[0].viewChanges, views)
}

// Guards against a VM that the platform took away and that stays a member, and
// against one that is kept out after the list has it again.
func TestMembershipFollowsVMList(t *testing.T) {
	c := newCluster(t, 7, 4)
	unlisted := ""
	c.platform.vms = func() []platform.VM {
		var list []platform.VM
		for _, vm := range c.vmList() {
			if vm.Name != unlisted {
				list = append(list, vm)
			}
		}
		return list
	}
	c.runUntilSettled()
	unlistedNode := c.nodes[5]
	unlisted = unlistedNode.vm
	c.run(20 * time.Second)
	assert.Assert(t, c.nodes[0].view[unlistedNode.vm], "forgotten before the staleness bound")
	c.run(25 * time.Second)
	for _, n := range c.nodes[:5] {
		assert.Assert(t, !n.view[unlistedNode.vm], "still in the view of %s", n.vm)
	}
	assert.Assert(t, unlistedNode.detector.Removed())
	unlisted = ""
	assert.Assert(t, c.runUntil(maxMergeTime, c.viewsAgree) <= maxMergeTime)
}

// Guards against a VM that has no seed and of which the VM list alone tells.
func TestVMWithoutSeedsJoinsThroughVMList(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.platform.vms = c.vmList
	c.runUntilSettled()
	c.noSeeds = true
	c.addNode("vm-lone", "pl-a")
	assert.Assert(t, c.runUntil(maxMergeTime, c.viewsAgree) <= maxMergeTime)
}

// Guards against acks that are accepted from a member that was not asked.
func TestAckOfUnprobedMemberIsIgnored(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.runUntilSettled()
	unresponsive := c.nodes[1]
	c.dropProbe = func(to *node, p *wire.Probe) bool {
		if prober := c.byName[p.Source]; to == unresponsive && p.Kind == wire.ProbeKind_PROBE_KIND_PING {
			otherMember := c.nodes[0]
			if prober == otherMember {
				otherMember = c.nodes[2]
			}
			forged := &wire.Probe{Kind: wire.ProbeKind_PROBE_KIND_ACK, Sequence: p.Sequence, Source: otherMember.vm}
			prober.HandleProbe(c.clock(prober), otherMember.addr, forged)
		}
		return to == unresponsive || p.Source == unresponsive.vm
	}
	c.run(5 * time.Second)
	assert.Assert(t, !c.nodes[0].view[unresponsive.vm])
}
