// Package direct runs a balancer in front of targets that answer callers
// directly. It reads datagrams, asks the decision code and carries out the outcome.
package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

const (
	// maxDatagramBytes holds the largest packet with its head.
	maxDatagramBytes = 2048
	// receiveBufferBytes is the size of the kernel's receive buffer: a second of
	// packets at ten times the load of one balancer.
	receiveBufferBytes = 4 << 20
	// tickInterval is the interval at which flows expire and freezes are noticed.
	tickInterval = 100 * time.Millisecond
	// freezeGap is the pause between two ticks from which silence proves nothing,
	// because the process may not have run.
	freezeGap = 400 * time.Millisecond
	// headerTimeout bounds the reading of a request to the readiness address.
	readHeaderTimeout = time.Second
	// readErrorPause keeps a broken socket from taking a whole core.
	readErrorDelay = 10 * time.Millisecond

	// heldDatagrams bounds the datagrams that wait for routes and targets, heldAge
	// their age: callers repeat an opener 200 and 600 ms after the first.
	maxQueuedDatagrams = 512
	maxQueuedAge       = 400 * time.Millisecond

	// leaveLeast is how long a leaving balancer forwards at the least: routers probe
	// twice a second and need two misses.
	minLeaveDuration = 1500 * time.Millisecond
	// leaveQuiet is the silence after which no router sends to a leaving balancer any more.
	leaveQuietPeriod = 500 * time.Millisecond
	// leaveReserve is kept between the end of forwarding and the end of the grace time.
	shutdownReserve = time.Second
)

// Codec reads and writes the packets of the fabric.
type Codec interface {
	// Decode reads a caller's packet. The text of an error names a counter.
	Decode(data []byte) (dsr.Packet, error)
	// AppendForward appends the datagram that carries a packet to a target.
	AppendForward(out, data []byte, incarnation uint64, token dsr.Token) []byte
	// AppendReset appends the datagram that resets the flow of a packet.
	AppendReset(out []byte, p dsr.Packet) []byte
}

// Options are the parameters of a node.
type Options struct {
	// Packets receives datagrams from the fabric. Callers are reached at its port.
	PacketAddress netip.AddrPort
	// Ready is the address of the readiness probe, at ReadyPath.
	ReadyAddress netip.AddrPort
	ReadyPath    string
	// Grace is the time that a leaving process has before it is killed.
	GracePeriod time.Duration
	Codec       Codec
	Core        *dsr.Dispatcher
	Logger      log.Logger
	// Tracer writes a span for each packet of the flows that it samples; nil for none.
	Tracer *telemetry.Tracer
}

// Node is a running balancer.
type Node struct {
	options       Options
	conn          *net.UDPConn
	readyListener net.Listener
	stats         *stats
	leaving       atomic.Bool
	// packetAt is the time of the last datagram in nanoseconds since started.
	lastPacketAt atomic.Int64
	startedAt    time.Time

	// mu serialises the handling of datagrams.
	mu         sync.Mutex
	sendBuffer []byte
	queue      []queuedDatagram
}

// heldDatagram is a datagram that arrived before routes and targets were known.
type queuedDatagram struct {
	receivedAt time.Time
	data       []byte
}

// New opens the sockets of a node.
func New(o Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.PacketAddress))
	if err != nil {
		return nil, errors.Wrap(err, "packet address")
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		level.Warn(o.Logger).Log("op", "start", "msg", "receive buffer", "err", err)
	}
	readyListener, err := net.Listen("tcp4", o.ReadyAddress.String())
	if err != nil {
		return nil, errors.Wrap(err, "readiness address")
	}
	o.Logger = log.With(o.Logger, "caller", log.Caller(logCallerDepth))
	return &Node{
		options:       o,
		conn:          conn,
		readyListener: readyListener,
		stats:         newStats(),
		startedAt:     time.Now(),
		sendBuffer:    make([]byte, 0, maxDatagramBytes),
	}, nil
}

// Run forwards until ctx ends and the node has left.
func (n *Node) Run(ctx context.Context) error {
	server := &http.Server{Handler: n.readinessHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(n.readyListener) }() // ends with ErrServerClosed at the end
	defer server.Close()
	forwardCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.tickLoop(forwardCtx)
	go n.flushQueueWhenReady(forwardCtx)
	go func() {
		<-ctx.Done()
		n.leave()
		stop()
		if err := n.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			n.log(level.Error, "stop", "interrupt the reader", "err", err)
		}
	}()
	n.readLoop(forwardCtx)
	return errors.Wrap(n.conn.Close(), "close the packet socket")
}

