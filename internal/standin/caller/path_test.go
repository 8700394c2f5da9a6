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
	serviceAddress     = "10.0.0.1:443"
	rightTargetAddress = "10.1.0.1:4433"
	wrongTargetAddress = "10.1.0.2:4433"
)

func mustParseEndpoint(text string) protocol.Endpoint {
	return protocol.NewEndpoint(netip.MustParseAddrPort(text))
}

// vmStore is a platform store that only lists VMs.
type vmStore struct {
	platform.Store
	vms []platform.VM
}

func (s vmStore) VMs(context.Context) ([]platform.VM, error) { return s.vms, nil }

// startForwarder runs a minimal balancer that forwards all flows to one target, or
// refuses all flows with an ICMP port unreachable message.
func startForwarder(t *testing.T, destination protocol.Endpoint, refuseAll bool) platform.VM {
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
			case packet.Source == destination:
				protocol.RewriteSource(inner, mustParseEndpoint(serviceAddress))
			case refuseAll:
				inner = protocol.BuildUnreachable(inner, packet)
			default:
				protocol.RewriteDestination(inner, destination)
			}
			_, _ = conn.WriteToUDPAddrPort(protocol.AppendGRE(nil, inner), from)
		}
	}()
	return platform.VM{
		Name: "vm-" + conn.LocalAddr().String(), Place: "pl-a",
		DataAddress: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
	}
}

// testbed is a fabric with the targets of two services and a caller of one of them.
type testbed struct {
	fabric  *fabric.Fabric
	targets map[string]*target.Target
	caller  *Caller
	// stopTargets stops all targets gracefully. Each sends its result to targetResults.
	stopTargets   context.CancelFunc
	targetResults chan error
}

// startTestbed runs a fabric, two services with one target each, and a caller of quote-desk.
func startTestbed(t *testing.T, vms ...platform.VM) *testbed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	network, err := fabric.New(fabric.Options{
		ListenAddress: "127.0.0.1:0", Store: vmStore{vms: vms},
		KeepaliveInterval: 20 * time.Millisecond, FailureThreshold: 2, Seed: 1, Logger: log.NewNopLogger(),
	})
	assert.NilError(t, err)
	fabricDone := make(chan struct{})
	go func() { network.Run(ctx); close(fabricDone) }()
	t.Cleanup(func() { cancel(); <-fabricDone })
	bed := &testbed{fabric: network, targets: map[string]*target.Target{}, targetResults: make(chan error, 2)}
	targetsCtx, stopTargets := context.WithCancel(ctx)
	bed.stopTargets = stopTargets
	t.Cleanup(stopTargets)
	addresses := []netip.Addr{mustParseEndpoint(rightTargetAddress).AddrPort().Addr(), mustParseEndpoint(wrongTargetAddress).AddrPort().Addr()}
	targetAttachment, err := fabric.Attach(ctx, network.Addr().String(), "pl-a", addresses)
	assert.NilError(t, err)
	for name, address := range map[string]string{"quote-desk": rightTargetAddress, "stock-registry": wrongTargetAddress} {
		server, err := target.New(targetAttachment, target.Options{
			Name: name + "-1", Service: name, Endpoint: netip.MustParseAddrPort(address),
			Slots: 2, MaxConnections: 100, MaxQueued: 100, GracePeriod: time.Second,
		})
		assert.NilError(t, err)
		bed.targets[name] = server
		go func() { bed.targetResults <- server.Run(targetsCtx) }()
	}
	callerAddress := netip.MustParseAddr("10.9.0.1")
	callerAttachment, err := fabric.Attach(ctx, network.Addr().String(), "pl-a", []netip.Addr{callerAddress})
	assert.NilError(t, err)
	bed.caller = New(callerAttachment, Options{Address: callerAddress, Service: "quote-desk", Endpoint: netip.MustParseAddrPort(serviceAddress), RequestIDPrefix: "t"})
	for len(network.Counts().Live) < len(vms) {
		time.Sleep(time.Millisecond)
	}
	return bed
}

