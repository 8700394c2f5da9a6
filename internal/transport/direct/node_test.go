package direct

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// testCodec is a codec for tests. A packet is one byte for its kind, followed by the
// caller's port.
type testCodec struct{}

const openerByte, dataByte = 'o', 'd'

var testService = protocol.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

func (testCodec) Decode(data []byte) (dsr.Packet, error) {
	if len(data) != 3 {
		return dsr.Packet{}, errors.New("length")
	}
	p := dsr.Packet{Opener: data[0] == openerByte, Token: 0}
	p.Flow.Caller = protocol.Endpoint{IP: [4]byte{127, 0, 0, 1}, Port: binary.BigEndian.Uint16(data[1:])}
	p.Flow.Service = testService
	return p, nil
}

func (testCodec) AppendForward(out, data []byte, _ uint64, _ dsr.Token) []byte {
	return append(append(out, 'f'), data...)
}

func (testCodec) AppendReset(out []byte, p dsr.Packet) []byte { return append(out, 'r') }

// testNode is a node with one caller and one target, all on loopback.
type testNode struct {
	t          *testing.T
	dispatcher *dsr.Dispatcher
	node       *Node
	target     *net.UDPConn
	caller     *net.UDPConn
	stop       context.CancelFunc
	done       chan error
}

func startNode(t *testing.T) *testNode { return startNodeWithClock(t, nil) }

func startNodeWithClock(t *testing.T, clock *boottime.Clock) *testNode {
	return startNodeWithOptions(t, Options{Clock: clock, GracePeriod: 6 * time.Second})
}

// startNodeWithOptions starts a node with sockets on loopback and the given clock and grace
// period.
func startNodeWithOptions(t *testing.T, o Options) *testNode {
	target, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	dispatcher := dsr.NewDispatcher(dsr.Options{Place: "a", MaxFlowLifetime: time.Minute})
	o.PacketAddress = netip.MustParseAddrPort("127.0.0.1:0")
	o.ReadyAddress = netip.MustParseAddrPort("127.0.0.1:0")
	o.ReadyPath = "/ready"
	o.Codec, o.Dispatcher, o.Logger = testCodec{}, dispatcher, log.NewNopLogger()
	node, err := New(o)
	assert.NilError(t, err)
	caller, err := net.DialUDP("udp4", nil, node.conn.LocalAddr().(*net.UDPAddr))
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{t: t, dispatcher: dispatcher, node: node, target: target, caller: caller, stop: stop, done: make(chan error, 1)}
	go func() { n.done <- node.Run(ctx) }()
	t.Cleanup(func() { target.Close(); caller.Close(); stop() })
	return n
}

func (n *testNode) send(kind byte, port uint16) {
	_, err := n.caller.Write(binary.BigEndian.AppendUint16([]byte{kind}, port))
	assert.NilError(n.t, err)
}

// receive reads one datagram at the target. The timeout only ends a test that fails.
func (n *testNode) receive() []byte {
	assert.NilError(n.t, n.target.SetReadDeadline(time.Now().Add(30*time.Second)))
	buffer := make([]byte, 100)
	size, err := n.target.Read(buffer)
	assert.NilError(n.t, err)
	return buffer[:size]
}

// setRoutesAndTargets makes the node ready with one route and one target.
func (n *testNode) setRoutesAndTargets() {
	n.dispatcher.SetRoutes(dsr.RouteSet{Version: 1, Routes: []*dsr.Route{{Name: "r", Address: testService,
		Backends: []dsr.Backend{{Service: "web", Weight: 1}}}}})
	n.dispatcher.ApplyListing(time.Now(), dsr.Listing{Revision: 1, Targets: []dsr.Announcement{{ID: "i-1", Service: "web", Slots: 1,
		Endpoint: protocol.NewEndpoint(n.target.LocalAddr().(*net.UDPAddr).AddrPort())}}})
}

// readyStatus returns the HTTP status code of a readiness probe.
func (n *testNode) readyStatus() int {
	response, err := http.Get(fmt.Sprintf("http://%s/ready", n.node.readyListener.Addr()))
	assert.NilError(n.t, err)
	response.Body.Close()
	return response.StatusCode
}

