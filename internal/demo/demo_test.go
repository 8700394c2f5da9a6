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

// Guards against flows that break, requests that run twice and answers that belong
// to another request while a change is published, a target drains and a balancer
// leaves. Also guards against an outcome that is printed without being measured.
func TestShortDemoMeetsEveryGuarantee(t *testing.T) {
	var out strings.Builder
	outcome, err := Run(context.Background(), &out, Options{Users: Coralline, Load: 5 * time.Second, Logs: io.Discard})
	assert.NilError(t, err, out.String())
	assert.NilError(t, outcome.Err(), out.String())
	assert.Equal(t, len(outcome.Services), 2)
	for i, feeds := range []uint64{280, 40} {
		s := outcome.Services[i]
		assert.Assert(t, s.Report.Requests > 0)
		assert.Equal(t, s.Report.Complete, s.Report.Requests, "%s", out.String())
		assert.Equal(t, uint64(s.RequestsRun), s.Report.Complete)
		assert.Equal(t, s.Report.FeedsComplete, feeds)
		assert.Assert(t, len(s.ImbalanceRatios) > 0)
	}
	assert.Equal(t, outcome.DrainedTarget, "quote-01")
	assert.Equal(t, len(outcome.ControlBytesPerSecond), 6)
	for _, row := range []string{"whole", "not run", "unknown", "foreign answers", "broken flows", "double runs", "control bytes"} {
		assert.Assert(t, strings.Contains(out.String(), row), row)
	}
}

// Guards against a demo that succeeds although a guarantee was violated: each kind of
// violation must appear in the error.
func TestErrNamesEachViolation(t *testing.T) {
	callerReport := caller.Report{Service: "s", NotRunIDs: []string{"a", "b"}, NotRun: 2}
	result := compareReports(callerReport, []target.Report{
		{Runs: map[string]int{"a": 1, "c": 1, "d": 2}},
		{Runs: map[string]int{"c": 1}, WrongService: 1},
	})
	assert.Equal(t, result.RequestsRun, 3)
	assert.Equal(t, result.DoubleRuns, 2)
	assert.Equal(t, result.RanDespiteNotRun, 1)
	assert.Equal(t, result.WrongService, uint64(1))
	for name, outcome := range map[string]Outcome{
		"double runs":           {Services: []ServiceOutcome{{DoubleRuns: 1}}},
		"reported as not run":   {Services: []ServiceOutcome{{RanDespiteNotRun: 1}}},
		"another service":       {Services: []ServiceOutcome{{WrongService: 1}}},
		"foreign answers":       {Services: []ServiceOutcome{{Report: caller.Report{Mismatched: 1}}}},
		"broken flows":          {Services: []ServiceOutcome{{Report: caller.Report{Broken: 1}}}},
		"new flows while drain": {FlowsAfterDrain: 1},
		"context canceled":      {TargetStopErr: context.Canceled},
	} {
		assert.ErrorContains(t, outcome.Err(), name)
	}
	assert.NilError(t, Outcome{}.Err())
}
