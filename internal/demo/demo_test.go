package demo

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

// Guards against flows that break, run twice or get a foreign answer while a change
// is published, a target drains and a balancer leaves, and against an outcome that
// is printed without having been measured.
func TestShortDemoKeepsEveryPromise(t *testing.T) {
	var out strings.Builder
	outcome, err := Run(context.Background(), &out, Options{Users: Coralline, Load: 5 * time.Second, Logs: io.Discard})
	assert.NilError(t, err, out.String())
	assert.NilError(t, outcome.Err(), out.String())
	assert.Equal(t, len(outcome.Services), 2)
	for i, feeds := range []uint64{280, 40} {
		s := outcome.Services[i]
		assert.Assert(t, s.Report.Requests > 0)
		assert.Equal(t, s.Report.Complete, s.Report.Requests, "%s", out.String())
		assert.Equal(t, uint64(s.Ran), s.Report.Complete)
		assert.Equal(t, s.Report.FeedsComplete, feeds)
		assert.Assert(t, len(s.Imbalance) > 0)
	}
	assert.Equal(t, outcome.DrainedTarget, "quote-01")
	assert.Equal(t, len(outcome.ControlPerSecond), 6)
	for _, row := range []string{"whole", "not run", "unknown", "foreign answers", "broken flows", "double runs", "control bytes"} {
		assert.Assert(t, strings.Contains(out.String(), row), row)
	}
}

// Guards against a demo that does not notice a broken promise.
func TestBrokenPromisesAreNamed(t *testing.T) {
	told := caller.Report{Service: "s", NotRunIDs: []string{"a", "b"}, NotRun: 2}
	seen := compare(told, []target.Report{
		{Runs: map[string]int{"a": 1, "c": 1, "d": 2}},
		{Runs: map[string]int{"c": 1}, WrongService: 1},
	})
	assert.Equal(t, seen.Ran, 3)
	assert.Equal(t, seen.DoubleRuns, 2)
	assert.Equal(t, seen.FalseNotRun, 1)
	assert.Equal(t, seen.WrongService, uint64(1))
	for name, broken := range map[string]Outcome{
		"double runs":           {Services: []ServiceOutcome{{DoubleRuns: 1}}},
		"reported as not run":   {Services: []ServiceOutcome{{FalseNotRun: 1}}},
		"another service":       {Services: []ServiceOutcome{{WrongService: 1}}},
		"foreign answers":       {Services: []ServiceOutcome{{Report: caller.Report{Mismatched: 1}}}},
		"broken flows":          {Services: []ServiceOutcome{{Report: caller.Report{Broken: 1}}}},
		"new flows while drain": {LateFlows: 1},
		"context canceled":      {Interrupted: context.Canceled},
	} {
		assert.ErrorContains(t, broken.Err(), name)
	}
	assert.NilError(t, Outcome{}.Err())
}
