package transport

import (
	"context"
	"expvar"
	"io"
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
	// traceFlushTimeout limits how long the end of the process waits for the last spans
	// to be written.
	traceFlushTimeout = 2 * time.Second
)

// Process consists of a balancer, its control plane and its tracer.
type Process struct {
	balancer     *Balancer
	controlPlane *control.Plane
	tracer       *telemetry.Tracer
	spanWriter   io.WriteCloser
}

// NewProcess creates a balancer and its control plane and opens their sockets. Run
// must be called afterwards. Log messages are written to logs, and so are spans unless
// the settings name a trace file. Port 0 in the data or control address selects a free
// port.
func NewProcess(s settings.Settings, logs io.Writer) (*Process, error) {
	spanWriter, err := openSpanWriter(s.Trace, logs)
	if err != nil {
		return nil, err
	}
	p := &Process{spanWriter: spanWriter}
	if err := p.open(s, logs); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *Process) open(s settings.Settings, logs io.Writer) (err error) {
	if p.tracer, err = telemetry.NewTracer(p.spanWriter, s.Trace.SamplingRatio, s.VM, s.Place); err != nil {
		return err
	}
	seed := xxhash.Sum64String(s.VM) ^ uint64(time.Now().UnixNano())
	core := coordination.NewDispatcher(coordination.Options{
		Self:         s.VM,
		Place:        s.Place,
		HoldOff:      s.Timers.HoldOff.Duration(),
		FlowCapacity: s.FlowCapacity,
		IdleTimeout:  s.Timers.IdleTimeout.Duration(),
		Seed:         seed,
	})
	logger := telemetry.NewLogger(logs, s.LogLevel)
	if p.balancer, err = New(Options{Settings: s, Core: core, Logger: logger, Tracer: p.tracer}); err != nil {
		return err
	}
	if p.controlPlane, err = control.New(p.balancer.controlPlaneOptions(seed)); err != nil {
		p.balancer.closeSocket()
	}
	return err
}

// close flushes the last spans and closes their file. Errors are ignored because the
// process ends.
func (p *Process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = p.tracer.Close(ctx)
	_ = p.spanWriter.Close()
}

// Run runs the balancer and its control plane until ctx ends and the balancer has left.
func (p *Process) Run(ctx context.Context) error {
	defer p.close()
	return p.balancer.Run(ctx, p.controlPlane)
}

// DataAddress returns the address of the data socket.
func (p *Process) DataAddress() netip.AddrPort { return p.balancer.Address() }

// ControlAddress returns the address that receives probes and control requests.
func (p *Process) ControlAddress() netip.AddrPort { return p.controlPlane.Address() }

// Generation returns the generation of the active configuration, 0 if there is none yet.
func (p *Process) Generation() uint64 { return p.balancer.generation() }

// MemberCount returns the number of live members in the view, including this balancer.
func (p *Process) MemberCount() int { return len(*p.balancer.members.Load()) }

// ControlCounters returns the counters of the control plane by name.
func (p *Process) ControlCounters() map[string]uint64 { return p.controlPlane.Counters() }

// Vars returns the variables of the process for expvar.
func (p *Process) Vars() *expvar.Map {
	vars := p.balancer.Vars()
	vars.Set("control", expvar.Func(func() any { return p.controlPlane.Counters() }))
	return vars
}

// RunProcess runs a balancer with its control plane until ctx ends and the
// balancer has left. It publishes its variables under the expvar name
// "kumquatworks", so a program can call it only once.
func RunProcess(ctx context.Context, s settings.Settings, logs io.Writer) error {
	stop, err := serveDebugVars(s.DebugAddress)
	if err != nil {
		return err
	}
	defer stop()
	p, err := NewProcess(s, logs)
	if err != nil {
		return err
	}
	expvar.Publish("kumquatworks", p.Vars())
	return p.Run(ctx)
}

// controlPlaneOptions returns the options of the control plane, with callbacks that
// pass its results to the dispatcher.
func (b *Balancer) controlPlaneOptions(seed uint64) control.Options {
	s := b.settings
	return control.Options{
		VM:               s.VM,
		Place:            s.Place,
		DataAddr:         b.Address(),
		ControlAddr:      s.ControlAddress,
		SeedAddrs:        s.Seeds,
		FleetKey:         s.FleetKey,
		Store:            platform.NewClient(s.PlatformURL),
		Logger:           b.logger,
		RandomSeed:       seed,
		OnView:           b.SetView,
		OnJoined:         func() { b.joined.Store(true) },
		OnSnapshot:       b.applySnapshot,
		OnReports:        func(r []coordination.TargetReport) { b.core.SetReports(b.now(), r) },
		OnHandoff:        func(bindings []state.Binding) int { return b.core.AcceptHandoff(b.now(), bindings) },
		Core:             b.core,
		DataPathCounters: b.counterTotals,
	}
}

// applySnapshot builds and installs the service table of a snapshot. The control
// plane has already validated the snapshot, so an error here means that its
// validation differs from that of state.NewTable.
func (b *Balancer) applySnapshot(s control.Snapshot) {
	table, err := state.NewTable(s.Generation, s.Digest, s.Set)
	if err != nil {
		b.stats.add("configuration", "not-usable", 1)
		b.log(level.Error, "adopt", "cannot build the service table of a configuration", "generation", s.Generation, "err", err)
		return
	}
	b.SetTable(table)
}

// openSpanWriter opens the trace file for spans. If none is set, spans are written to logs.
func openSpanWriter(t settings.Trace, logs io.Writer) (io.WriteCloser, error) {
	if t.File == "" {
		return nopCloser{logs}, nil
	}
	f, err := os.OpenFile(t.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "trace.file")
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// serveDebugVars serves the expvar variables under /debug/vars until stop is called.
// It does nothing if address is not set.
func serveDebugVars(address netip.AddrPort) (stop func(), err error) {
	if !address.IsValid() {
		return func() {}, nil
	}
	stop, err = telemetry.ServeVars(address)
	return stop, errors.Wrap(err, "debug_address")
}
