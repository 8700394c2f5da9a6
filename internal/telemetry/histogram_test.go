package telemetry

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against latencies outside the range of the histogram that are lost or cause
// a panic.
func TestHistogramAcceptsLatencyOutOfRange(t *testing.T) {
	h := NewHistogram()
	for _, d := range []time.Duration{-time.Second, 0, time.Millisecond, time.Hour} {
		h.Record(d)
	}
	var got map[string]int64
	assert.NilError(t, json.Unmarshal([]byte(h.String()), &got))
	assert.Equal(t, got["count"], int64(4))
	assert.Assert(t, got["max"] >= time.Minute.Microseconds())
	assert.Assert(t, got["p50"] <= 1000)
}