// probes answers the routers. A leaving node is not ready but goes on forwarding.
func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() || !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) isReady() bool {
	select {
	case <-n.options.Core.Ready():
		return true
	default:
		return false
	}
}

// release handles the datagrams that arrived before routes and targets were known.
func (n *Node) flushQueueWhenReady(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.options.Core.Ready():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.log(level.Info, "ready", "routes and targets are known", "after", now.Sub(n.startedAt), "held", len(n.queue))
	for _, queued := range n.queue {
		if now.Sub(queued.receivedAt) <= maxQueuedAge {
			n.handleDatagram(now, queued.data)
		}
	}
	n.queue = nil
}

// hold keeps a datagram until routes and targets are known.
func (n *Node) enqueue(now time.Time, datagram []byte) {
	if len(n.queue) >= maxQueuedDatagrams {
		n.stats.count("hold", "full")
		return
	}
	n.stats.count("hold", "held")
	n.queue = append(n.queue, queuedDatagram{receivedAt: now, data: append([]byte(nil), datagram...)})
}

// leave waits until the routers send nothing more.
func (n *Node) leave() {
	n.leaving.Store(true)
	start := time.Now()
	n.log(level.Info, "leave", "forwards until the routers send no more packets")
	timeout := max(n.options.GracePeriod-shutdownReserve, 0)
	for time.Since(start) < timeout {
		time.Sleep(tickInterval)
		sinceLastPacket := time.Since(n.startedAt) - time.Duration(n.lastPacketAt.Load())
		if time.Since(start) >= minLeaveDuration && sinceLastPacket >= leaveQuietPeriod {
			break
		}
	}
	n.log(level.Info, "stop", "no longer forwards", "after", time.Since(start))
}

// tick runs the periodic work of the decision code and notices freezes.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastTick) >= freezeGap {
			n.options.Core.RecordFreeze(now)
		}
		lastTick = now
		n.options.Core.Tick(now)
		n.logEvents()
	}
}

// forward handles datagrams until ctx ends.
func (n *Node) readLoop(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			n.log(level.Error, "read", "packet socket", "err", err)
			time.Sleep(readErrorDelay)
			continue
		}
		now := time.Now()
		n.lastPacketAt.Store(int64(now.Sub(n.startedAt)))
		n.mu.Lock()
		n.handleDatagram(now, buffer[:size])
		n.mu.Unlock()
	}
}

// handle decides about one datagram.
func (n *Node) handleDatagram(now time.Time, datagram []byte) {
	p, err := n.options.Codec.Decode(datagram)
	if err != nil {
		n.stats.count("malformed", err.Error())
		return
	}
	d := n.options.Core.Handle(now, p)
	if d.Reason == dsr.ReasonNotReady {
		n.enqueue(now, datagram)
		return
	}
	n.stats.countDecision(d)
	var sendErr error
	switch d.Action {
	case dsr.ActionForward:
		n.sendBuffer = n.options.Codec.AppendForward(n.sendBuffer[:0], datagram, d.Target.Incarnation, d.Token)
		sendErr = n.send(d.Target.Endpoint)
	case dsr.ActionReset:
		n.sendBuffer = n.options.Codec.AppendReset(n.sendBuffer[:0], p)
		sendErr = n.send(protocol.Endpoint{IP: p.Flow.Caller.IP, Port: n.options.PacketAddress.Port()})
	}
	if sendErr != nil {
		n.stats.count("send", "failed")
		n.log(level.Error, "send", "datagram", "flow", p.Flow.Caller, "service", p.Flow.Service, "err", sendErr)
	}
	n.logDecision(p, d)
	n.stats.handlingTime.Record(time.Since(now))
	n.recordSpan(now, p, d)
}

// trace writes the span of a packet.
func (n *Node) recordSpan(start time.Time, p dsr.Packet, d dsr.Decision) {
	if !n.options.Tracer.Sampled(p.Flow) {
		return
	}
	hop := telemetry.Hop{Flow: p.Flow, Start: start, End: time.Now(), Action: d.Action.String(), Reason: string(d.Reason)}
	if d.Action == dsr.ActionForward {
		hop.Target = d.Target.Endpoint
	}
	n.options.Tracer.Record(hop)
}

func (n *Node) send(to protocol.Endpoint) error {
	_, err := n.conn.WriteToUDPAddrPort(n.sendBuffer, to.AddrPort())
	return err
}
