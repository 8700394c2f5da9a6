// Package control runs the control plane of one balancer: probes over UDP, the
// Twirp servers and clients between balancers, and the configuration follower.
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

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/agent"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Snapshot is a configuration that came into force.
type Snapshot struct {
	Generation uint64
	Digest     string
	Set        objects.Set
}

// Options are the parameters of the control plane. The callbacks are called
// one at a time, must return quickly, and must not call the Plane.
type Options struct {
	VM          string
	Place       string
	DataAddr    netip.AddrPort
	ControlAddr netip.AddrPort // UDP for probes and TCP for Twirp, same port; port 0 takes a free one
	SeedAddrs   []netip.AddrPort
	FleetKey    []byte
	Store       platform.Store // nil: no platform, configuration from peers alone
	Logger      log.Logger     // nil: no log
	RandomSeed  uint64

	// Validate reports why a snapshot cannot be put in force; nil accepts what
	// objects.Check and state.NewTable accept.
	Validate func(objects.Set) error

	// OnView is called when the set of live members changes.
	OnView func(coordination.View)
	// OnJoined is called once, when this balancer knows the others well enough to take packets.
	OnJoined func()
	// OnSnapshot is called when a higher generation comes into force.
	OnSnapshot func(Snapshot)
	// OnReports is called when the health or load view changes, and every 5 s.
	OnReports func([]coordination.TargetReport)
	// OnHandoff is called with bindings that a peer hands over; it returns how many were new.
	OnHandoff func([]state.Binding) int
	// Core answers status and explain requests and hands over bindings on leave; nil without a data path.
	Core coordination.Core
	// Counters returns totals of the data path by name, which Status adds to its own; may be nil.
	DataPathCounters func() map[string]uint64
}

const (
	tickInterval = 50 * time.Millisecond
	dialTimeout  = time.Second
	// exchangeTimeout bounds one exchange or fetch between peers.
	exchangeTimeout = 2 * time.Second
	// queueLength is the number of received probes that may wait for the loop.
	probeQueueLength = 1024
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
	loopDone         chan struct{} // closed when the loop ends
	inForce          Snapshot
	tasks            tasks
}

// received is a probe with its sender.
type receivedProbe struct {
	from  netip.AddrPort
	probe *wire.Probe
}

// New checks the options and opens the sockets. Run must follow.
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
	now := time.Now()
	membershipConfig := membership.Config{
		VM: o.VM, Place: o.Place, DataAddr: o.DataAddr, ControlAddr: p.options.ControlAddr, SeedAddrs: o.SeedAddrs, RandomSeed: o.RandomSeed,
	}
	p.agent = agent.New(agent.NewConfig(membershipConfig, now, o.validateSnapshot), now)
	return p, nil
}

func (o *Options) checkRequired() error {
	switch {
	case o.VM == "":
		return errors.New("control: vm is empty")
	case o.Place == "":
		return errors.New("control: place is empty")
	case !o.ControlAddr.IsValid():
		return errors.New("control: control address is missing")
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

// freePortAttempts bounds the free TCP ports that are tried until one is free for UDP too.
const maxFreePortAttempts = 8

// listen opens the TCP listener and the UDP socket on the same port.
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

// Counters returns the running totals by name. Byte counts are payload bytes at the sockets.
func (p *Plane) Counters() map[string]uint64 {
	totals := p.counters.snapshot()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.runInLoop(ctx, func(time.Time) { // without Run there is nothing to add
		for name, total := range p.agent.Counters() {
			totals[name] = total
		}
	})
	return totals
}

// Run serves until ctx ends, then tells the others that this balancer left.
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
	group.Go(func() error {
		defer p.udpConn.Close()
		defer server.Close()
		p.loop(ctx)
		return nil
	})
	err := group.Wait()
	p.tasks.wait()
	p.peerHTTPClient.httpClient.CloseIdleConnections()
	p.healthHTTPClient.CloseIdleConnections()
	return err
}

// do runs f in the loop and waits for it.
func (p *Plane) runInLoop(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	call := func() {
		f(time.Now())
		close(finished)
	}
	select {
	case p.loopCalls <- call:
		<-finished
		return nil
	case <-p.loopDone:
		return errors.New("control plane is stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
}
