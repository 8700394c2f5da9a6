package coordination

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// idempotent returns a configuration of one service of the protocol whose requests may run twice.
func idempotentSet(p objects.Protocol) objects.Set {
	set := testSet(testService{p, objects.PreferenceAffinity, 2, 2, 2000})
	set.Services[0].Idempotent = true
	return set
}

// Guards against requests in openers. Such a request could run at two targets,
// and a refusal of its opener would be false.
func TestOpenerCarriesNoRequest(t *testing.T) {
	f := newFleet(t, 1, 1, idempotentSet(objects.ProtocolTCP), Options{})
	m := f.newCaller(0, 1).packet(protocol.KindOpener, 7, 1)
	m.packet.SynData = true
	assert.Equal(t, f.nodes[f.spray[0]].Handle(f.now, Ingress{Packet: m.packet}).Reason, ReasonSynData)

	f = newFleet(t, 1, 1, idempotentSet(objects.ProtocolQUIC), Options{})
	m = f.newCaller(0, 1).packet(protocol.KindOpener, 7, 1)
	m.packet.ZeroRTT = true
	d := f.nodes[f.spray[0]].Handle(f.now, Ingress{Packet: m.packet})
	assert.Assert(t, d.Action == ActionForward && d.StripZeroRTT)
	m.packet.Kind, m.packet.ZeroRTTOnly = protocol.KindHandshake, true
	assert.Equal(t, f.nodes[f.spray[0]].Handle(f.now, Ingress{Packet: m.packet}).Reason, ReasonZeroRTT)
}

// Guards against a refusal of a datagram, of which a late copy could still run
// once a target has room, and against a flow that is uncounted twice.
func TestPlainUDPIsNotRefused(t *testing.T) {
	set := idempotentSet(objects.ProtocolUDP)
	set.Targets = set.Targets[:1]
	f := newFleet(t, 1, 1, set, Options{})
	node := f.nodes[f.spray[0]]
	handle := func(caller int) Decision {
		return node.Handle(f.now, Ingress{Packet: f.newCaller(0, caller).packet(protocol.KindDatagram, 0, 1).packet})
	}
	assert.Equal(t, handle(1).Reason, ReasonAdmitted)
	set = clone(set)
	set.Targets[0].Drain = true
	f.publish(set)
	f.advance(2 * reuseIdleUDP)
	for range 2 {
		d := handle(1)
		assert.Assert(t, d.Action == ActionDrop && d.Reason == ReasonNoTargetUDP)
	}
}

// Guards against a flow that is uncounted with each opener that finds no target
// during the hold-off, which would hide the open flows of others.
func TestOpenerWithoutTargetIsUncountedOnce(t *testing.T) {
	set := idempotentSet(objects.ProtocolTCP)
	set.Targets = set.Targets[:1]
	f := newFleet(t, 1, 1, set, Options{})
	node := f.nodes[f.spray[0]]
	open := func(caller int, tag uint32) Decision {
		return node.Handle(f.now, Ingress{Packet: f.newCaller(0, caller).packet(protocol.KindOpener, tag, 0).packet})
	}
	open(1, 7)
	open(2, 7)
	set = clone(set)
	set.Targets[0].Drain = true
	f.publish(set)
	node.HandleFreeze(f.now)
	f.setView()
	assert.Equal(t, open(1, 8).Reason, ReasonHoldOff)
	assert.Equal(t, open(1, 9).Reason, ReasonHoldOff)
	assert.Equal(t, node.Targets(f.now)[0].OpenFlows, uint64(1))
}