// Guards against losing openers that arrive before routes and targets are known. After a
// power loss, all callers open their flows at once.
func TestOpenersBeforeReadinessAreQueued(t *testing.T) {
	n := startNode(t)
	assert.Equal(t, n.readyStatus(), http.StatusServiceUnavailable)
	n.send(openerByte, 1000)
	for n.node.stats.counters.Value("hold", "held") == 0 {
		time.Sleep(time.Millisecond)
	}
	n.setRoutesAndTargets()
	assert.Assert(t, bytes.Equal(n.receive(), []byte{'f', openerByte, 1000 >> 8, 1000 & 0xff}))
	assert.Equal(t, n.readyStatus(), http.StatusOK)
}

// Guards against a leaving balancer that still answers readiness probes with success,
// or that drops the packets which routers send until their probes have failed.
func TestLeavingNodeForwardsWhileNotReady(t *testing.T) {
	n := startNode(t)
	n.setRoutesAndTargets()
	n.send(openerByte, 1000)
	n.receive()
	n.stop()
	for !n.node.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, n.readyStatus(), http.StatusServiceUnavailable)
	n.send(openerByte, 1001)
	assert.Assert(t, bytes.Equal(n.receive(), []byte{'f', openerByte, 1001 >> 8, 1001 & 0xff}))
	assert.NilError(t, <-n.done)
}

// Guards against a planned stop under load that discards the packets which the node has
// received but not yet read. The routers may still send when the grace period ends.
func TestStopForwardsReceivedPackets(t *testing.T) {
	const packets = 200
	n := startNodeWithOptions(t, Options{GracePeriod: shutdownReserve})
	n.setRoutesAndTargets()
	n.node.mu.Lock() // blocks the reader, so that packets wait in the socket
	for i := range packets {
		n.send(openerByte, uint16(1000+i))
	}
	n.stop()
	time.Sleep(2 * tickInterval) // the node stops forwarding at once, as its grace period has no time for more
	n.node.mu.Unlock()
	for range packets {
		n.receive()
	}
	assert.NilError(t, <-n.done)
}

// Guards against malformed datagrams that end the reader or are not counted.
func TestMalformedDatagramDoesNotStopReader(t *testing.T) {
	n := startNode(t)
	n.setRoutesAndTargets()
	_, err := n.caller.Write([]byte("xxxxx"))
	assert.NilError(t, err)
	n.send(openerByte, 1000)
	n.receive()
	assert.Equal(t, n.node.stats.counters.Value("malformed", "length"), int64(1))
}

// Guards against a suspension of the machine that goes unnoticed: the answers that callers
// missed meanwhile would count as failures of the targets.
func TestSuspensionIsFreeze(t *testing.T) {
	var suspended atomic.Int64
	n := startNodeWithClock(t, boottime.NewClock(func() time.Time { return boottime.Now().Add(time.Duration(suspended.Load())) }))
	n.setRoutesAndTargets()
	freezes := func() int64 { return n.node.stats.counters.Value("belief", string(dsr.EventFreeze)) }
	for range 100 { // the first suspensions may precede the first tick
		if freezes() > 0 {
			return
		}
		suspended.Add(int64(20 * time.Second))
		time.Sleep(2 * tickInterval)
	}
	t.Fatal("no suspension counted as a freeze")
}

// Guards against a data race between an update of a target and a packet that is being
// sent to it: the packet could be sent with a mixture of the old and the new entry.
// The race detector reports it.
func TestConcurrentTargetUpdate(t *testing.T) {
	n := startNode(t)
	n.setRoutesAndTargets()
	address := protocol.NewEndpoint(n.target.LocalAddr().(*net.UDPAddr).AddrPort())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 200 {
			n.dispatcher.ApplyListing(time.Now(), dsr.Listing{Revision: uint64(i + 2), Targets: []dsr.Announcement{{ID: "i-1", Service: "web",
				Slots: 1 + i%2, Revision: uint64(i + 2), Endpoint: address}}})
		}
	}()
	for i := range 200 {
		n.send(openerByte, uint16(2000+i))
		n.receive()
	}
	<-done
}
