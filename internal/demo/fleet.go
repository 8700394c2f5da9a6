package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/settings"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
	standplatform "github.com/kumquatworks/kumquatworks/internal/standin/platform"
	"github.com/kumquatworks/kumquatworks/internal/transport"
	"github.com/kumquatworks/kumquatworks/internal/transport/control"
)

const (
	balancers = 7
	loopback  = "127.0.0.1:0"
	// flowCapacity is far above the flows of a demo and keeps seven tables small.
	flowCapacity = 1 << 16
	// leaveLimitMS ends a leave that would take the demo over a minute.
	leaveLimitMS      = 6000
	fabricKeepalive   = 250 * time.Millisecond
	fabricMisses      = 4
	httpHeaderTimeout = 5 * time.Second
	pollInterval      = 20 * time.Millisecond
	// readyLimit ends the wait for a condition that does not come true.
	readyLimit = 15 * time.Second
)

// balancer is one running balancer process.
type balancer struct {
	vm      platform.VM
	process *transport.Process
	stop    context.CancelFunc
	stopped chan error
	// running is false once the demo has stopped it.
	running bool
}

// fleet is the platform, the fabric and the balancers.
type fleet struct {
	server    *standplatform.Server
	url       string
	store     platform.Store
	carrier   *fabric.Fabric
	balancers []*balancer
	group     errgroup.Group
	stop      context.CancelFunc
}

// startFleet starts the parts outside the balancers, and then the balancers one by one.
func startFleet(places []string, logs io.Writer) (*fleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{server: standplatform.NewServer(time.Now, nil), stop: stop}
	address, err := serve(ctx, &f.group, f.server)
	if err != nil {
		return f, err
	}
	f.url = "http://" + address.String()
	f.store = platform.NewClient(f.url)
	f.carrier, err = fabric.New(fabric.Options{
		ListenAddress: loopback, Store: f.store, KeepaliveInterval: fabricKeepalive, FailureThreshold: fabricMisses,
		Seed: 1, Logger: log.NewNopLogger(),
	})
	if err != nil {
		return f, err
	}
	f.group.Go(func() error { f.carrier.Run(ctx); return nil })
	for i := range balancers {
		if err := f.startBalancer(fmt.Sprintf("vm-%d", i+1), places[i%len(places)], logs); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startBalancer starts a balancer and enters it in the VM list. The balancers
// that run already are its seeds.
func (f *fleet) startBalancer(name, place string, logs io.Writer) error {
	s := settings.Defaults()
	s.VM, s.Place = name, place
	s.DataAddress = netip.MustParseAddrPort(loopback)
	s.ControlAddress = s.DataAddress
	s.FabricAddress = f.carrier.Addr()
	s.PlatformURL = f.url
	s.FleetKey = settings.Key("demo fleet key 0")
	s.FlowCapacity = flowCapacity
	s.Timers.LeaveTimeout = leaveLimitMS
	for _, b := range f.balancers {
		s.Seeds = append(s.Seeds, b.vm.ControlAddress)
	}
	process, err := transport.NewProcess(s, logs)
	if err != nil {
		return errors.Wrapf(err, "balancer %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &balancer{
		vm:      platform.VM{Name: name, Place: place, DataAddress: process.DataAddress(), ControlAddress: process.ControlAddress()},
		process: process, stop: stop, stopped: make(chan error, 1), running: true,
	}
	f.server.PutVM(b.vm)
	go func() { b.stopped <- process.Run(ctx) }()
	f.balancers = append(f.balancers, b)
	return nil
}

// running returns the balancers that the demo has not stopped.
func (f *fleet) running() []*balancer {
	var out []*balancer
	for _, b := range f.balancers {
		if b.running {
			out = append(out, b)
		}
	}
	return out
}

// all reports whether a condition holds at every running balancer.
func (f *fleet) all(condition func(*transport.Process) bool) bool {
	for _, b := range f.running() {
		if !condition(b.process) {
			return false
		}
	}
	return true
}

// awaitMembers waits until every balancer knows all others.
func (f *fleet) awaitMembers(ctx context.Context) error {
	return await(ctx, "every balancer knows the others", func() bool {
		return f.all(func(p *transport.Process) bool { return p.MemberCount() == len(f.running()) })
	})
}

// awaitGeneration waits until a generation is in force at every running balancer.
func (f *fleet) awaitGeneration(ctx context.Context, generation uint64) error {
	return await(ctx, fmt.Sprintf("generation %d in force at every balancer", generation), func() bool {
		return f.all(func(p *transport.Process) bool { return p.Generation() >= generation })
	})
}

// awaitLive waits until the fabric sends to every running balancer.
func (f *fleet) awaitLive(ctx context.Context) error {
	return await(ctx, "the fabric sends to every balancer", func() bool {
		return len(f.carrier.Counts().Live) == len(f.running())
	})
}

// stopBalancer stops a balancer gracefully and takes it from the VM list.
func (f *fleet) stopBalancer(b *balancer) error {
	b.running = false
	b.stop()
	err := <-b.stopped
	f.server.RemoveVM(b.vm.Name)
	return errors.Wrapf(err, "balancer %s", b.vm.Name)
}

// close stops the balancers at the same time, and then the rest.
func (f *fleet) close() error {
	var leaving errgroup.Group
	for _, b := range f.running() {
		leaving.Go(func() error { return f.stopBalancer(b) })
	}
	err := leaving.Wait()
	f.stop()
	if rest := f.group.Wait(); err == nil {
		err = rest
	}
	return err
}

// controlBytes returns the bytes that a balancer sent and received at its control sockets.
func (b *balancer) controlBytes() uint64 {
	counters := b.process.ControlCounters()
	return counters[control.CounterBytesSent] + counters[control.CounterBytesReceived]
}

// serve serves HTTP on a free loopback port until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", loopback)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "HTTP socket")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// await polls a condition until it is true, ctx ends or the limit has passed.
func await(ctx context.Context, what string, condition func() bool) error {
	waiting, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !condition() {
		if err := wait(waiting, pollInterval); err != nil {
			return errors.Wrap(err, what)
		}
	}
	return nil
}
