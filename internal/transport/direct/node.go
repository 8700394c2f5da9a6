// Package direct runs a balancer whose targets answer callers directly (direct
// server return). It reads datagrams from the fabric, passes their packets to the
// dispatcher of package dsr and executes the decisions.
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

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
	"github.com/kumquatworks/kumquatworks/internal/transport/backlog"
)

const (
	// maxDatagramBytes is the maximum size of a packet including its header.
	maxDatagramBytes = 2048
	// receiveBufferBytes is the size of the kernel receive buffer. It holds the packets
	// of one second at ten times the load of one balancer.
	receiveBufferBytes = 4 << 20
	// tickInterval is the interval at which flows are expired and freezes are detected.
	tickInterval = 100 * time.Millisecond
	// freezeGap is the time between two ticks from which the process counts as frozen or the
	// machine as suspended. Missing answers then do not indicate that a target failed,
	// because the process may not have been running.
	freezeGap = 400 * time.Millisecond
	// readHeaderTimeout limits the time for reading the headers of a readiness request.
	readHeaderTimeout = time.Second
	// readErrorDelay is the delay after a read error. It keeps a broken socket from using
	// a whole core.
	readErrorDelay = 10 * time.Millisecond

	// maxQueuedDatagrams limits the number of datagrams that are queued until routes and
	// targets are known, maxQueuedAge their age. Callers retransmit an opener 200 and
	// 600 ms after the first transmission.
	maxQueuedDatagrams = 512
	maxQueuedAge       = 400 * time.Millisecond

	// minLeaveDuration is the minimum time for which a leaving balancer continues to
	// forward. Routers probe readiness twice a second and need two failed probes.
	minLeaveDuration = 1500 * time.Millisecond
	// leaveQuietPeriod is the time without packets after which a leaving balancer assumes
	// that no router sends to it any more.
	leaveQuietPeriod = 500 * time.Millisecond
	// maxDrainedDatagrams is the number of received datagrams that a stopping node still
	// forwards.
	maxDrainedDatagrams = 1 << 14
	// shutdownReserve is the part of the grace period that is kept for the shutdown after
	// forwarding has ended.
	shutdownReserve = time.Second
)

// Codec decodes and encodes the datagrams of the fabric.
type Codec interface {
	// Decode decodes a caller's packet. The text of a returned error is used as a counter name.
	Decode(data []byte) (dsr.Packet, error)
	// AppendForward appends the datagram that carries a packet to a target.
	AppendForward(out, data []byte, incarnation uint64, token dsr.Token) []byte
	// AppendReset appends the datagram that resets the flow of a packet.
	AppendReset(out []byte, p dsr.Packet) []byte
}

// Options are the parameters of a Node.
type Options struct {
	// PacketAddress is the address that receives datagrams from the fabric. Resets are
	// sent to the same port at the caller.
	PacketAddress netip.AddrPort
	// ReadyAddress and ReadyPath are the HTTP address and path of the readiness probe.
	ReadyAddress netip.AddrPort
	ReadyPath    string
	// GracePeriod is the time after which a leaving process is killed.
	GracePeriod time.Duration
	Codec       Codec
	Dispatcher  *dsr.Dispatcher
	Logger      log.Logger
	// Tracer writes a span for each packet of the flows that it samples. Nil disables tracing.
	Tracer *telemetry.Tracer
	// Clock is the clock of the node, nil for the machine's.
	Clock *boottime.Clock
}

// Node is a running balancer.
type Node struct {
	options       Options
	conn          *net.UDPConn
	readyListener net.Listener
	stats         *stats
	leaving       atomic.Bool
	// lastPacketAt is the time of the last datagram, in nanoseconds since startedAt.
	lastPacketAt atomic.Int64
	startedAt    time.Time

	// mu serialises the handling of datagrams and protects the fields below.
	mu         sync.Mutex
	sendBuffer []byte
	queue      []queuedDatagram
}

// queuedDatagram is a datagram that arrived before routes and targets were known.
type queuedDatagram struct {
	receivedAt time.Time
	data       []byte
}

// New creates a node and opens its sockets.
func New(o Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.PacketAddress))
	if err != nil {
		return nil, errors.Wrap(err, "listen on packet address")
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		level.Warn(o.Logger).Log("op", "start", "msg", "failed to set the size of the receive buffer", "err", err)
	}
	readyListener, err := net.Listen("tcp4", o.ReadyAddress.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen on readiness address")
	}
	o.Logger = log.With(o.Logger, "caller", log.Caller(logCallerDepth))
	if o.Clock == nil {
		o.Clock = boottime.NewClock(nil)
	}
	return &Node{
		options:       o,
		conn:          conn,
		readyListener: readyListener,
		stats:         newStats(),
		startedAt:     o.Clock.Refresh(),
		sendBuffer:    make([]byte, 0, maxDatagramBytes),
	}, nil
}

