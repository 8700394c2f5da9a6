package direct

import (
	"expvar"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

// stats are the counters and latency histograms of a node.
type stats struct {
	counters *telemetry.CounterSet
	// handlingTime is the time from the receipt of a datagram until it was sent on.
	// responseTime is the time from a request until the caller acknowledges the answer.
	handlingTime *telemetry.Histogram
	responseTime *telemetry.Histogram
}

func newStats() *stats {
	return &stats{
		counters:     telemetry.NewCounterSet(),
		handlingTime: telemetry.NewHistogram(),
		responseTime: telemetry.NewHistogram(),
	}
}

func (s *stats) count(group, name string) { s.counters.Add(group, name, 1) }

// countDecision counts a decision by action and reason and records its response time, if any.
func (s *stats) countDecision(d dsr.Decision) {
	s.count(d.Action.String(), string(d.Reason))
	if d.ResponseTime > 0 {
		s.responseTime.Record(d.ResponseTime)
	}
}

// Vars returns the counters, gauges and histograms for expvar.
func (n *Node) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("packets", n.stats.counters)
	vars.Set("state", expvar.Func(func() any { return n.options.Dispatcher.Gauges() }))
	vars.Set("evacuations", expvar.Func(func() any { return n.options.Dispatcher.Evacuations() }))
	vars.Set("handling_us", n.stats.handlingTime)
	vars.Set("answer_us", n.stats.responseTime)
	return vars
}
