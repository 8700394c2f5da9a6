package transport

import (
	"bytes"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Guards against a decision that is executed incorrectly: wrong addresses, a missing
// reset, or a relayed packet with a wrong hop count.
func TestDecisionsAreExecuted(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.start()
	decoder := protocol.NewDecoder()
	decode := func(datagram []byte) protocol.Packet {
		inner, _, relayed, err := protocol.DecodeGRE(datagram, h.b.relayKey)
		assert.NilError(t, err)
		assert.Assert(t, !relayed)
		p, err := decoder.Decode(inner)
		assert.NilError(t, err)
		return p
	}
	opener := protocol.AppendGRE(nil, syn)

	core.setDecision(coordination.Decision{Action: coordination.ActionForward, Endpoint: target})
	h.send(h.fabric, opener)
	p := decode(h.receive(h.fabric))
	assert.Assert(t, p.Source == caller && p.Destination == target && p.Kind == protocol.KindOpener)

	core.setDecision(coordination.Decision{Action: coordination.ActionReturn, Endpoint: service})
	h.send(h.fabric, protocol.AppendGRE(nil, protocol.BuildTCP(target, caller, protocol.Segment{ACK: true})))
	p = decode(h.receive(h.fabric))
	assert.Assert(t, p.Source == service && p.Destination == caller)

	core.setDecision(coordination.Decision{Action: coordination.ActionRefuse})
	h.send(h.fabric, opener)
	p = decode(h.receive(h.fabric))
	assert.Assert(t, p.Source == service && p.Destination == caller && p.Kind == protocol.KindReset)

	core.setDecision(coordination.Decision{Action: coordination.ActionForward, Endpoint: target, ResetTarget: protocol.Endpoint{Port: 9}})
	h.send(h.fabric, opener)
	p = decode(h.receive(h.fabric))
	assert.Assert(t, p.Destination.Port == 9 && p.Kind == protocol.KindReset)
	p = decode(h.receive(h.fabric))
	assert.Assert(t, p.Destination == target && p.Kind == protocol.KindOpener)

	core.setDecision(coordination.Decision{Action: coordination.ActionRelay, Peer: addressOf(h.peer)})
	h.send(h.fabric, opener)
	first := h.receive(h.peer)
	inner, hops, relayed, err := protocol.DecodeGRE(first, h.b.relayKey)
	assert.NilError(t, err)
	assert.Assert(t, relayed && hops == 1 && bytes.Equal(inner, syn))
	h.send(h.peer, first)
	second := h.receive(h.peer)
	_, hops, _, err = protocol.DecodeGRE(second, h.b.relayKey)
	assert.NilError(t, err)
	assert.Equal(t, hops, uint8(2))
	h.send(h.peer, second)
	h.waitForCounter("drop", reasonHopsExhausted, 1)
	// A reader counts a packet only after sending it. The other reader may therefore
	// finish the next packet before this one is counted.
	h.waitForCounter("hops", "0", 4)
	h.waitForCounter("relay", "test", 2)
}

// Guards against packets that do not come from the fabric or from a member: a forged
// relayed packet, or a packet that bypassed the fabric, could reach any target.
func TestPacketsFromUnknownSendersAreDropped(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.start()
	nonMember := listen(t)
	relayed := protocol.AppendRelay(nil, syn, 1, h.b.relayKey)
	h.send(nonMember, relayed, protocol.AppendGRE(nil, syn))
	h.send(h.peer, protocol.AppendGRE(nil, syn), protocol.AppendKeepalive(nil))
	h.send(h.fabric, relayed)
	h.send(h.peer, protocol.AppendRelay(nil, syn, 1, []byte("another key 0000")))
	h.waitForCounter("drop", reasonRelayFromNonMember, 2)
	h.waitForCounter("drop", reasonNotFromFabric, 3)
	h.waitForCounter("drop", string(protocol.ErrRelayHash), 1)
	assert.Equal(t, core.handledPackets.Load(), int64(0))
	h.send(h.peer, relayed)
	h.waitForCounter("drop", "test", 1)
}

// Guards against malformed packets that crash the process or end a reader.
func TestMalformedPacketsAreDropped(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.start()
	valid := protocol.AppendGRE(nil, syn)
	sent := 0
	for end := range valid {
		h.send(h.fabric, valid[:end])
		sent++
		for _, bit := range []byte{0x01, 0x80} {
			corrupted := bytes.Clone(valid)
			corrupted[end] ^= bit
			h.send(h.fabric, corrupted)
			sent++
		}
	}
	h.send(h.fabric, nil, bytes.Repeat([]byte{0xff}, 9000))
	sent += 2
	h.waitForValue(h.droppedPackets, int64(sent))
	handled := core.handledPackets.Load()
	h.send(h.fabric, valid)
	h.waitForCounter("drop", "test", handled+1)
	assert.Equal(t, h.droppedPackets(), int64(sent+1))
}

// Guards against forwarding 0-RTT requests to a target where they could be executed a
// second time.
func TestZeroRTTIsRemoved(t *testing.T) {
	core := &fakeCore{}
	core.setDecision(coordination.Decision{Action: coordination.ActionForward, Endpoint: target, StripZeroRTT: true})
	h := newHarness(t, core)
	h.start()
	zeroRTT := []byte{0xd0, 0, 0, 0, 1, 4, 1, 2, 3, 4, 0, 2, 0x55, 0x55}
	handshake := []byte{0xe0, 0, 0, 0, 1, 4, 1, 2, 3, 4, 0, 2, 0x66, 0x66}
	h.send(h.fabric, protocol.AppendGRE(nil, protocol.BuildUDP(caller, service, zeroRTT)))
	h.waitForCounter("drop", string(protocol.ErrZeroRTTOnly), 1)
	h.send(h.fabric, protocol.AppendGRE(nil, protocol.BuildUDP(caller, service, append(bytes.Clone(zeroRTT), handshake...))))
	got := h.receive(h.fabric)
	want := append(bytes.Clone(handshake), make([]byte, len(zeroRTT))...)
	assert.Assert(t, bytes.Equal(got[len(got)-len(want):], want))
}

// Guards against a leaving balancer that stops while the fabric still sends packets to
// it, or that still answers keepalives, so that the fabric does not switch to others.
func TestLeavingBalancerKeepsForwarding(t *testing.T) {
	core := &fakeCore{}
	core.setDecision(coordination.Decision{Action: coordination.ActionForward, Endpoint: target})
	h := newHarness(t, core)
	h.b.settings.Timers.LeaveQuietPeriod = 100
	stop := h.start()
	h.expectForward()
	keepalive := protocol.AppendKeepalive(nil)
	h.send(h.fabric, keepalive) // not answered: no configuration yet
	h.expectForward()
	h.b.table.Store(&state.Table{})
	h.send(h.fabric, keepalive) // not answered: other balancers not known yet
	h.expectForward()
	h.b.joined.Store(true)
	h.send(h.fabric, keepalive)
	assert.Assert(t, protocol.IsKeepalive(h.receive(h.fabric)))
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	for !h.b.leaving.Load() {
		h.expectForward()
	}
	h.send(h.fabric, keepalive) // not answered while leaving: expectForward fails if it receives a keepalive
	for range 20 {
		h.expectForward()
		h.clock.advance(h.b.settings.Timers.LeaveQuietPeriod.Duration() / 3)
	}
	h.clock.advance(h.b.settings.Timers.LeaveQuietPeriod.Duration())
	<-stopped
	_, err := h.b.conn.WriteToUDPAddrPort(nil, netip.MustParseAddrPort("127.0.0.1:9"))
	assert.ErrorContains(t, err, "closed")
}
