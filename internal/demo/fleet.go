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
	balancerCount   = 7
	loopbackAddress = "127.0.0.1:0"
	// flowCapacity is well above the number of flows in a demo and keeps the memory of
	// seven flow tables small.
	flowCapacity = 1 << 16
	// leaveTimeoutMS limits a graceful leave, so that a demo ends within a minute.
	leaveTimeoutMS          = 6000
	fabricKeepaliveInterval = 250 * time.Millisecond
	fabricFailureThreshold  = 4
	httpHeaderTimeout       = 5 * time.Second
	pollInterval            = 20 * time.Millisecond
	// readyTimeout limits the wait for a condition and for an attachment to the fabric.
	readyTimeout = 15 * time.Second
)

// balancer is one balancer of the fleet.
type balancer struct {
	vm      platform.VM
	process *transport.Process
	stop    context.CancelFunc
	exited  chan error
	// running is false after the demo has stopped the balancer.
	running bool
}

// fleet holds the platform and fabric stand-ins and the balancers.
type fleet struct {
	platformServer *standplatform.Server
	platformURL    string
	store          platform.Store
	fabric         *fabric.Fabric
	balancers      []*balancer
	group          errgroup.Group
	stop           context.CancelFunc
}

// startFleet starts the platform and the fabric, and then the balancers one after the other.
func startFleet(places []string, logs io.Writer) (*fleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{platformServer: standplatform.NewServer(time.Now, nil), stop: stop}
	address, err := serve(ctx, &f.group, f.platformServer)
	if err != nil {
		return f, err
	}
	f.platformURL = "http://" + address.String()
	f.store = platform.NewClient(f.platformURL)
	f.fabric, err = fabric.New(fabric.Options{
		ListenAddress: loopbackAddress, Store: f.store, KeepaliveInterval: fabricKeepaliveInterval, FailureThreshold: fabricFailureThreshold,
		Seed: 1, Logger: log.NewNopLogger(),
	})
	if err != nil {
		return f, err
	}
	f.group.Go(func() error { f.fabric.Run(ctx); return nil })
	for i := range balancerCount {
		if err := f.startBalancer(fmt.Sprintf("vm-%d", i+1), places[i%len(places)], logs); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startBalancer starts a balancer and adds it to the VM list of the platform. The
// balancers that were started before are its seeds.
func (f *fleet) startBalancer(name, place string, logs io.Writer) error {
	s := settings.Defaults()
	s.VM, s.Place = name, place
	s.DataAddress = netip.MustParseAddrPort(loopbackAddress)
	s.ControlAddress = s.DataAddress
	s.FabricAddress = f.fabric.Addr()
	s.PlatformURL = f.platformURL
	s.FleetKey = settings.Key("demo fleet key 0")
	s.FlowCapacity = flowCapacity
	s.Timers.LeaveTimeout = leaveTimeoutMS
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
		process: process, stop: stop, exited: make(chan error, 1), running: true,
	}
	f.platformServer.PutVM(b.vm)
	go func() { b.exited <- process.Run(ctx) }()
	f.balancers = append(f.balancers, b)
	return nil
}

// running returns the balancers that were not stopped.
func (f *fleet) running() []*balancer {
	var out []*balancer
	for _, b := range f.balancers {
		if b.running {
			out = append(out, b)
		}
	}
	return out
}

// allRunning reports whether a condition is true for every running balancer.
func (f *fleet) allRunning(condition func(*transport.Process) bool) bool {
	for _, b := range f.running() {
		if !condition(b.process) {
			return false
		}
	}
	return true
}

// awaitMembers waits until every running balancer has all others in its member list.
func (f *fleet) awaitMembers(ctx context.Context) error {
	return await(ctx, "wait until every balancer has all members", func() bool {
		return f.allRunning(func(p *transport.Process) bool { return p.MemberCount() == len(f.running()) })
	})
}

// awaitGeneration waits until a generation, or a later one, is in force at every running balancer.
func (f *fleet) awaitGeneration(ctx context.Context, generation uint64) error {
	return await(ctx, fmt.Sprintf("wait until generation %d is in force at every balancer", generation), func() bool {
		return f.allRunning(func(p *transport.Process) bool { return p.Generation() >= generation })
	})
}

// awaitFabric waits until the fabric forwards packets to every running balancer.
func (f *fleet) awaitFabric(ctx context.Context) error {
	return await(ctx, "wait until the fabric forwards packets to every balancer", func() bool {
		return len(f.fabric.Counts().Live) == len(f.running())
	})
}

// stopBalancer stops a balancer gracefully and removes it from the VM list.
func (f *fleet) stopBalancer(b *balancer) error {
	b.running = false
	b.stop()
	err := <-b.exited
	f.platformServer.RemoveVM(b.vm.Name)
	return errors.Wrapf(err, "balancer %s", b.vm.Name)
}

// close stops all running balancers in parallel, and then the fabric and the platform.
func (f *fleet) close() error {
	var stopping errgroup.Group
	for _, b := range f.running() {
		stopping.Go(func() error { return f.stopBalancer(b) })
	}
	err := stopping.Wait()
	f.stop()
	if groupErr := f.group.Wait(); err == nil {
		err = groupErr
	}
	return err
}

// controlBytes returns the number of bytes sent and received on the control sockets of the balancer.
func (b *balancer) controlBytes() uint64 {
	counters := b.process.ControlCounters()
	return counters[control.CounterBytesSent] + counters[control.CounterBytesReceived]
}

// serve serves HTTP on a free loopback port until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", loopbackAddress)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen on an HTTP socket")
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

// await polls a condition until it is true, ctx ends or readyTimeout has passed.
func await(ctx context.Context, description string, condition func() bool) error {
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		if err := sleep(waitCtx, pollInterval); err != nil {
			return errors.Wrap(err, description)
		}
	}
	return nil
}
