package scenario

import (
	"encoding/json"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

// spanLine is one span as a balancer writes it.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// spansCommand fails unless the files, one for each balancer, hold all documented
// spans and attributes, and a flow whose packets were traced at every balancer.
// A decision or target span must be the child of a hop at the same balancer.
func spansCommand(ts *testscript.TestScript, _ bool, args []string) {
	filesByTrace := map[string]map[string]bool{}
	spanCounts := map[string]int{}
	for _, file := range args {
		hopIDs, children := map[string]bool{}, []spanLine{}
		for line := range strings.Lines(ts.ReadFile(file)) {
			var s spanLine
			ts.Check(json.Unmarshal([]byte(line), &s))
			spanCounts[s.Name]++
			if filesByTrace[s.SpanContext.TraceID] == nil {
				filesByTrace[s.SpanContext.TraceID] = map[string]bool{}
			}
			filesByTrace[s.SpanContext.TraceID][file] = true
			if s.Name == telemetry.SpanDecision || s.Name == telemetry.SpanTarget {
				children = append(children, s)
				continue
			}
			hopIDs[s.SpanContext.SpanID] = true
			checkAttributes(ts, s, "action", "reason", "caller", "service", "hops")
		}
		for _, child := range children {
			if !hopIDs[child.Parent.SpanID] {
				ts.Fatalf("%s: span %q has no hop as its parent", file, child.Name)
			}
		}
	}
	for _, name := range []string{telemetry.SpanIngress, telemetry.SpanRelay, telemetry.SpanDecision, telemetry.SpanTarget} {
		if spanCounts[name] == 0 {
			ts.Fatalf("no span %q in %v", name, spanCounts)
		}
	}
	for _, traceFiles := range filesByTrace {
		if len(traceFiles) == len(args) {
			return
		}
	}
	ts.Fatalf("no flow has spans of all %d balancers", len(args))
}

func checkAttributes(ts *testscript.TestScript, s spanLine, keys ...string) {
	present := map[string]bool{}
	for _, a := range s.Attributes {
		present[a.Key] = true
	}
	for _, key := range keys {
		if !present[key] {
			ts.Fatalf("span %q has no attribute %s", s.Name, key)
		}
	}
}
