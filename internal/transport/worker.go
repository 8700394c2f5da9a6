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
	// readErrorPause keeps a broken socket from taking a whole core.
	readErrorPause = 10 * time.Millisecond
)

// worker reads the data socket and handles one datagram at a time.
type worker struct {
	b       *Balancer
	decoder *protocol.Decoder
	in      []byte
	out     []byte
}

func newWorker(b *Balancer) *worker {
	return &worker{
		b:       b,
		decoder: protocol.NewDecoder(),
		in:      make([]byte, maxDatagramBytes),
		out:     make([]byte, 0, maxDatagramBytes),
	}
}

// read handles datagrams until ctx ends and the socket is closed.
func (w *worker) read(ctx context.Context) {
	defer w.b.gate.leave()
	for ctx.Err() == nil {
		w.b.gate.enter()
		n, from, err := w.b.conn.ReadFromUDPAddrPort(w.in)
		if err != nil {
			w.readFailed(err)
			continue
		}
		now := w.b.now()
		if !w.b.gate.fresh(now) {
			w.b.stats.drop(reasonStale)
			continue
		}
		w.handle(now, w.in[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// readFailed waits after an error that is not the end of the socket or an interruption.
func (w *worker) readFailed(err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.b.log(level.Error, "read", "data socket", "err", err)
	time.Sleep(readErrorPause)
}

// handle decodes a datagram, asks the decision code and carries out the outcome.
func (w *worker) handle(now time.Time, datagram []byte, from netip.AddrPort) {
	w.b.stats.receivedPackets.Add(1)
	w.b.stats.receivedBytes.Add(int64(len(datagram)))
	if protocol.IsKeepalive(datagram) {
		w.answerKeepalive(from)
		return
	}
	inner, hops, relayed, err := protocol.DecodeGRE(datagram, w.b.relayKey)
	if err != nil {
		w.b.stats.drop(err.Error())
		return
	}
	in := coordination.Ingress{Hops: hops}
	if relayed {
		in.From = from
	}
	if reason := w.b.checkSource(now, from, relayed); reason != "" {
		w.b.stats.drop(reason)
		return
	}
	if in.Packet, err = w.decoder.Decode(inner); err != nil {
		w.b.stats.drop(err.Error())
		return
	}
	d := w.b.core.Handle(now, in)
	reason := w.carryOut(inner, in, d)
	if reason != "" {
		d.Action, d.Reason = coordination.ActionDrop, coordination.Reason(reason)
	}
	w.count(in, d)
	if w.b.tracer.Enabled() {
		w.trace(now, in, d)
	}
}

// answerKeepalive tells the fabric that this balancer takes packets. A balancer
// without configuration or without knowledge of the others, or one that leaves,
// stays silent, and the fabric sends to others.
func (w *worker) answerKeepalive(from netip.AddrPort) {
	if from != w.b.settings.FabricAddress {
		w.b.stats.drop(reasonNotFabric)
		return
	}
	if w.b.leaving.Load() || !w.b.joined.Load() || w.b.table.Load() == nil {
		return
	}
	w.out = protocol.AppendKeepalive(w.out[:0])
	if reason := w.send(from); reason != "" {
		w.b.stats.drop(reason)
	}
}

// checkSource names the reason to drop a datagram because of its sender, or returns "".
func (b *Balancer) checkSource(now time.Time, from netip.AddrPort, relayed bool) string {
	if relayed {
		if _, member := (*b.members.Load())[from]; !member {
			return reasonNotMember
		}
		return ""
	}
	if from != b.settings.FabricAddress {
		return reasonNotFabric
	}
	b.fabricSeen.Store(int64(now.Sub(b.started)))
	return ""
}

// carryOut does what the decision says. It names the reason when the packet is
// dropped after all, or returns "".
func (w *worker) carryOut(inner []byte, in coordination.Ingress, d coordination.Decision) string {
	if !d.ResetTarget.IsZero() {
		w.cancel(inner, in.Packet, d.ResetTarget)
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
		if in.Hops >= protocol.MaxRelayHops {
			return reasonHops
		}
		w.out = protocol.AppendRelay(w.out[:0], inner, in.Hops+1, w.b.relayKey)
		return w.send(d.Peer)
	case coordination.ActionRefuse:
		return w.sendToFabric(protocol.BuildRefusal(inner, in.Packet))
	}
	return ""
}

func (w *worker) cancel(inner []byte, p protocol.Packet, target protocol.Endpoint) {
	reset, ok := protocol.BuildHalfOpenReset(inner, p, target)
	if !ok {
		w.b.stats.count(groupCancel, "not-possible", 1)
		return
	}
	w.b.stats.count(groupCancel, "reset", 1)
	if reason := w.sendToFabric(reset); reason != "" {
		w.b.stats.count(groupCancel, reason, 1)
	}
}

func (w *worker) sendToFabric(inner []byte) string {
	w.out = protocol.AppendGRE(w.out[:0], inner)
	return w.send(w.b.settings.FabricAddress)
}

func (w *worker) send(to netip.AddrPort) string {
	if _, err := w.b.conn.WriteToUDPAddrPort(w.out, to); err != nil {
		return reasonSendFailed
	}
	w.b.stats.sentPackets.Add(1)
	w.b.stats.sentBytes.Add(int64(len(w.out)))
	return ""
}

// count counts the outcome, and for packets that leave the fleet the number of relays they took.
func (w *worker) count(in coordination.Ingress, d coordination.Decision) {
	w.b.stats.count(actionNames[d.Action], string(d.Reason), 1)
	switch d.Action {
	case coordination.ActionForward, coordination.ActionReturn, coordination.ActionRefuse:
		w.b.stats.count(groupHops, hopNames[in.Hops], 1)
	}
}

func (w *worker) trace(start time.Time, in coordination.Ingress, d coordination.Decision) {
	flow, ok := w.b.flow(in.Packet)
	if !ok || !w.b.tracer.Sampled(flow) {
		return
	}
	hop := telemetry.Hop{
		Flow:   flow,
		Hops:   in.Hops,
		Start:  start,
		End:    w.b.now(),
		Action: actionNames[d.Action],
		Reason: string(d.Reason),
		Owner:  d.ByOwner,
	}
	if d.Action == coordination.ActionForward {
		hop.Target = d.Endpoint
	}
	if d.Action == coordination.ActionRelay {
		hop.Peer = d.Peer.String()
	}
	w.b.tracer.Record(hop)
}

// flow returns the flow of a packet of either direction, if its service is known.
func (b *Balancer) flow(p protocol.Packet) (protocol.FlowKey, bool) {
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
