// Package telemetry holds logs, counters and traces of a balancer.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes JSON lines with the keys ts, level and
// caller, to which each call adds op and msg. minimum is debug, info, warn or
// error; other values count as info.
func NewLogger(w io.Writer, minLevel string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "caller", log.DefaultCaller)
}
