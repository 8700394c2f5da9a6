package transport

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/settings"
)

var (
	caller  = protocol.Endpoint{IP: [4]byte{192, 0, 2, 7}, Port: 40001}
	service = protocol.Endpoint{IP: [4]byte{203, 0, 113, 1}, Port: 443}
	target  = protocol.Endpoint{IP: [4]byte{10, 1, 2, 3}, Port: 8443}
	syn     = protocol.BuildTCP(caller, service, protocol.Segment{Seq: 77, SYN: true})
)

// fakeCore returns the same decision for each packet and counts calls. If no decision
// is set, it drops packets with the reason "test".
type fakeCore struct {
	coordination.Core
	decision       atomic.Pointer[coordination.Decision]
	handledPackets atomic.Int64
	freezeCount    atomic.Int64
	confirmCount   atomic.Int64
}

func (c *fakeCore) Handle(time.Time, coordination.Ingress) coordination.Decision {
	c.handledPackets.Add(1)
	if d := c.decision.Load(); d != nil {
		return *d
	}
	return coordination.Decision{Reason: "test"}
}

func (c *fakeCore) setDecision(d coordination.Decision) {
	d.Reason = "test"
	c.decision.Store(&d)
}

func (c *fakeCore) SetView(time.Time, coordination.View) {}
func (c *fakeCore) Tick(time.Time)                       {}
func (c *fakeCore) FlowCount() int                       { return 0 }
func (c *fakeCore) HandleFreeze(time.Time)               { c.freezeCount.Add(1) }
func (c *fakeCore) ConfirmView()                         { c.confirmCount.Add(1) }

// fakeControlPlane is a control plane without peers that counts calls.
type fakeControlPlane struct {
	refreshCount atomic.Int64
	leaveCount   atomic.Int64
	// failRefresh makes Refresh fail.
	failRefresh atomic.Bool
}

func (p *fakeControlPlane) Run(ctx context.Context) error { <-ctx.Done(); return nil }
func (p *fakeControlPlane) Refresh(context.Context) error {
	p.refreshCount.Add(1)
	if p.failRefresh.Load() {
		return errors.New("no peer responded")
	}
	return nil
}
func (p *fakeControlPlane) Leave(ctx context.Context) error { p.leaveCount.Add(1); return nil }

// fakeClock advances only when a test calls advance, so that delays on a busy machine
// are not detected as freezes.
type fakeClock struct {
	start   time.Time
	elapsed atomic.Int64
}

func (c *fakeClock) now() time.Time          { return c.start.Add(time.Duration(c.elapsed.Load())) }
func (c *fakeClock) advance(d time.Duration) { c.elapsed.Add(int64(d)) }

// logBuffer collects log messages and is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// harness is a balancer between a fabric socket and a peer socket.
type harness struct {
	t            testing.TB
	core         *fakeCore
	controlPlane *fakeControlPlane
	clock        *fakeClock
	b            *Balancer
	fabric       *net.UDPConn
	peer         *net.UDPConn
	logs         *logBuffer
}

func listen(t testing.TB) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// newHarness creates a balancer without starting it.
func newHarness(t testing.TB, core coordination.Core) *harness {
	h := &harness{t: t, controlPlane: &fakeControlPlane{}, clock: &fakeClock{start: time.Now()}, fabric: listen(t), peer: listen(t), logs: &logBuffer{}}
	h.core, _ = core.(*fakeCore)
	s := settings.Defaults()
	s.DataAddress = netip.MustParseAddrPort("127.0.0.1:0")
	s.FabricAddress = addressOf(h.fabric)
	s.FleetKey = []byte("0123456789abcdef")
	s.Timers.TickInterval = 10
	s.Timers.LeaveQuietPeriod = 0
	b, err := New(Options{Settings: s, Core: core, Logger: log.NewJSONLogger(h.logs), Now: h.clock.now})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = b.conn.Close() })
	h.b = b
	b.SetView(coordination.View{Members: []coordination.Member{{VM: "peer", DataAddress: addressOf(h.peer)}}})
	return h
}

// start runs the balancer. The returned function stops it and waits for its end.
func (h *harness) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.b.Run(ctx, h.controlPlane) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(h.t, <-done)
	})
	h.t.Cleanup(stop)
	return stop
}

// send sends datagrams to the balancer.
func (h *harness) send(from *net.UDPConn, datagrams ...[]byte) {
	for _, d := range datagrams {
		_, err := from.WriteToUDPAddrPort(d, h.b.Address())
		assert.NilError(h.t, err)
	}
}

// receive returns the next datagram at a socket. It fails the test if none arrives within 10 s.
func (h *harness) receive(conn *net.UDPConn) []byte {
	assert.NilError(h.t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	buffer := make([]byte, maxDatagramBytes)
	n, err := conn.Read(buffer)
	assert.NilError(h.t, err)
	return buffer[:n]
}

// waitForCounter waits until a counter has the wanted value.
func (h *harness) waitForCounter(group, name string, want int64) {
	h.t.Helper()
	h.waitForValue(func() int64 { return h.b.Counter(group, name) }, want)
}

// waitForValue waits until value returns the wanted value.
func (h *harness) waitForValue(value func() int64, want int64) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if got := value(); got != want {
			return poll.Continue("got %d, want %d; counters: %s", got, want, h.b.stats.counters)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// droppedPackets returns the number of packets dropped for any reason.
func (h *harness) droppedPackets() int64 {
	total := int64(0)
	h.b.EachCounter(func(group, _ string, value int64) {
		if group == "drop" {
			total += value
		}
	})
	return total
}

// expectForward sends a packet and checks that the next datagram at the fabric is not a keepalive.
func (h *harness) expectForward() {
	h.send(h.fabric, protocol.AppendGRE(nil, syn))
	assert.Assert(h.t, !protocol.IsKeepalive(h.receive(h.fabric)))
}
