// Package transport runs the balancer process: it reads the data socket, asks
// the decision code about each packet and carries out the outcome. It takes no
// decisions of its own.
package transport

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/settings"
	"github.com/kumquatworks/kumquatworks/internal/state"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

// Plane is what the balancer process needs of the control plane.
type ControlPlane interface {
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// Refresh asks peers for the view and returns when one answered.
	Refresh(ctx context.Context) error
	// Leave announces the leave and hands over bindings.
	Leave(ctx context.Context) error
}

// Options are the parameters of a balancer process.
type Options struct {
	Settings settings.Settings
	Core     coordination.Core
	Logger   log.Logger
	// Tracer may be nil.
	Tracer *telemetry.Tracer
	// Now is the clock; nil for the monotonic clock of the machine.
	Now func() time.Time
}

// Balancer is one balancer process.
type Balancer struct {
	settings     settings.Settings
	core         coordination.Core
	logger       log.Logger
	tracer       *telemetry.Tracer
	now          func() time.Time
	startedAt    time.Time
	controlPlane ControlPlane

	conn     *net.UDPConn
	relayKey []byte
	members  atomic.Pointer[map[netip.AddrPort]struct{}]
	table    atomic.Pointer[state.Table]
	gate     *gate
	stats    *stats
	// fabricSeen is the time of the last packet from the fabric, in nanoseconds since started.
	lastFabricPacketAt atomic.Int64
	// joined is set when the other balancers are known; before, keepalives of the fabric are not answered.
	joined atomic.Bool
	// leaving stops the answers to keepalives of the fabric.
	leaving atomic.Bool
}

// New opens the data socket of a balancer. Packets are read once Run is called.
func New(o Options) (*Balancer, error) {
	if o.Now == nil {
		o.Now = monotonicClock()
	}
	key, err := protocol.NewRelayKey(o.Settings.FleetKey)
	if err != nil {
		return nil, errors.Wrap(err, "relay key")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Settings.DataAddress))
	if err != nil {
		return nil, errors.Wrap(err, "data socket")
	}
	if err := conn.SetReadBuffer(o.Settings.ReceiveBufferBytes); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "data socket")
	}
	now := o.Now()
	b := &Balancer{
		settings:  o.Settings,
		core:      o.Core,
		logger:    o.Logger,
		tracer:    o.Tracer,
		now:       o.Now,
		startedAt: now,
		conn:      conn,
		relayKey:  key,
		gate:      newGate(now, o.Settings.Timers.FreezeGap.Duration(), o.Settings.Readers),
		stats:     newStats(),
	}
	b.members.Store(&map[netip.AddrPort]struct{}{})
	return b, nil
}

// monotonicClock returns a clock that follows the monotonic clock only. A step of
// the wall clock would otherwise expire flows.
func monotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

// Address is the address of the data socket.
func (b *Balancer) Address() netip.AddrPort {
	return b.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetView passes a new view to the decision code and accepts relayed packets from its members only.
func (b *Balancer) SetView(view coordination.View) {
	members := make(map[netip.AddrPort]struct{}, len(view.Members))
	for _, m := range view.Members {
		members[m.DataAddress] = struct{}{}
	}
	b.members.Store(&members)
	b.core.SetView(b.now(), view)
}

// SetTable passes the service table of a higher generation to the decision code.
func (b *Balancer) SetTable(table *state.Table) {
	b.table.Store(table)
	b.core.AdoptTable(b.now(), table)
}

// Run forwards packets until ctx ends, then leaves and returns. The control
// plane runs until the balancer has left.
func (b *Balancer) Run(ctx context.Context, controlPlane ControlPlane) error {
	b.controlPlane = controlPlane
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	controlPlaneErr := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { controlPlaneErr <- controlPlane.Run(runCtx) })
	group.Go(func() { b.supervise(runCtx) })
	for range b.settings.Readers {
		group.Go(func() { newWorker(b).readLoop(runCtx) })
	}
	b.log(level.Info, "start", "reading packets", "data_address", b.Address())
	err := b.waitAndLeave(ctx, controlPlaneErr)
	stop()
	b.closeSocket()
	group.Wait()
	b.log(level.Info, "stop", "stopped", "flows", b.core.FlowCount())
	return err
}

// waitAndLeave returns when the balancer has left, or the control plane failed.
func (b *Balancer) waitAndLeave(ctx context.Context, controlPlaneErr <-chan error) error {
	select {
	case err := <-controlPlaneErr:
		if err == nil {
			err = errors.New("stopped without a reason")
		}
		return errors.Wrap(err, "control plane")
	case <-ctx.Done():
		b.leave()
		return nil
	}
}

func (b *Balancer) closeSocket() {
	if err := b.conn.Close(); err != nil {
		b.log(level.Warn, "stop", "data socket", "err", err)
	}
}

// log writes a line. A failure to log cannot be reported anywhere else.
func (b *Balancer) log(severity func(log.Logger) log.Logger, op, msg string, keyvals ...any) {
	_ = log.With(severity(b.logger), "caller", log.Caller(4)).Log(append([]any{"op", op, "msg", msg}, keyvals...)...)
}
