package direct

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

const (
	// Latencies are kept in microseconds, up to ten seconds, with two digits.
	lowestLatency  = 1
	highestLatency = int64(10 * time.Second / time.Microsecond)
	latencyDigits  = 2
)

// stats are the counters and latency histograms of a node.
type stats struct {
	counters *telemetry.CounterSet
	core     *dsr.Dispatcher

	mu       sync.Mutex
	handling *hdrhistogram.Histogram
}

func newStats(core *dsr.Dispatcher) *stats {
	return &stats{
		counters: telemetry.NewCounterSet(),
		core:     core,
		handling: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (s *stats) count(group, name string) { s.counters.Add(group, name, 1) }

func (s *stats) decided(d dsr.Decision) { s.count(d.Action.String(), string(d.Reason)) }

// handled notes how long a datagram took from its receipt until it was sent on.
func (s *stats) handled(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.handling.RecordValue(min(took.Microseconds(), highestLatency)); err != nil {
		s.counters.Add("handling", "not-recorded", 1)
	}
}

// Vars returns the counters, gauges and histograms for expvar.
func (n *Node) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("packets", n.stats.counters)
	vars.Set("state", expvar.Func(func() any { return n.stats.core.Gauges() }))
	vars.Set("handling_us", expvar.Func(func() any {
		n.stats.mu.Lock()
		defer n.stats.mu.Unlock()
		return percentiles(n.stats.handling)
	}))
	return vars
}

// percentiles describes a histogram in microseconds.
func percentiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{
		"count": h.TotalCount(),
		"p50":   h.ValueAtQuantile(50),
		"p90":   h.ValueAtQuantile(90),
		"p99":   h.ValueAtQuantile(99),
		"max":   h.Max(),
	}
}
