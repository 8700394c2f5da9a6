package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards against a selection record that omits a target, lists one twice or lists
// the selected one, and against recording that changes the selection.
func TestSelectionRecordListsEachOtherTargetOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := &Service{}
		s.Preference = rapid.SampledFrom([]objects.Preference{objects.PreferenceAffinity, objects.PreferenceEvenness}).Draw(t, "preference")
		s.Pool.Slots, s.Pool.Connections = 2, 9
		counts := NewLoadCounts()
		for i := range rapid.IntRange(1, 20).Draw(t, "targets") {
			endpoint := protocol.Endpoint{IP: [4]byte{10, 2, 0, byte(i)}, Port: 80}
			target := &Target{Endpoint: endpoint, Hash: uint64(i) * 0x9e3779b97f4a7c15}
			target.Weight, target.Drain = 100, rapid.Bool().Draw(t, "drain")
			s.Targets = append(s.Targets, target)
			l := counts.Load(endpoint)
			l.OpenFlows, l.RunningRequests = rapid.IntRange(0, 9).Draw(t, "open"), rapid.IntRange(0, 3).Draw(t, "runs")
			l.Condition.Unhealthy = rapid.Bool().Draw(t, "unhealthy")
		}
		flow, rule := rapid.Uint64().Draw(t, "flow"), SelectionRule{Algorithm: Algorithm(rapid.IntRange(0, 1).Draw(t, "method"))}
		tried := []protocol.Endpoint{s.Targets[0].Endpoint}
		var record SelectionRecord
		selected := counts.SelectTarget(now, s, flow, rule, tried, &record)
		assert.Equal(t, counts.SelectTarget(now, s, flow, rule, tried, nil), selected)
		seen := map[protocol.Endpoint]bool{}
		for _, rejected := range record.Rejected {
			assert.Assert(t, !seen[rejected.Target] && rejected.Reason != "", "%v", rejected)
			seen[rejected.Target] = true
		}
		if selected != nil {
			assert.Assert(t, !seen[selected.Endpoint])
			seen[selected.Endpoint] = true
		}
		assert.Equal(t, len(seen), len(s.Targets))
	})
}
