package experiment

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

const testFlows = 400

// plannedSchedules are the schedules in which no balancer is killed.
var plannedSchedules = []string{"none", "leave", "join", "replace", "drain", "add", "weight", "two"}

func brokenOptions(v coordination.Variant, p objects.Protocol, schedule string) BrokenOptions {
	return BrokenOptions{
		Options:  Options{Variant: v, Balancers: defaultBalancers, Seed: 1},
		Protocol: p, Preference: objects.PreferenceAffinity, Flows: testFlows, IdleFeedShare: idleFeedShare, Schedule: schedule,
	}
}

func runBroken(t *testing.T, o BrokenOptions) BrokenResult {
	t.Helper()
	r, err := Broken(o)
	assert.NilError(t, err)
	assert.Equal(t, r.Active+r.Idle, o.Flows)
	assert.Equal(t, r.WrongServicePackets, 0)
	return r
}

// Guards against results that depend on map iteration order or on the wall clock.
func TestResultsAreDeterministicForASeed(t *testing.T) {
	t.Parallel()
	o := Options{Variant: coordination.VariantFull, Balancers: defaultBalancers, Seed: 7}
	runs := map[string]func() (any, error){
		"broken": func() (any, error) {
			b := brokenOptions(coordination.VariantFull, objects.ProtocolQUIC, "mixed")
			b.Seed = o.Seed
			return Broken(b)
		},
		"slots": func() (any, error) {
			return Slots(SlotsOptions{
				Options: o, Protocol: objects.ProtocolQUIC, SlotsPerTarget: 2, SlotUtilization: 0.7, Requests: 2000, MeanRequestDuration: 100 * time.Millisecond,
			})
		},
		"imbalance": func() (any, error) {
			return Imbalance(imbalanceOptions(o, objects.ProtocolQUIC, imbalanceRows[1], testFlows, 50*time.Millisecond))
		},
	}
	for name, run := range runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, err := run()
			assert.NilError(t, err)
			second, err := run()
			assert.NilError(t, err)
			assert.DeepEqual(t, first, second)
		})
	}
}

// Guards against flows that VariantFull breaks under a planned change. VariantHash must
// break flows when a target drains, is added or gets another weight, which shows that
// the experiment detects broken flows.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	t.Parallel()
	for _, p := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, schedule := range plannedSchedules {
			t.Run(fmt.Sprintf("%s %s", p, schedule), func(t *testing.T) {
				t.Parallel()
				r := runBroken(t, brokenOptions(coordination.VariantFull, p, schedule))
				assert.Equal(t, r.BrokenActive+r.BrokenIdle, 0)
				assert.Equal(t, r.NotEstablished, 0)
			})
		}
		for _, schedule := range []string{"drain", "add", "weight"} {
			t.Run(fmt.Sprintf("%s %s hash", p, schedule), func(t *testing.T) {
				t.Parallel()
				r := runBroken(t, brokenOptions(coordination.VariantHash, p, schedule))
				assert.Assert(t, r.BrokenActive > 0 && r.BrokenIdle > 0, "%d active, %d idle", r.BrokenActive, r.BrokenIdle)
			})
		}
	}
}

// Guards against more broken flows than the goal allows when one of seven balancers is
// killed: no active flow and at most 0.5 % of the idle flows may break.
func TestBrokenFlowsAfterOneKillMeetGoal(t *testing.T) {
	t.Parallel()
	for _, p := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, schedule := range []string{"kill-one", "kill-busy"} {
			t.Run(fmt.Sprintf("%s %s", p, schedule), func(t *testing.T) {
				t.Parallel()
				r := runBroken(t, brokenOptions(coordination.VariantFull, p, schedule))
				assert.Equal(t, r.BrokenActive, 0)
				assert.Assert(t, percent(r.BrokenIdle, r.Idle) <= 0.5, "%d of %d idle", r.BrokenIdle, r.Idle)
			})
		}
	}
}

// Guards against more broken flows than the goal allows when two balancers are killed at
// the same time: at most 0.5 % of the active and 5 % of the idle flows may break. The
// owner and the backup of the service are the worst pair.
func TestBrokenFlowsAfterKillOfOwnerAndBackupMeetGoal(t *testing.T) {
	t.Parallel()
	for _, p := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			r := runBroken(t, brokenOptions(coordination.VariantFull, p, "kill-deciders"))
			assert.Assert(t, percent(r.BrokenActive, r.Active) <= 0.5, "%d of %d active", r.BrokenActive, r.Active)
			assert.Assert(t, percent(r.BrokenIdle, r.Idle) <= 5, "%d of %d idle", r.BrokenIdle, r.Idle)
		})
	}
}
