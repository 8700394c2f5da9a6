package transport

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// dispatcherHarness is a harness with the real dispatcher. Its balancer is the only
// member of the view.
type dispatcherHarness struct {
	*harness
	worker *worker
	now    time.Time
}

// newDispatcherHarness creates a balancer with one service and 14 targets.
func newDispatcherHarness(t testing.TB) *dispatcherHarness {
	core := coordination.NewDispatcher(coordination.Options{Self: "vm-1", Place: "pl-a", Seed: 1})
	h := newHarness(t, core)
	h.b.SetView(coordination.View{Members: []coordination.Member{{VM: "vm-1", Place: "pl-a", DataAddress: h.b.Address()}}})
	set := objects.Set{
		Services: []objects.Service{{
			Name: "quote-desk", Address: netip.AddrFrom4(service.IP), Port: service.Port,
			Protocol: objects.ProtocolTCP, Pool: "quotes", Preference: objects.PreferenceAffinity,
		}},
		Pools: []objects.Pool{{Name: "quotes", Slots: 2, Connections: 1 << 20}},
	}
	for i := range 14 {
		set.Targets = append(set.Targets, objects.Target{
			Name: "quote-" + string(rune('a'+i)), Pool: "quotes", Place: "pl-a",
			Address: netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), Port: 8443, Weight: 100,
		})
	}
	table, err := state.NewTable(1, "digest", set)
	assert.NilError(t, err)
	h.b.SetTable(table)
	return &dispatcherHarness{harness: h, worker: newWorker(h.b), now: h.clock.now()}
}

// establishFlow establishes a flow and returns a later packet of its caller, as the
// fabric sends it.
func (h *dispatcherHarness) establishFlow(i int) []byte {
	source := protocol.Endpoint{IP: [4]byte{192, 0, 2, byte(i >> 8)}, Port: uint16(i)}
	h.worker.handleDatagram(h.now, protocol.AppendGRE(nil, protocol.BuildTCP(source, service, protocol.Segment{Seq: 77, SYN: true})), addressOf(h.fabric))
	opener, err := protocol.NewDecoder().Decode(h.receive(h.fabric)[protocol.GREHeaderBytes:])
	assert.NilError(h.t, err)
	synAck := protocol.BuildTCP(opener.Destination, source, protocol.Segment{Seq: 500, Ack: 78, SYN: true, ACK: true})
	h.worker.handleDatagram(h.now, protocol.AppendGRE(nil, synAck), addressOf(h.fabric))
	h.receive(h.fabric)
	data := protocol.Segment{Seq: 78, Ack: 501, ACK: true, Payload: bytes.Repeat([]byte{1}, 1000)}
	return protocol.AppendGRE(nil, protocol.BuildTCP(source, service, data))
}

// Guards against memory allocation for each packet of a known flow. At several hundred
// thousand packets per second, garbage collection would take CPU time from the data path.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	h := newDispatcherHarness(t)
	packet := h.establishFlow(1)
	fabric := addressOf(h.fabric)
	buffer := make([]byte, len(packet))
	allocations := testing.AllocsPerRun(1000, func() {
		copy(buffer, packet)
		h.worker.handleDatagram(h.now, buffer, fabric)
	})
	assert.Equal(t, allocations, 0.0)
	assert.Equal(t, h.b.Counter("forward", string(coordination.ReasonKnownFlow)), int64(1001))
}

const benchmarkFlows = 4096

// BenchmarkKnownFlow measures the decoding, decision, rewriting and encoding of a
// packet with 1,000 payload bytes on one core, without socket I/O.
func BenchmarkKnownFlow(b *testing.B) {
	h := newDispatcherHarness(b)
	packets := make([][]byte, benchmarkFlows)
	for i := range packets {
		packets[i] = h.establishFlow(i)
	}
	buffer := make([]byte, len(packets[0]))
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		copy(buffer, packets[i%benchmarkFlows])
		inner, hops, _, err := protocol.DecodeGRE(buffer, h.b.relayKey)
		if err != nil {
			b.Fatal(err)
		}
		ingress := coordination.Ingress{Hops: hops}
		if ingress.Packet, err = h.worker.decoder.Decode(inner); err != nil {
			b.Fatal(err)
		}
		d := h.b.core.Handle(h.now, ingress)
		if d.Action != coordination.ActionForward {
			b.Fatal(d)
		}
		protocol.RewriteDestination(inner, d.Endpoint)
		h.worker.sendBuffer = protocol.AppendGRE(h.worker.sendBuffer[:0], inner)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkKnownFlowSend measures the same as BenchmarkKnownFlow, plus the source
// check, the counters and the system call that sends the packet.
func BenchmarkKnownFlowSend(b *testing.B) {
	h := newDispatcherHarness(b)
	packet := h.establishFlow(1)
	fabric := addressOf(h.fabric)
	buffer := make([]byte, len(packet))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		copy(buffer, packet)
		h.worker.handleDatagram(h.now, buffer, fabric)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkRelayHash measures the authentication of a relayed packet.
func BenchmarkRelayHash(b *testing.B) {
	h := newDispatcherHarness(b)
	datagram := protocol.AppendRelay(nil, h.establishFlow(1)[protocol.GREHeaderBytes:], 1, h.b.relayKey)
	b.ReportAllocs()
	for range b.N {
		if _, _, _, err := protocol.DecodeGRE(datagram, h.b.relayKey); err != nil {
			b.Fatal(err)
		}
	}
}
