package caller

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

const (
	serviceText = "10.0.0.1:443"
	rightText   = "10.1.0.1:4433"
	wrongText   = "10.1.0.2:4433"
)

func endpoint(text string) protocol.Endpoint {
	return protocol.NewEndpoint(netip.MustParseAddrPort(text))
}

// vmStore is a platform that has nothing but a VM list.
type vmStore struct {
	platform.Store
	vms []platform.VM
}

func (s vmStore) VMs(context.Context) ([]platform.VM, error) { return s.vms, nil }

// startForwarder runs a balancer with one service and one target, or one that refuses all.
func startForwarder(t *testing.T, to protocol.Endpoint, refuse bool) platform.VM {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, 65536)
		decoder := protocol.NewDecoder()
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if protocol.IsKeepalive(buffer[:n]) {
				_, _ = conn.WriteToUDPAddrPort(buffer[:n], from)
				continue
			}
			inner, _, _, _ := protocol.DecodeGRE(buffer[:n], make([]byte, 16))
			packet, _ := decoder.Decode(inner)
			switch {
			case packet.Source == to:
				protocol.RewriteSource(inner, endpoint(serviceText))
			case refuse:
				inner = protocol.BuildUnreachable(inner, packet)
			default:
				protocol.RewriteDestination(inner, to)
			}
			_, _ = conn.WriteToUDPAddrPort(protocol.AppendGRE(nil, inner), from)
		}
	}()
	return platform.VM{
		Name: "vm-" + conn.LocalAddr().String(), Place: "pl-a",
		DataAddress: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
	}
}

type path struct {
	fabric  *fabric.Fabric
	targets map[string]*target.Target
	caller  *Caller
	// stop stops the targets; stopped has their results.
	stop    context.CancelFunc
	stopped chan error
}

// startPath runs a fabric, two services with a target each, and a caller of the first.
func startPath(t *testing.T, vms ...platform.VM) *path {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	carrier, err := fabric.New(fabric.Options{
		ListenAddress: "127.0.0.1:0", Store: vmStore{vms: vms},
		KeepaliveInterval: 20 * time.Millisecond, FailureThreshold: 2, Seed: 1, Logger: log.NewNopLogger(),
	})
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() { carrier.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	p := &path{fabric: carrier, targets: map[string]*target.Target{}, stopped: make(chan error, 2)}
	serving, stop := context.WithCancel(ctx)
	p.stop = stop
	t.Cleanup(stop)
	addresses := []netip.Addr{endpoint(rightText).AddrPort().Addr(), endpoint(wrongText).AddrPort().Addr()}
	targets, err := fabric.Attach(ctx, carrier.Addr().String(), "pl-a", addresses)
	assert.NilError(t, err)
	for name, address := range map[string]string{"quote-desk": rightText, "stock-registry": wrongText} {
		running, err := target.New(targets, target.Options{
			Name: name + "-1", Service: name, Endpoint: netip.MustParseAddrPort(address),
			Slots: 2, Connections: 100, Queue: 100, Grace: time.Second,
		})
		assert.NilError(t, err)
		p.targets[name] = running
		go func() { p.stopped <- running.Run(serving) }()
	}
	own := netip.MustParseAddr("10.9.0.1")
	callers, err := fabric.Attach(ctx, carrier.Addr().String(), "pl-a", []netip.Addr{own})
	assert.NilError(t, err)
	p.caller = New(callers, Options{Address: own, Service: "quote-desk", Endpoint: netip.MustParseAddrPort(serviceText), Prefix: "t"})
	for len(carrier.Counts().Live) < len(vms) {
		time.Sleep(time.Millisecond)
	}
	return p
}

// Guards against stand-ins that lose or alter answers on a path that is sound,
// even when the fabric loses, doubles and reorders packets.
func TestSoundPathGivesWholeAnswers(t *testing.T) {
	p := startPath(t, startForwarder(t, endpoint(rightText), false), startForwarder(t, endpoint(rightText), false))
	p.fabric.SetFaults(fabric.Faults{DropPermille: 10, DuplicatePermille: 20, ReorderPermille: 20})
	ctx, cancel := context.WithCancel(context.Background())
	session := NewSession(p.caller, SessionOptions{
		Work:     Work{WorkMS: 1, Bytes: 20000, Upload: 5000},
		Requests: 20, Concurrency: 5, Feeds: 6, IdleFeeds: 3, Interval: 20 * time.Millisecond,
	})
	go func() {
		for r := p.caller.Report(); r.Whole+r.Unknown+r.Broken+r.Foreign < 20; r = p.caller.Report() {
			time.Sleep(time.Millisecond)
		}
		session.Wake()
		cancel()
	}()
	report := session.Run(ctx)
	assert.Assert(t, report.IsClean(), "%+v", report)
	assert.Equal(t, report.Echoes, uint64(12))
	counts := p.fabric.Counts()
	assert.Assert(t, counts.Dropped > 0 && counts.Duplicated > 0 && counts.Reordered > 0)
	assert.Equal(t, len(counts.Sprayed), 2)
	for id, runs := range p.targets["quote-desk"].Report().Runs {
		assert.Equal(t, runs, 1, "request %s", id)
	}
}

// Guards against a caller that does not notice an answer from another service.
func TestAnswerOfAnotherServiceIsForeign(t *testing.T) {
	p := startPath(t, startForwarder(t, endpoint(wrongText), false))
	p.caller.Request(context.Background(), Work{Bytes: 100})
	assert.Equal(t, p.caller.Report().Foreign, uint64(1))
	assert.Equal(t, p.targets["stock-registry"].Report().WrongService, uint64(1))
}

// Guards against a refusal that the caller takes for anything but "not run".
func TestRefusedOpenerIsNotRun(t *testing.T) {
	p := startPath(t, startForwarder(t, endpoint(rightText), true))
	p.caller.Request(context.Background(), Work{Bytes: 100})
	report := p.caller.Report()
	assert.Equal(t, report.NotRun, uint64(1))
	assert.Equal(t, len(report.NotRunIDs), 1)
	assert.Equal(t, len(p.targets["quote-desk"].Report().Runs), 0)
}

// Guards against a lost connection that is not counted as broken.
func TestCutFeedIsBroken(t *testing.T) {
	p := startPath(t, startForwarder(t, endpoint(rightText), false))
	feed := p.caller.OpenFeed(context.Background(), 0)
	p.fabric.SetFaults(fabric.Faults{Partitions: [][2]string{{"pl-a", "10.1.0.1"}}})
	feed.flow.quic.CloseWithError(1, "stands for a reset")
	feed.Finish()
	assert.Equal(t, p.caller.Report().Broken, uint64(1))
	// The packet with the close reaches the fabric after the call returns.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.fabric.Counts().Partitioned > 0 {
			return poll.Success()
		}
		return poll.Continue("no packet cut")
	})
}

// Guards against a target whose graceful stop cuts a request or a feed.
func TestGracefulStopOfTargetCutsNothing(t *testing.T) {
	p := startPath(t, startForwarder(t, endpoint(rightText), false))
	feed := p.caller.OpenFeed(context.Background(), 0)
	finished := make(chan struct{})
	go func() {
		p.caller.Request(context.Background(), Work{WorkMS: 100, Bytes: 200000})
		close(finished)
	}()
	for p.targets["quote-desk"].Report().Busy == 0 {
		time.Sleep(time.Millisecond)
	}
	p.stop()
	assert.NilError(t, <-p.stopped)
	assert.NilError(t, <-p.stopped)
	<-finished
	feed.Finish()
	report := p.caller.Report()
	assert.Assert(t, report.IsClean(), "%+v", report)
}
