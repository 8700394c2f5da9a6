// Package transport runs the balancer process. It reads packets from the data
// socket, passes each one to the dispatcher of package coordination and executes
// the decision. It makes no forwarding decisions itself.
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

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/settings"
	"github.com/kumquatworks/kumquatworks/internal/state"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

// ControlPlane is the part of the control plane that the balancer process uses.
type ControlPlane interface {
	// Run serves requests and probes until ctx ends.
	Run(ctx context.Context) error
	// Refresh queries peers for the membership view and returns after the first response.
	Refresh(ctx context.Context) error
	// Leave announces to peers that this balancer is leaving and hands off its bindings.
	Leave(ctx context.Context) error
}

// Options are the parameters of a balancer process.
type Options struct {
	Settings settings.Settings
	// Core makes the forwarding decisions.
	Core   coordination.Core
	Logger log.Logger
	// Tracer may be nil.
	Tracer *telemetry.Tracer
	// Now returns the current time. If nil, boottime.Now is used: a suspension of the machine
	// is a freeze, and a step of the wall clock must not expire flows.
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
	// lastFabricPacketAt is the time of the last packet from the fabric, in nanoseconds since startedAt.
	lastFabricPacketAt atomic.Int64
	// joined is set once the other balancers are known. Keepalives from the fabric are
	// not answered before.
	joined atomic.Bool
	// leaving is set when the balancer starts to leave. Keepalives from the fabric are
	// not answered from then on.
	leaving atomic.Bool
}

// New creates a balancer and opens its data socket. Packets are read once Run is called.
func New(o Options) (*Balancer, error) {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	key, err := protocol.DeriveRelayKey(o.Settings.FleetKey)
	if err != nil {
		return nil, errors.Wrap(err, "derive relay key")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Settings.DataAddress))
	if err != nil {
		return nil, errors.Wrap(err, "open data socket")
	}
	if err := conn.SetReadBuffer(o.Settings.ReceiveBufferBytes); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "set receive buffer of data socket")
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

// Address returns the address of the data socket.
func (b *Balancer) Address() netip.AddrPort {
	return b.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetView installs a new membership view. From then on, relayed packets are accepted
// only from its members.
func (b *Balancer) SetView(view coordination.View) {
	members := make(map[netip.AddrPort]struct{}, len(view.Members))
	for _, m := range view.Members {
		members[m.DataAddress] = struct{}{}
	}
	b.members.Store(&members)
	b.core.SetView(b.now(), view)
}

// SetTable installs a service table of a higher generation.
func (b *Balancer) SetTable(table *state.Table) {
	b.table.Store(table)
	b.core.AdoptTable(b.now(), table)
}

// Run forwards packets until ctx ends, then leaves and returns. The control
// plane runs until the balancer has left. If the control plane fails, Run returns
// its error without leaving.
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
	b.log(level.Info, "start", "balancer started; reading packets", "data_address", b.Address())
	err := b.waitAndLeave(ctx, controlPlaneErr)
	stop()
	b.closeSocket()
	group.Wait()
	b.log(level.Info, "stop", "stopped", "flows", b.core.FlowCount())
	return err
}

// waitAndLeave waits until ctx ends and the balancer has left, or until the control
// plane fails.
func (b *Balancer) waitAndLeave(ctx context.Context, controlPlaneErr <-chan error) error {
	select {
	case err := <-controlPlaneErr:
		if err == nil {
			err = errors.New("stopped without an error")
		}
		return errors.Wrap(err, "run control plane")
	case <-ctx.Done():
		b.leave()
		return nil
	}
}

func (b *Balancer) closeSocket() {
	if err := b.conn.Close(); err != nil {
		b.log(level.Warn, "stop", "failed to close the data socket", "err", err)
	}
}

// log writes a log message. Its error is ignored because it cannot be reported anywhere else.
func (b *Balancer) log(severity func(log.Logger) log.Logger, op, msg string, keyvals ...any) {
	_ = log.With(severity(b.logger), "caller", log.Caller(4)).Log(append([]any{"op", op, "msg", msg}, keyvals...)...)
}