// Run forwards packets until ctx ends and the node has left.
func (n *Node) Run(ctx context.Context) error {
	server := &http.Server{Handler: n.readinessHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(n.readyListener) }() // returns ErrServerClosed after Close
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
			n.log(level.Error, "stop", "failed to interrupt reads of the packet socket", "err", err)
		}
	}()
	n.readLoop(forwardCtx)
	n.drainReceiveBuffer()
	return errors.Wrap(n.conn.Close(), "close the packet socket")
}

// readinessHandler answers the readiness probes of the routers. A leaving node is not
// ready but continues to forward.
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
	case <-n.options.Dispatcher.Ready():
		return true
	default:
		return false
	}
}

// flushQueueWhenReady waits until routes and targets are known, then handles the queued
// datagrams that are not older than maxQueuedAge.
func (n *Node) flushQueueWhenReady(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.options.Dispatcher.Ready():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	n.log(level.Info, "ready", "routes and targets are known; handling queued datagrams", "after", now.Sub(n.startedAt), "held", len(n.queue))
	for _, queued := range n.queue {
		if now.Sub(queued.receivedAt) <= maxQueuedAge {
			n.handleDatagram(now, queued.data)
		}
	}
	n.queue = nil
}

// enqueue copies a datagram into the queue, where it waits until routes and targets are
// known. It drops the datagram if the queue is full.
func (n *Node) enqueue(now time.Time, datagram []byte) {
	if len(n.queue) >= maxQueuedDatagrams {
		n.stats.count("hold", "full")
		return
	}
	n.stats.count("hold", "held")
	n.queue = append(n.queue, queuedDatagram{receivedAt: now, data: append([]byte(nil), datagram...)})
}

// leave marks the node as leaving and waits until the routers send no more packets, or
// until only shutdownReserve is left of the grace period.
func (n *Node) leave() {
	n.leaving.Store(true)
	start := n.options.Clock.Now()
	n.log(level.Info, "leave", "leaving; forwarding until the routers send no more packets")
	timeout := max(n.options.GracePeriod-shutdownReserve, 0)
	elapsed := time.Duration(0)
	for elapsed < timeout {
		time.Sleep(tickInterval)
		now := n.options.Clock.Now()
		elapsed = now.Sub(start)
		sinceLastPacket := now.Sub(n.startedAt) - time.Duration(n.lastPacketAt.Load())
		if elapsed >= minLeaveDuration && sinceLastPacket >= leaveQuietPeriod {
			break
		}
	}
	n.log(level.Info, "stop", "stopped forwarding", "after", elapsed)
}

// tickLoop calls the periodic tick of the dispatcher and detects freezes until ctx ends.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := n.options.Clock.Refresh()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.options.Clock.Refresh()
		if now.Sub(lastTick) >= freezeGap {
			n.options.Dispatcher.HandleFreeze(now)
		}
		lastTick = now
		n.options.Dispatcher.Tick(now)
		n.logEvents()
	}
}

// readLoop reads and handles datagrams until ctx ends.
func (n *Node) readLoop(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			n.log(level.Error, "read", "failed to read from the packet socket", "err", err)
			time.Sleep(readErrorDelay)
			continue
		}
		n.receiveDatagram(buffer[:size])
	}
}

// receiveDatagram handles a datagram that was just read.
func (n *Node) receiveDatagram(datagram []byte) {
	now := n.options.Clock.Now()
	n.lastPacketAt.Store(int64(now.Sub(n.startedAt)))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleDatagram(now, datagram)
}

// drainReceiveBuffer handles the datagrams that were received before forwarding ended. The
// routers may still send when the grace period ends, if no other node is ready.
func (n *Node) drainReceiveBuffer() {
	buffer := make([]byte, maxDatagramBytes)
	err := backlog.Read(n.conn, buffer, maxDrainedDatagrams, func(size int) { n.receiveDatagram(buffer[:size]) })
	if err != nil {
		n.log(level.Error, "stop", "failed to empty the receive buffer", "err", err)
	}
}

// handleDatagram decodes one datagram, executes the decision about it and records the
// outcome. Datagrams that arrive before routes and targets are known are queued.
func (n *Node) handleDatagram(now time.Time, datagram []byte) {
	p, err := n.options.Codec.Decode(datagram)
	if err != nil {
		n.stats.count("malformed", err.Error())
		return
	}
	d := n.options.Dispatcher.Handle(now, p)
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
	n.stats.handlingTime.Record(n.options.Clock.Now().Sub(now))
	n.recordSpan(now, p, d)
}

// recordSpan records the trace span of a packet if its flow is sampled.
func (n *Node) recordSpan(start time.Time, p dsr.Packet, d dsr.Decision) {
	if !n.options.Tracer.Sampled(p.Flow) {
		return
	}
	span := telemetry.PacketSpan{Flow: p.Flow, Start: start, End: n.options.Clock.Now(), Action: d.Action.String(), Reason: string(d.Reason)}
	if d.Action == dsr.ActionForward {
		span.Target = d.Target.Endpoint
	}
	n.options.Tracer.Record(span)
}

// send sends the contents of sendBuffer.
func (n *Node) send(to protocol.Endpoint) error {
	_, err := n.conn.WriteToUDPAddrPort(n.sendBuffer, to.AddrPort())
	return err
}
