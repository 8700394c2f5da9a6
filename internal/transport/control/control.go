// Package control runs the control plane of one balancer: membership probes over UDP,
// Twirp servers and clients for calls between balancers, health checks of targets and
// the configuration follower.
package control

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/agent"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
	"github.com/kumquatworks/kumquatworks/internal/state"
	"github.com/kumquatworks/kumquatworks/internal/transport/httpserver"
)

// Snapshot is a configuration that came into force.
type Snapshot struct {
	Generation uint64
	Digest     string
	Set        objects.Set
}

// Options are the parameters of the control plane. The callbacks are called one at a
// time, except OnHandoff and DataPathCounters, which are called from request handlers.
// They must return quickly and must not call the Plane.
type Options struct {
	VM          string
	Place       string
	DataAddr    netip.AddrPort
	ControlAddr netip.AddrPort // UDP for probes and TCP for Twirp on the same port; port 0 selects a free one
	SeedAddrs   []netip.AddrPort
	FleetKey    []byte
	Store       platform.Store // nil without a platform; the configuration then comes from peers only
	Logger      log.Logger     // nil disables logging
	RandomSeed  uint64

	// Validate returns an error if a snapshot must not come into force. If it is nil,
	// snapshots that objects.Check and state.NewTable accept are valid.
	Validate func(objects.Set) error

	// OnView is called when the set of live members changes.
	OnView func(coordination.View)
	// OnJoined is called once, when this balancer knows enough of the other members to
	// accept packets.
	OnJoined func()
	// OnSnapshot is called when a higher generation comes into force.
	OnSnapshot func(Snapshot)
	// OnReports is called when the reports about the health or load of targets change, and every 5 s.
	OnReports func([]coordination.TargetReport)
	// OnHandoff is called with bindings that a peer hands off. It returns the number of new ones.
	OnHandoff func([]state.Binding) int
	// Core provides the data for status and explain requests and the bindings to hand off
	// on a planned leave. It is nil without a data path.
	Core coordination.Core
	// DataPathCounters returns the counters of the data path by name. Status adds them to
	// those of the control plane. It may be nil.
	DataPathCounters func() map[string]uint64
}

const (
	tickInterval = 50 * time.Millisecond
	dialTimeout  = time.Second
	// exchangeTimeout limits one exchange, snapshot fetch or handoff request between peers.
	exchangeTimeout = 2 * time.Second
	// probeQueueLength is the number of received probes that may wait for the event loop.
	// Further probes are dropped.
	probeQueueLength = 1024
	// serverShutdownTimeout is how long a stopping balancer waits for the answers to requests
	// that it has accepted.
	serverShutdownTimeout = 500 * time.Millisecond
)

// Plane is the control plane of one balancer.
type Plane struct {
	options  Options
	logger   log.Logger
	counters *counters
	agent    *agent.Agent

	udpConn          *net.UDPConn
	tcpListener      net.Listener
	peerHTTPClient   *authClient
	healthHTTPClient *http.Client
	loader           *publish.Loader
	loopCalls        chan func()
	probeQueue       chan receivedProbe
	loopDone         chan struct{} // closed when the event loop ends
	inForce          Snapshot
	tasks            tasks
}

// receivedProbe is a probe with the address of its sender.
type receivedProbe struct {
	from  netip.AddrPort
	probe *wire.Probe
}

