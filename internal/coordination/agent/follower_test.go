package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/follower"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// maxPropagationTime is the time within which a published configuration must be in force at all balancers.
const maxPropagationTime = 5 * time.Second

// allInForce reports whether the platform's head is in force at all running balancers.
func (c *cluster) allInForce() bool {
	for _, n := range c.runningNodes() {
		if n.follower.InForce() != c.platform.head {
			return false
		}
	}
	return true
}

// assertNoReverts fails if a balancer adopted a generation that was not higher than the one before.
func (c *cluster) assertNoReverts() {
	c.t.Helper()
	for _, n := range c.nodes {
		for i := 1; i < len(n.adopted); i++ {
			assert.Assert(c.t, n.adopted[i] > n.adopted[i-1], "%s adopted %v", n.vm, n.adopted)
		}
	}
}

// publishNextGeneration publishes a configuration with one changed target.
func (c *cluster) publishNextGeneration() {
	set := fleetSet(18)
	set.Targets[0].Weight = uint32(100 + c.platform.head.Generation)
	c.platform.publish(set)
}

func startedCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, 7, seed)
	c.platform.publish(fleetSet(18))
	c.runUntilSettled()
	assert.Assert(t, c.allInForce())
	return c
}

// Guards against a configuration that takes more than 5 s to come into force at all
// balancers, with packet loss, a slow platform, and places that cannot reach it.
func TestConfigurationPropagatesWithin5s(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := startedCluster(t, seed)
			c.lossRate = 0.05
			c.platform.delay = time.Duration(seed%3) * 500 * time.Millisecond
			if seed%2 == 0 {
				c.platform.isDown = func(n *node) bool { return n.place != "pl-b" }
			}
			for range 5 {
				c.run(time.Duration(c.rng.IntN(20000)) * time.Millisecond)
				c.publishNextGeneration()
				took := c.runUntil(maxPropagationTime, c.allInForce)
				assert.Assert(t, took <= maxPropagationTime, "took %s", took)
			}
			c.assertNoReverts()
		})
	}
}

// Guards against an older head, returned by the platform's reads, that replaces
// the one in force, and against readers that raise no alarm for it.
func TestOlderHeadIsNotAdopted(t *testing.T) {
	c := startedCluster(t, 1)
	old := c.platform.head
	c.publishNextGeneration()
	c.run(maxPropagationTime)
	c.platform.staleHead = &old
	c.run(30 * time.Second)
	assert.Assert(t, c.allInForce())
	for _, n := range c.nodes {
		assert.Equal(t, hasAlarm(n, follower.AlarmLowerHead), n.follower.IsReader(), "%s", n.vm)
	}
	c.platform.staleHead = nil
	c.run(30 * time.Second)
	c.assertNoReverts()
	assert.Assert(t, !hasAlarm(c.nodes[0], follower.AlarmLowerHead))
}

func hasAlarm(n *node, alarm Alarm) bool {
	for _, a := range n.Alarms() {
		if a == alarm {
			return true
		}
	}
	return false
}

// Guards against a configuration that is replaced by another one with the same
// generation and a different digest.
func TestConflictingDigestIsNotAdopted(t *testing.T) {
	c := startedCluster(t, 2)
	before := c.platform.head
	c.platform.head.Generation--
	c.platform.publish(fleetSet(17))
	c.run(30 * time.Second)
	for _, n := range c.nodes {
		assert.Equal(t, n.follower.InForce(), before)
		assert.Equal(t, hasAlarm(n, follower.AlarmDigestConflict), n.follower.IsReader(), "%s", n.vm)
	}
}

// Guards against a place that keeps an old configuration after a partition from the
// other places and the platform has healed, and against one that drops its
// configuration during the partition.
func TestPartitionedPlaceCatchesUp(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := startedCluster(t, seed)
			isolated := func(n *node) bool { return n.place == "pl-c" }
			c.linkDown = func(a, b *node) bool { return isolated(a) != isolated(b) }
			c.platform.isDown = isolated
			old := c.platform.head
			c.publishNextGeneration()
			c.publishNextGeneration()
			c.run(time.Minute)
			assert.Equal(t, c.nodes[0].follower.InForce(), c.platform.head)
			assert.Equal(t, c.nodes[2].follower.InForce(), old)
			assert.Assert(t, hasAlarm(c.nodes[2], follower.AlarmPlatformUnreachable))
			c.linkDown = func(a, b *node) bool { return false }
			c.platform.isDown = nil
			took := c.runUntil(maxMergeTime, c.allInForce)
			assert.Assert(t, took <= maxMergeTime, "took %s", took)
			c.assertNoReverts()
		})
	}
}

