package scenario

import (
	"encoding/json"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

// spanLine is one line of a trace file, which holds one span.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// spansCommand fails unless the trace files, one per balancer, contain all documented
// span names and attributes, and at least one trace has spans of every balancer. The
// parent of each decision or target span must be an ingress or relay span of the same
// balancer: spans FILE...
func spansCommand(ts *testscript.TestScript, _ bool, args []string) {
	filesByTrace := map[string]map[string]bool{}
	spanCounts := map[string]int{}
	for _, file := range args {
		parentIDs, children := map[string]bool{}, []spanLine{}
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
			parentIDs[s.SpanContext.SpanID] = true
			checkAttributes(ts, s, "action", "reason", "caller", "service", "hops")
		}
		for _, child := range children {
			if !parentIDs[child.Parent.SpanID] {
				ts.Fatalf("%s: the parent of span %q is not an ingress or relay span of the same balancer", file, child.Name)
			}
		}
	}
	for _, name := range []string{telemetry.SpanIngress, telemetry.SpanRelay, telemetry.SpanDecision, telemetry.SpanTarget} {
		if spanCounts[name] == 0 {
			ts.Fatalf("no span %q among the spans by name: %v", name, spanCounts)
		}
	}
	for _, traceFiles := range filesByTrace {
		if len(traceFiles) == len(args) {
			return
		}
	}
	ts.Fatalf("no trace has spans of all %d balancers", len(args))
}

// checkAttributes fails unless a span has an attribute for each key.
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