// New checks the options and opens the sockets. The caller must call Run next.
func New(o Options) (*Plane, error) {
	if err := o.checkRequired(); err != nil {
		return nil, err
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	p := &Plane{
		options:    o,
		logger:     log.With(o.Logger, "caller", "control"),
		counters:   newCounters(),
		loopCalls:  make(chan func()),
		probeQueue: make(chan receivedProbe, probeQueueLength),
		loopDone:   make(chan struct{}),
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.peerHTTPClient = newPeerHTTPClient(o.FleetKey, p.counters)
	p.healthHTTPClient = newHealthHTTPClient(p.counters)
	p.loader = publish.NewLoader(o.Store)
	now := boottime.Now()
	membershipConfig := membership.Config{
		VM: o.VM, Place: o.Place, DataAddr: o.DataAddr, ControlAddr: p.options.ControlAddr, SeedAddrs: o.SeedAddrs, RandomSeed: o.RandomSeed,
	}
	p.agent = agent.New(agent.NewConfig(membershipConfig, now, o.validateSnapshot), now)
	return p, nil
}

func (o *Options) checkRequired() error {
	switch {
	case o.VM == "":
		return errors.New("control: VM name is empty")
	case o.Place == "":
		return errors.New("control: place is empty")
	case !o.ControlAddr.IsValid():
		return errors.New("control: control address is not set")
	case len(o.FleetKey) == 0:
		return errors.New("control: fleet key is empty")
	}
	return nil
}

func (o *Options) validateSnapshot(set objects.Set) error {
	if o.Validate != nil {
		return o.Validate(set)
	}
	if validationErrors := objects.Check(set); len(validationErrors) > 0 {
		return validationErrors[0]
	}
	_, err := state.NewTable(1, "", set)
	return err
}

// maxFreePortAttempts limits how many free TCP ports are tried to find one that is also
// free for UDP.
const maxFreePortAttempts = 8

// listen opens the TCP listener and the UDP socket on the same port. If the system
// selects the port, it retries with others.
func (p *Plane) listen() error {
	requestedAddr := p.options.ControlAddr
	err := p.listenOnce()
	for i := 1; err != nil && requestedAddr.Port() == 0 && i < maxFreePortAttempts; i++ {
		p.options.ControlAddr = requestedAddr
		err = p.listenOnce()
	}
	return err
}

func (p *Plane) listenOnce() error {
	tcp, err := net.Listen("tcp", p.options.ControlAddr.String())
	if err != nil {
		return errors.Wrap(err, "control: listen on TCP")
	}
	port := uint16(tcp.Addr().(*net.TCPAddr).Port)
	p.options.ControlAddr = netip.AddrPortFrom(p.options.ControlAddr.Addr(), port)
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.options.ControlAddr))
	if err != nil {
		_ = tcp.Close()
		return errors.Wrap(err, "control: listen on UDP")
	}
	p.tcpListener = &countingListener{tcp, p.counters}
	p.udpConn = udp
	return nil
}

// Address returns the control address in use.
func (p *Plane) Address() netip.AddrPort { return p.options.ControlAddr }

// Counters returns the counters by name. Byte counts are payload bytes at the sockets.
func (p *Plane) Counters() map[string]uint64 {
	totals := p.counters.snapshot()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.runInLoop(ctx, func(time.Time) { // fails if Run is not running; the counters of the agent are then left out
		for name, total := range p.agent.Counters() {
			totals[name] = total
		}
	})
	return totals
}

// Run runs the control plane until ctx ends, answers the requests that it has accepted, and
// then announces to the other balancers that this one left.
func (p *Plane) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := p.newServer()
	group.Go(func() error { return p.readProbes() })
	group.Go(func() error {
		if err := server.Serve(p.tcpListener); err != http.ErrServerClosed {
			return errors.Wrap(err, "control: serve")
		}
		return nil
	})
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error {
		defer stopLoop() // only then, since requests are answered in the event loop
		<-ctx.Done()
		httpserver.Stop(server, serverShutdownTimeout)
		return nil
	})
	group.Go(func() error {
		defer p.udpConn.Close()
		p.loop(loopCtx)
		return nil
	})
	err := group.Wait()
	p.tasks.wait()
	p.peerHTTPClient.httpClient.CloseIdleConnections()
	p.healthHTTPClient.CloseIdleConnections()
	return err
}

// runInLoop runs f in the event loop and returns when f has returned. It fails without
// running f if ctx ends first or the loop has ended.
func (p *Plane) runInLoop(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	call := func() {
		f(boottime.Now())
		close(finished)
	}
	select {
	case p.loopCalls <- call:
		<-finished
		return nil
	case <-p.loopDone:
		return errors.New("control plane has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
}