// Guards against a balancer that gets no configuration when it starts during an
// outage of the platform, and against readers that do not back off meanwhile.
func TestStartDuringPlatformOutage(t *testing.T) {
	c := startedCluster(t, 3)
	c.platform.isDown = func(*node) bool { return true }
	c.run(10 * time.Second)
	c.nodes[6].dead = true
	c.run(10 * time.Second)
	c.boot(c.nodes[6])
	assert.Assert(t, c.runUntil(maxPropagationTime, c.allInForce) <= maxPropagationTime)
	c.run(time.Minute)
	calls := c.platform.calls
	c.run(time.Minute)
	// A reader backs off to one call in 5 to 10 s; 3 places have 6 readers.
	assert.Assert(t, c.platform.calls-calls <= 6*60/5, "%d calls in a minute", c.platform.calls-calls)
}

// Guards against a reader that was frozen during a read or a load, resumes with
// the old head or snapshot, and reverts its own configuration or that of the fleet.
func TestStaleResultsOfFrozenReaderAreIgnored(t *testing.T) {
	c := startedCluster(t, 4)
	var reader *node
	for _, n := range c.nodes {
		if n.follower.IsReader() {
			reader = n
		}
	}
	staleRead := follower.Result{Command: follower.Command{Kind: follower.ReadHead}, Head: c.platform.head, ChunkCount: 1, Revision: c.platform.revision}
	load := follower.Command{Kind: follower.LoadSnapshot, Head: c.platform.head, ChunkCount: 1}
	staleLoad := follower.Result{Command: load, Snapshot: c.platform.snapshots[c.platform.head.Digest]}
	reader.frozen = true
	c.publishNextGeneration()
	c.publishNextGeneration()
	c.run(20 * time.Second)
	c.unfreeze(reader)
	reader.HandleCommandResult(c.now, staleRead)
	assert.Assert(t, c.runUntil(maxPropagationTime, c.allInForce) <= maxPropagationTime)
	reader.HandleCommandResult(c.now, staleRead)
	reader.HandleCommandResult(c.now, staleLoad)
	c.run(10 * time.Second)
	assert.Assert(t, c.allInForce())
	c.assertNoReverts()
}

// Guards against a corrupted snapshot that comes into force, and against an intact
// copy that is not loaded afterwards.
func TestCorruptedSnapshotIsRefused(t *testing.T) {
	c := startedCluster(t, 5)
	before := c.platform.head
	c.publishNextGeneration()
	intact := c.platform.snapshots[c.platform.head.Digest]
	c.platform.snapshots[c.platform.head.Digest] = intact[:len(intact)/2]
	c.run(20 * time.Second)
	alarms := 0
	for _, n := range c.nodes {
		assert.Equal(t, n.follower.InForce(), before)
		if hasAlarm(n, follower.AlarmSnapshotRefused) {
			alarms++
		}
	}
	assert.Assert(t, alarms > 0)
	c.platform.snapshots[c.platform.head.Digest] = intact
	assert.Assert(t, c.runUntil(maxPropagationTime, c.allInForce) <= maxPropagationTime)
	assert.Assert(t, !hasAlarm(c.nodes[0], follower.AlarmSnapshotRefused))
}

