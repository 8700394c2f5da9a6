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
	// traceFlushLimit bounds the wait for the last spans.
	traceFlushLimit = 2 * time.Second
)

// Process is a balancer with its control plane and its tracer.
type Process struct {
	balancer *Balancer
	plane    *control.Plane
	tracer   *telemetry.Tracer
	spans    io.WriteCloser
}

// NewProcess opens the sockets of a balancer with its control plane. Run must
// follow. Log lines go to logs, and spans too unless the settings name a file.
// Port 0 in the data or control address takes a free port.
func NewProcess(s settings.Settings, logs io.Writer) (*Process, error) {
	spans, err := openSpans(s.Trace, logs)
	if err != nil {
		return nil, err
	}
	p := &Process{spans: spans}
	if err := p.open(s, logs); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *Process) open(s settings.Settings, logs io.Writer) (err error) {
	if p.tracer, err = telemetry.NewTracer(p.spans, s.Trace.SamplingRatio, s.VM, s.Place); err != nil {
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
	if p.plane, err = control.New(p.balancer.planeOptions(seed)); err != nil {
		p.balancer.closeSocket()
	}
	return err
}

// close writes the last spans. The process ends, so a failure has no consequence.
func (p *Process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushLimit)
	defer cancel()
	_ = p.tracer.Close(ctx)
	_ = p.spans.Close()
}

// Run serves until ctx ends and the balancer has left.
func (p *Process) Run(ctx context.Context) error {
	defer p.close()
	return p.balancer.Run(ctx, p.plane)
}

// DataAddress is the address of the data socket.
func (p *Process) DataAddress() netip.AddrPort { return p.balancer.Address() }

// ControlAddress is the address of probes and control requests.
func (p *Process) ControlAddress() netip.AddrPort { return p.plane.Address() }

// Generation is the generation in force, 0 before the first.
func (p *Process) Generation() uint64 { return p.balancer.generation() }

// Members is the number of live members in the view, with this balancer.
func (p *Process) Members() int { return len(*p.balancer.members.Load()) }

// ControlCounters returns the totals of the control plane by name.
func (p *Process) ControlCounters() map[string]uint64 { return p.plane.Counters() }

// Vars returns the variables of the process for expvar.
func (p *Process) Vars() *expvar.Map {
	vars := p.balancer.Vars()
	vars.Set("control", expvar.Func(func() any { return p.plane.Counters() }))
	return vars
}

// RunProcess runs a balancer with its control plane until ctx ends and the
// balancer has left. It publishes its variables under the expvar name
// "kumquatworks", so a program can call it once.
func RunProcess(ctx context.Context, s settings.Settings, logs io.Writer) error {
	stop, err := serveDebug(s.DebugAddress)
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

// planeOptions connects the control plane to the decision code.
func (b *Balancer) planeOptions(seed uint64) control.Options {
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
		OnSnapshot:       b.adopt,
		OnReports:        func(r []coordination.TargetReport) { b.core.SetReports(b.now(), r) },
		OnHandoff:        func(bindings []state.Binding) int { return b.core.AcceptHandoff(b.now(), bindings) },
		Core:             b.core,
		DataPathCounters: b.totals,
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

// serveDebug serves expvar under /debug/vars. Without an address it serves nothing.
func serveDebug(address netip.AddrPort) (stop func(), err error) {
	if !address.IsValid() {
		return func() {}, nil
	}
	stop, err = telemetry.ServeVars(address)
	return stop, errors.Wrap(err, "debug_address")
}