// Guards against stand-ins that lose or alter responses, or run a request twice,
// although the path works and the fabric only drops, duplicates and reorders some packets.
func TestHealthyPathDeliversCompleteResponses(t *testing.T) {
	bed := startTestbed(t, startForwarder(t, mustParseEndpoint(rightTargetAddress), false), startForwarder(t, mustParseEndpoint(rightTargetAddress), false))
	bed.fabric.SetFaults(fabric.Faults{DropPermille: 10, DuplicatePermille: 20, ReorderPermille: 20})
	ctx, cancel := context.WithCancel(context.Background())
	session := NewSession(bed.caller, SessionOptions{
		Request:  RequestOptions{WorkMS: 1, ResponseBytes: 20000, UploadBytes: 5000},
		Requests: 20, Concurrency: 5, Feeds: 6, IdleFeeds: 3, FeedInterval: 20 * time.Millisecond,
	})
	go func() {
		for r := bed.caller.Report(); r.Complete+r.Unknown+r.Broken+r.Mismatched < 20; r = bed.caller.Report() {
			time.Sleep(time.Millisecond)
		}
		session.EchoAll()
		cancel()
	}()
	report := session.Run(ctx)
	assert.Assert(t, report.AllComplete(), "%+v", report)
	assert.Equal(t, report.Echoes, uint64(12))
	counts := bed.fabric.Counts()
	assert.Assert(t, counts.Dropped > 0 && counts.Duplicated > 0 && counts.Reordered > 0)
	assert.Equal(t, len(counts.Sprayed), 2)
	for id, runs := range bed.targets["quote-desk"].Report().Runs {
		assert.Equal(t, runs, 1, "request %s", id)
	}
}

// Guards against a caller that accepts a response from another service. Here the
// balancer forwards all flows to the target of the wrong service.
func TestResponseOfAnotherServiceIsMismatched(t *testing.T) {
	bed := startTestbed(t, startForwarder(t, mustParseEndpoint(wrongTargetAddress), false))
	bed.caller.Request(context.Background(), RequestOptions{ResponseBytes: 100})
	assert.Equal(t, bed.caller.Report().Mismatched, uint64(1))
	assert.Equal(t, bed.targets["stock-registry"].Report().WrongService, uint64(1))
}

// Guards against a caller that counts a request whose opener was refused elsewhere than in NotRun.
func TestRefusedOpenerIsCountedAsNotRun(t *testing.T) {
	bed := startTestbed(t, startForwarder(t, mustParseEndpoint(rightTargetAddress), true))
	bed.caller.Request(context.Background(), RequestOptions{ResponseBytes: 100})
	report := bed.caller.Report()
	assert.Equal(t, report.NotRun, uint64(1))
	assert.Equal(t, len(report.NotRunIDs), 1)
	assert.Equal(t, len(bed.targets["quote-desk"].Report().Runs), 0)
}

// Guards against a caller that does not count the loss of an established connection as
// broken. Here the caller closes the connection of the feed itself, to simulate a reset.
func TestLostFeedIsCountedAsBroken(t *testing.T) {
	bed := startTestbed(t, startForwarder(t, mustParseEndpoint(rightTargetAddress), false))
	feed := bed.caller.OpenFeed(context.Background(), 0)
	bed.fabric.SetFaults(fabric.Faults{Partitions: [][2]string{{"pl-a", "10.1.0.1"}}})
	feed.flow.quicConn.CloseWithError(1, "simulated reset")
	feed.Finish()
	assert.Equal(t, bed.caller.Report().Broken, uint64(1))
	// The packet with the CONNECTION_CLOSE frame reaches the fabric after CloseWithError returns.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if bed.fabric.Counts().Partitioned > 0 {
			return poll.Success()
		}
		return poll.Continue("the fabric has not dropped a packet because of the partition")
	})
}

// Guards against a target whose graceful stop interrupts a request in progress or an open feed.
func TestGracefulTargetStopInterruptsNothing(t *testing.T) {
	bed := startTestbed(t, startForwarder(t, mustParseEndpoint(rightTargetAddress), false))
	feed := bed.caller.OpenFeed(context.Background(), 0)
	requestDone := make(chan struct{})
	go func() {
		bed.caller.Request(context.Background(), RequestOptions{WorkMS: 100, ResponseBytes: 200000})
		close(requestDone)
	}()
	for bed.targets["quote-desk"].Report().BusySlots == 0 {
		time.Sleep(time.Millisecond)
	}
	bed.stopTargets()
	assert.NilError(t, <-bed.targetResults)
	assert.NilError(t, <-bed.targetResults)
	<-requestDone
	feed.Finish()
	report := bed.caller.Report()
	assert.Assert(t, report.AllComplete(), "%+v", report)
}
