package transport

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/settings"
	"github.com/kumquatworks/kumquatworks/internal/state"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
	"github.com/kumquatworks/kumquatworks/internal/transport/control"
)

const (
	// debugHeaderTimeout bounds a client that sends its request slowly.
	debugHeaderTimeout = 5 * time.Second
	// traceFlushLimit bounds the wait for the last spans.
	traceFlushLimit = 2 * time.Second
)

// RunProcess runs a balancer with its control plane until ctx ends and the
// balancer has left. Log lines go to logs, and spans too unless the settings
// name a file. It publishes its variables under the expvar name "kumquatworks",
// so a program can call it once.
func RunProcess(ctx context.Context, s settings.Settings, logs io.Writer) error {
	spans, err := openSpans(s.Trace, logs)
	if err != nil {
		return err
	}
	defer spans.Close()
	tracer, err := telemetry.NewTracer(spans, s.Trace.Share, s.VM, s.Place)
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	seed := xxhash.Sum64String(s.VM) ^ uint64(time.Now().UnixNano())
	core := coordination.NewDispatcher(coordination.Options{
		Self:         s.VM,
		Place:        s.Place,
		HoldOff:      s.Timers.HoldOff.Duration(),
		FlowCapacity: s.FlowCapacity,
		IdleTimeout:  s.Timers.Idle.Duration(),
		Seed:         seed,
	})
	b, err := New(Options{Settings: s, Core: core, Logger: telemetry.NewLogger(logs, s.LogLevel), Tracer: tracer})
	if err != nil {
		return err
	}
	plane, err := control.New(b.planeOptions(seed))
	if err != nil {
		b.closeSocket()
		return err
	}
	vars := b.Vars()
	vars.Set("control", expvar.Func(func() any { return plane.Counters() }))
	expvar.Publish("kumquatworks", vars)
	stop, err := serveDebug(s.DebugAddress)
	if err != nil {
		b.closeSocket()
		return err
	}
	defer stop()
	return b.Run(ctx, plane)
}

// planeOptions connects the control plane to the decision code.
func (b *Balancer) planeOptions(seed uint64) control.Options {
	s := b.settings
	return control.Options{
		VM:         s.VM,
		Place:      s.Place,
		Data:       s.DataAddress,
		Control:    s.ControlAddress,
		Seeds:      s.Seeds,
		FleetKey:   s.FleetKey,
		Store:      platform.NewClient(s.PlatformURL),
		Logger:     b.logger,
		Seed:       seed,
		OnView:     b.SetView,
		OnSnapshot: b.adopt,
		OnReports:  func(r []coordination.TargetReport) { b.core.SetReports(b.now(), r) },
		OnHandoff:  func(bindings []state.Binding) int { return b.core.AcceptHandoff(b.now(), bindings) },
		Core:       b.core,
		Counters:   b.totals,
	}
}

// adopt builds the service table of a snapshot. The control plane accepted the
// snapshot, so a failure means that the checks of the two differ.
func (b *Balancer) adopt(s control.Snapshot) {
	table, err := state.NewTable(s.Generation, s.Digest, s.Set)
	if err != nil {
		b.stats.count("configuration", "not-usable", 1)
		b.log(level.Error, "adopt", "configuration is not usable", "generation", s.Generation, "err", err)
		return
	}
	b.SetTable(table)
}

// openSpans opens the file for spans. Without a file they go to the log stream.
func openSpans(t settings.Trace, logs io.Writer) (io.WriteCloser, error) {
	if t.File == "" {
		return nopCloser{logs}, nil
	}
	f, err := os.OpenFile(t.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "trace.file")
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// closeTracer writes the last spans. The process ends, so a failure has no consequence.
func closeTracer(t *telemetry.Tracer) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushLimit)
	defer cancel()
	_ = t.Close(ctx)
}

// serveDebug serves expvar under /debug/vars. Without an address it serves nothing.
func serveDebug(address netip.AddrPort) (stop func(), err error) {
	if !address.IsValid() {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "debug_address")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: debugHeaderTimeout}
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed at stop
	return func() { _ = server.Close() }, nil
}