// Guards against a snapshot that matches its digest but fails validation, and that
// comes into force or is loaded repeatedly.
func TestInvalidSnapshotIsLoadedOnce(t *testing.T) {
	invalid := fleetSet(18)
	invalid.Targets[3].Weight = 13
	f := follower.New(follower.Config{VM: "vm", Place: "pl-a", Validate: func(s objects.Set) error {
		if s.Targets[3].Weight == 13 {
			return errors.New("unlucky")
		}
		return nil
	}})
	now := time.Unix(1000, 0)
	offerSnapshot := func(generation uint64, set objects.Set) bool {
		raw := objects.Canonical(set)
		head := follower.Head{Generation: generation, Digest: objects.Digest(raw)}
		f.Tick(now)
		f.HandleVMs(now, 0, nil)
		f.HandleResult(now, follower.Result{Command: follower.Command{Kind: follower.ReadHead}, Head: head, ChunkCount: 1})
		for _, cmd := range f.Tick(now) {
			if cmd.Kind == follower.LoadSnapshot {
				f.HandleResult(now, follower.Result{Command: cmd, Snapshot: raw})
				now = now.Add(5 * time.Second)
				return true
			}
		}
		return false
	}
	assert.Assert(t, offerSnapshot(1, fleetSet(18)))
	assert.Assert(t, offerSnapshot(2, invalid))
	assert.Assert(t, !offerSnapshot(2, invalid), "the refused snapshot was loaded again")
	assert.Equal(t, f.InForce().Generation, uint64(1))
	assert.Assert(t, offerSnapshot(3, fleetSet(17)))
	assert.Equal(t, f.InForce().Generation, uint64(3))
}

// Guards against fetches that transfer the whole snapshot for one changed target,
// and against the adoption of a delta without its base.
func TestFetchUsesVerifiedDeltas(t *testing.T) {
	c := startedCluster(t, 6)
	base := c.platform.head.Wire().Digest
	c.publishNextGeneration()
	c.run(maxPropagationTime)
	n := c.nodes[0]
	response := n.follower.ServeSnapshot(base)
	full := n.follower.ServeSnapshot(nil)
	assert.Equal(t, len(response.Snapshot), 0)
	assert.Assert(t, len(response.Delta)*4 < len(full.Snapshot), "%d of %d bytes", len(response.Delta), len(full.Snapshot))

	behind := follower.New(follower.Config{VM: "vm-x", Place: "pl-x"})
	now := c.now
	behind.HandlePeerHead(now, "vm-000", n.follower.InForce())
	cmd := behind.Tick(now)[0]
	assert.Equal(t, cmd.Kind, follower.FetchFromPeer)
	_, ok := behind.HandleResult(now, follower.Result{Command: cmd, Head: n.follower.InForce(), Delta: response.Delta})
	assert.Assert(t, !ok, "adopted a delta without its base")
	cmd = behind.Tick(now)[0]
	assert.Equal(t, cmd.BaseDigest, "")
	_, ok = behind.HandleResult(now, follower.Result{Command: cmd, Head: n.follower.InForce(), Snapshot: full.Snapshot})
	assert.Assert(t, ok)
}

// Guards against a rate of platform calls that grows with the fleet size.
func TestPlatformCallsDoNotGrowWithFleet(t *testing.T) {
	rate := map[int]float64{}
	for _, size := range []int{7, 70, 140} {
		c := newCluster(t, size, 7)
		c.platform.vms = c.vmList
		c.platform.publish(fleetSet(18))
		c.runUntilSettled()
		calls := c.platform.calls
		c.run(time.Minute)
		rate[size] = float64(c.platform.calls-calls) / 60
		t.Logf("%d balancers: %.2f platform calls per second", size, rate[size])
	}
	assert.Assert(t, rate[140] <= 1.5*rate[7])
}

// Guards against malformed messages that crash the control plane.
func FuzzExchange(f *testing.F) {
	f.Add("vm-001", []byte{1, 2, 3}, uint64(3), "10.0.0.1:1")
	f.Fuzz(func(t *testing.T, vm string, raw []byte, number uint64, addr string) {
		c := newCluster(t, 2, 1)
		c.run(time.Second)
		n := c.nodes[0]
		members := []*wire.Member{nil, {Vm: vm, Control: addr, Data: addr, Incarnation: number, State: wire.MemberState(number % 7)}}
		head := &wire.Head{Generation: number, Digest: raw}
		n.HandleExchange(c.now, &wire.ExchangeRequest{Members: members, Head: head, Source: vm, MemberBuckets: raw, HealthBuckets: raw})
		n.HandleExchangeResponse(c.now, &wire.ExchangeResponse{Members: members, Head: head, Source: vm, MemberBuckets: raw, HealthBuckets: raw})
		n.HandleVMs(c.now, []platform.VM{{Name: vm}}, nil)
		n.HandleCommandResult(c.now, follower.Result{Command: follower.Command{Kind: follower.FetchFromPeer}, Head: follower.HeadFromWire(head), Snapshot: raw, Delta: raw})
		c.run(3 * time.Second)
	})
}
