package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against targets taken to have ended because their entries expired while the store was away.
func TestEntriesThatExpiredDuringAnOutageMayReturn(t *testing.T) {
	b := newBench(t, 4)
	b.d.StoreLost()
	b.wait(5 * time.Second)
	all := b.targets
	b.targets = nil
	b.d.StoreBack(b.now)
	b.list()
	assert.Equal(t, b.dial(0).opener().Action, ActionForward, "entries may come back")
	b.wait(time.Second)
	b.targets = all[:3]
	b.list()
	assert.Equal(t, b.d.Gauges().Targets, 4)
	b.wait(returnGrace)
	b.list()
	assert.Equal(t, b.d.Gauges().Targets, 3, "one that is still missing is gone")
}

// Guards against a pool that vanishes in one reading without an outage that this balancer saw.
func TestManyMissingAtOnceAreKeptForAWhile(t *testing.T) {
	b := newBench(t, 6)
	b.targets = b.targets[:1]
	b.list()
	assert.Equal(t, b.d.Gauges().Targets, 6)
	b.wait(returnGrace)
	b.list()
	assert.Equal(t, b.d.Gauges().Targets, 1)
}

// Guards against a single target that left being used on.
func TestOneMissingIsGoneAtOnce(t *testing.T) {
	b := newBench(t, 6)
	b.targets = b.targets[1:]
	b.list()
	assert.Equal(t, b.d.Gauges().Targets, 5)
}

// Guards against an older reading, or an older entry in a newer reading, that brings back what has changed.
func TestOlderReadingsAreIgnored(t *testing.T) {
	b := newBench(t, 3)
	old := append([]Announcement(nil), b.targets...)
	b.targets[0].Draining, b.targets[0].Revision = true, 150
	b.revision = 150
	b.list()
	b.d.Observe(b.now, Listing{Targets: old, Revision: 120})
	b.d.Observe(b.now, Listing{Targets: old, Revision: 160})
	assert.Assert(t, b.d.targets.byID[old[0].ID].Draining)
}

// Guards against evidence about an earlier process of a target that is held
// against the one that started under its ID.
func TestRestartUnderTheSameIDStartsAnew(t *testing.T) {
	b := newBench(t, 3)
	target := b.d.targets.byID[b.targets[0].ID]
	target.health.recordFailure(b.now, defaultDeadTime, minFailureThreshold)
	assert.Assert(t, target.health.suspected())
	b.targets[0].Started, b.targets[0].Revision = 99, 200
	b.list()
	assert.Assert(t, !target.health.suspected())
	assert.Equal(t, target.Token, tokenOf(target.ID))
}

// Guards against a target that is slow after its start getting its full share.
func TestColdTargetGetsFewerFlows(t *testing.T) {
	b := newBench(t, 0)
	for i := range 4 {
		a := announce(i, "web", "a")
		a.Slots = 4
		if i == 0 {
			a.ColdFor = 2 * time.Second
		}
		b.targets = append(b.targets, a)
	}
	b.list()
	for range 13 {
		b.dial(0).opener()
	}
	cold := b.d.targets.byID[b.targets[0].ID]
	assert.Assert(t, cold.running < 3, "%d", cold.running)
}
