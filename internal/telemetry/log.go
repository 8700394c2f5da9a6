// Package telemetry provides logs, counters, latency histograms and traces of a balancer.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes JSON lines with the keys ts, level and
// caller; each log call adds op and msg. minLevel is debug, info, warn or error;
// other values are treated as info.
func NewLogger(w io.Writer, minLevel string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "caller", log.DefaultCaller)
}
