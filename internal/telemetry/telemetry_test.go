package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards against log lines without the keys that operators search for.
func TestLogKeys(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "info")
	assert.NilError(t, level.Debug(logger).Log("op", "x", "msg", "hidden"))
	assert.NilError(t, level.Warn(logger).Log("op", "start", "msg", "slow platform"))
	var line map[string]string
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Assert(t, line["ts"] != "")
	assert.Assert(t, strings.HasPrefix(line["caller"], "telemetry_test.go:"), line["caller"])
	assert.Equal(t, line["level"]+line["op"]+line["msg"], "warnstartslow platform")
}

// Guards against additions that are lost under concurrency, and against allocation per packet.
func TestCounters(t *testing.T) {
	s := NewCounterSet()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				s.Add("drop", "a", 1)
				s.Add("forward", "b", 2)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, s.String(), `{"drop": {"a": 8000}, "forward": {"b": 16000}}`)
	assert.Equal(t, s.Value("drop", "a"), int64(8000))
	assert.Equal(t, s.Value("drop", "none"), int64(0))
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.Add("drop", "a", 1) }), 0.0)
}

// Guards against spans of one packet on two balancers that do not share a trace, and
// against balancers that sample different flows.
func TestSpansOfPacketShareTrace(t *testing.T) {
	flow := protocol.FlowKey{Caller: protocol.Endpoint{IP: [4]byte{1, 2, 3, 4}, Port: 5}, Transport: protocol.TransportTCP}
	type span struct {
		Name        string
		SpanContext struct{ TraceID, SpanID string }
		Parent      struct{ TraceID, SpanID string }
	}
	collect := func(p PacketSpan) []span {
		var out bytes.Buffer
		tracer, err := NewTracer(&out, 1, "vm", "place")
		assert.NilError(t, err)
		assert.Assert(t, tracer.Sampled(flow))
		p.Flow, p.Start, p.End = flow, time.Now(), time.Now()
		tracer.Record(p)
		assert.NilError(t, tracer.Close(context.Background()))
		var spans []span
		for line := range strings.Lines(out.String()) {
			var s span
			assert.NilError(t, json.Unmarshal([]byte(line), &s))
			spans = append(spans, s)
		}
		return spans
	}
	first := collect(PacketSpan{Action: "relay", Peer: "10.0.0.2:4754"})
	second := collect(PacketSpan{Hops: 1, Action: "forward", Owner: true, Target: protocol.Endpoint{Port: 1}})
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Name, SpanIngress)
	assert.Equal(t, len(second), 3)
	names := map[string]span{}
	for _, s := range second {
		assert.Equal(t, s.SpanContext.TraceID, first[0].SpanContext.TraceID)
		names[s.Name] = s
	}
	relay := names[SpanRelay].SpanContext.SpanID
	assert.Equal(t, names[SpanRelay].Parent.SpanID, first[0].Parent.SpanID)
	assert.Equal(t, names[SpanDecision].Parent.SpanID, relay)
	assert.Equal(t, names[SpanTarget].Parent.SpanID, relay)
}

// Guards against sampling more or fewer flows than the configured ratio.
func TestTraceSamplingRatio(t *testing.T) {
	for ratio, bounds := range map[float64][2]int{0: {0, 0}, 0.01: {60, 140}, 0.5: {4700, 5300}, 1: {10000, 10000}} {
		tracer, err := NewTracer(&bytes.Buffer{}, ratio, "vm", "place")
		assert.NilError(t, err)
		sampled := 0
		for i := range 10000 {
			flow := protocol.FlowKey{Caller: protocol.Endpoint{Port: uint16(i)}}
			if tracer.Sampled(flow) {
				sampled++
			}
		}
		assert.Assert(t, sampled >= bounds[0] && sampled <= bounds[1], "ratio %v: %d", ratio, sampled)
		assert.NilError(t, tracer.Close(context.Background()))
	}
	var none *Tracer
	assert.Assert(t, !none.Enabled())
}
