package transport

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

const (
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	// readErrorDelay is the delay after a read error. It keeps a broken socket from using
	// a whole core.
	readErrorDelay = 10 * time.Millisecond
)

// worker reads datagrams from the data socket and handles them one at a time.
type worker struct {
	b             *Balancer
	decoder       *protocol.Decoder
	receiveBuffer []byte
	sendBuffer    []byte
}

func newWorker(b *Balancer) *worker {
	return &worker{
		b:             b,
		decoder:       protocol.NewDecoder(),
		receiveBuffer: make([]byte, maxDatagramBytes),
		sendBuffer:    make([]byte, 0, maxDatagramBytes),
	}
}

// readLoop reads and handles datagrams until ctx ends and the socket is closed.
func (w *worker) readLoop(ctx context.Context) {
	defer w.b.gate.removeReader()
	for ctx.Err() == nil {
		w.b.gate.waitUntilOpen()
		n, from, err := w.b.conn.ReadFromUDPAddrPort(w.receiveBuffer)
		if err != nil {
			w.handleReadError(err)
			continue
		}
		now := w.b.now()
		if !w.b.gate.checkHeartbeat(now) {
			w.b.stats.countDrop(reasonReadAfterFreeze)
			continue
		}
		w.handleDatagram(now, w.receiveBuffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// handleReadError logs a read error and waits for readErrorDelay, unless the socket was
// closed or the read was interrupted by a deadline.
func (w *worker) handleReadError(err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.b.log(level.Error, "read", "failed to read from the data socket", "err", err)
	time.Sleep(readErrorDelay)
}

// handleDatagram decodes a datagram, passes it to the dispatcher and executes the decision.
func (w *worker) handleDatagram(now time.Time, datagram []byte, from netip.AddrPort) {
	w.b.stats.receivedPackets.Add(1)
	w.b.stats.receivedBytes.Add(int64(len(datagram)))
	if protocol.IsKeepalive(datagram) {
		w.answerKeepalive(from)
		return
	}
	inner, hops, relayed, err := protocol.DecodeGRE(datagram, w.b.relayKey)
	if err != nil {
		w.b.stats.countDrop(err.Error())
		return
	}
	ingress := coordination.Ingress{Hops: hops}
	if relayed {
		ingress.From = from
	}
	if reason := w.b.checkSource(now, from, relayed); reason != "" {
		w.b.stats.countDrop(reason)
		return
	}
	if ingress.Packet, err = w.decoder.Decode(inner); err != nil {
		w.b.stats.countDrop(err.Error())
		return
	}
	d := w.b.core.Handle(now, ingress)
	reason := w.execute(inner, ingress, d)
	if reason != "" {
		d.Action, d.Reason = coordination.ActionDrop, coordination.Reason(reason)
	}
	w.countOutcome(ingress, d)
	if w.b.tracer.Enabled() {
		w.recordSpan(now, ingress, d)
	}
}

// answerKeepalive answers a keepalive of the fabric. A balancer does not answer while
// it has no configuration, does not know the other balancers yet, or is leaving. The
// fabric then sends packets to other balancers.
func (w *worker) answerKeepalive(from netip.AddrPort) {
	if from != w.b.settings.FabricAddress {
		w.b.stats.countDrop(reasonNotFromFabric)
		return
	}
	if w.b.leaving.Load() || !w.b.joined.Load() || w.b.table.Load() == nil {
		return
	}
	w.sendBuffer = protocol.AppendKeepalive(w.sendBuffer[:0])
	if reason := w.send(from); reason != "" {
		w.b.stats.countDrop(reason)
	}
}

// checkSource returns the reason to drop a datagram because of its sender, or "" if the
// sender is allowed.
func (b *Balancer) checkSource(now time.Time, from netip.AddrPort, relayed bool) string {
	if relayed {
		if _, member := (*b.members.Load())[from]; !member {
			return reasonRelayFromNonMember
		}
		return ""
	}
	if from != b.settings.FabricAddress {
		return reasonNotFromFabric
	}
	b.lastFabricPacketAt.Store(int64(now.Sub(b.startedAt)))
	return ""
}

// execute carries out a decision. If the packet is dropped nevertheless, it returns the
// reason, otherwise "".
func (w *worker) execute(inner []byte, ingress coordination.Ingress, d coordination.Decision) string {
	if !d.ResetTarget.IsZero() {
		w.resetTarget(inner, ingress.Packet, d.ResetTarget)
	}
	switch d.Action {
	case coordination.ActionForward:
		if d.StripZeroRTT {
			if err := protocol.StripZeroRTT(inner); err != nil {
				return err.Error()
			}
		}
		protocol.RewriteDestination(inner, d.Endpoint)
		return w.sendToFabric(inner)
	case coordination.ActionReturn:
		protocol.RewriteSource(inner, d.Endpoint)
		return w.sendToFabric(inner)
	case coordination.ActionRelay:
		if ingress.Hops >= protocol.MaxRelayHops {
			return reasonHopsExhausted
		}
		w.sendBuffer = protocol.AppendRelay(w.sendBuffer[:0], inner, ingress.Hops+1, w.b.relayKey)
		return w.send(d.Peer)
	case coordination.ActionRefuse:
		return w.sendToFabric(protocol.BuildRefusal(inner, ingress.Packet))
	}
	return ""
}

// resetTarget sends a reset to a target that holds a half-open connection of the
// flow, if one can be formed from this packet.
func (w *worker) resetTarget(inner []byte, p protocol.Packet, target protocol.Endpoint) {
	reset, ok := protocol.BuildTargetReset(inner, p, target)
	if !ok {
		w.b.stats.add(groupTargetReset, "not-possible", 1)
		return
	}
	w.b.stats.add(groupTargetReset, "reset", 1)
	if reason := w.sendToFabric(reset); reason != "" {
		w.b.stats.add(groupTargetReset, reason, 1)
	}
}

// sendToFabric encapsulates a packet and sends it to the fabric. It returns the reason
// if sending fails, otherwise "".
func (w *worker) sendToFabric(inner []byte) string {
	w.sendBuffer = protocol.AppendGRE(w.sendBuffer[:0], inner)
	return w.send(w.b.settings.FabricAddress)
}

// send sends the contents of sendBuffer. It returns the reason if sending fails,
// otherwise "".
func (w *worker) send(to netip.AddrPort) string {
	if _, err := w.b.conn.WriteToUDPAddrPort(w.sendBuffer, to); err != nil {
		return reasonSendFailed
	}
	w.b.stats.sentPackets.Add(1)
	w.b.stats.sentBytes.Add(int64(len(w.sendBuffer)))
	return ""
}

// countOutcome counts a packet by action and reason. It also counts packets that leave
// the fleet by the number of relays that they passed.
func (w *worker) countOutcome(ingress coordination.Ingress, d coordination.Decision) {
	w.b.stats.add(actionNames[d.Action], string(d.Reason), 1)
	switch d.Action {
	case coordination.ActionForward, coordination.ActionReturn, coordination.ActionRefuse:
		w.b.stats.add(groupHops, hopCounterNames[ingress.Hops], 1)
	}
}

// recordSpan records the trace span of a packet if its flow is sampled.
func (w *worker) recordSpan(start time.Time, ingress coordination.Ingress, d coordination.Decision) {
	flow, ok := w.b.flowKey(ingress.Packet)
	if !ok || !w.b.tracer.Sampled(flow) {
		return
	}
	span := telemetry.PacketSpan{
		Flow:   flow,
		Hops:   ingress.Hops,
		Start:  start,
		End:    w.b.now(),
		Action: actionNames[d.Action],
		Reason: string(d.Reason),
		Owner:  d.ByOwner,
	}
	if d.Action == coordination.ActionForward {
		span.Target = d.Endpoint
	}
	if d.Action == coordination.ActionRelay {
		span.Peer = d.Peer.String()
	}
	w.b.tracer.Record(span)
}

// flowKey returns the flow key of a packet of either direction. It returns false if the
// service of the packet is not in the service table.
func (b *Balancer) flowKey(p protocol.Packet) (protocol.FlowKey, bool) {
	table := b.table.Load()
	if table == nil {
		return protocol.FlowKey{}, false
	}
	if table.Service(state.Address{Endpoint: p.Destination, Transport: p.Transport}) != nil {
		return protocol.FlowKey{Caller: p.Source, Service: p.Destination, Transport: p.Transport}, true
	}
	target := table.Target(state.Address{Endpoint: p.Source, Transport: p.Transport})
	if target == nil {
		return protocol.FlowKey{}, false
	}
	return protocol.FlowKey{Caller: p.Destination, Service: target.Service.Address.Endpoint, Transport: p.Transport}, true
}
