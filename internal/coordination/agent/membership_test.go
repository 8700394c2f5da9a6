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
	// maxDetectionTime is the time within which a dead balancer must be removed from all views.
	maxDetectionTime = 3 * time.Second
	// maxMergeTime is the time within which separate views must merge: that of two state
	// exchanges, or of five probes of dead members and seeds.
	maxMergeTime = 20 * time.Second
)

// Guards against a dead balancer that stays in a view for longer than 3 s, also
// when two die at once, with packet loss and clock skew.
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

// Guards against live members that are declared dead because of packet loss.
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

// Guards against suspicions because of one broken link. Indirect probes through
// members that reach both ends must prevent them.
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

// Guards against partitions that never merge, and against live members that are
// removed again when updates of the other side, which declared them dead, arrive.
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

// Guards against a balancer that suspects the others when it resumes after a freeze,
// and against one that never returns to the views.
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

// Guards against a planned leave that is counted as a death, or that some members
// do not know of before the process ends.
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

// Guards against a new process on a VM that the others do not accept as a member
// because the earlier process died or left.
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

// Guards against a stale VM list that makes a dead member live again.
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

// Guards against a VM that stays a member although the VM list no longer has it, and
// against one that is not accepted after the list has it again.
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
	assert.Assert(t, c.nodes[0].view[unlistedNode.vm], "removed before the maximum staleness of the VM list had passed")
	c.run(25 * time.Second)
	for _, n := range c.nodes[:5] {
		assert.Assert(t, !n.view[unlistedNode.vm], "still in the view of %s", n.vm)
	}
	assert.Assert(t, unlistedNode.detector.Removed())
	unlisted = ""
	assert.Assert(t, c.runUntil(maxMergeTime, c.viewsAgree) <= maxMergeTime)
}

// Guards against a VM without seeds that the others do not find although the VM list has it.
func TestVMWithoutSeedsJoinsThroughVMList(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.platform.vms = c.vmList
	c.runUntilSettled()
	c.noSeeds = true
	c.addNode("vm-lone", "pl-a")
	assert.Assert(t, c.runUntil(maxMergeTime, c.viewsAgree) <= maxMergeTime)
}

// Guards against an ack that is accepted although its sender is not the probed member.
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
