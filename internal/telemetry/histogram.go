package telemetry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, up to a minute, with two significant digits.
	minLatencyMicroseconds   = 1
	maxLatencyMicroseconds   = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 2
)

// Histogram is a histogram of latencies. As an expvar variable it is in microseconds.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, latencySignificantDigits)}
}

// Record adds a latency; values above a minute are recorded as a minute, negative ones as 0.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(d.Microseconds(), 0), maxLatencyMicroseconds)
	if err := h.values.RecordValue(value); err != nil {
		panic(err) // cannot happen: the value is within the range of the histogram
	}
}

// String returns the count, percentiles and maximum as JSON, for expvar.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	text, err := json.Marshal(map[string]int64{
		"count": h.values.TotalCount(),
		"p50":   h.values.ValueAtQuantile(50),
		"p90":   h.values.ValueAtQuantile(90),
		"p99":   h.values.ValueAtQuantile(99),
		"max":   h.values.Max(),
	})
	if err != nil {
		panic(err) // cannot happen: a map of integers is always encodable
	}
	return string(text)
}
