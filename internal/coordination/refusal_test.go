package coordination

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// idempotentSet returns a configuration of one service of a protocol, whose requests may run twice.
func idempotentSet(p objects.Protocol) objects.Set {
	set := newTestSet(testService{p, objects.PreferenceAffinity, 2, 2, 2000})
	set.Services[0].Idempotent = true
	return set
}

// An opener must not carry a request. Such a request could run at two targets, and
// it could have run although its opener was refused.
func TestOpenerCarriesNoRequest(t *testing.T) {
	f := newFleet(t, 1, 1, idempotentSet(objects.ProtocolTCP), Options{})
	m := f.newCaller(0, 1).packet(protocol.KindOpener, 7, 1)
	m.packet.HasSYNData = true
	assert.Equal(t, f.dispatchers[f.nextHops[0]].Handle(f.now, Ingress{Packet: m.packet}).Reason, ReasonSynData)

	f = newFleet(t, 1, 1, idempotentSet(objects.ProtocolQUIC), Options{})
	m = f.newCaller(0, 1).packet(protocol.KindOpener, 7, 1)
	m.packet.HasZeroRTT = true
	d := f.dispatchers[f.nextHops[0]].Handle(f.now, Ingress{Packet: m.packet})
	assert.Assert(t, d.Action == ActionForward && d.StripZeroRTT)
	m.packet.Kind, m.packet.ZeroRTTOnly = protocol.KindHandshake, true
	assert.Equal(t, f.dispatchers[f.nextHops[0]].Handle(f.now, Ingress{Packet: m.packet}).Reason, ReasonZeroRTT)
}

// A plain UDP datagram must be dropped rather than refused, because a late copy of
// it could still run once a target has room. The second datagram checks that the
// count of open flows does not decrease twice.
func TestPlainUDPIsNotRefused(t *testing.T) {
	set := idempotentSet(objects.ProtocolUDP)
	set.Targets = set.Targets[:1]
	f := newFleet(t, 1, 1, set, Options{})
	node := f.dispatchers[f.nextHops[0]]
	handle := func(caller int) Decision {
		return node.Handle(f.now, Ingress{Packet: f.newCaller(0, caller).packet(protocol.KindPlainUDP, 0, 1).packet})
	}
	assert.Equal(t, handle(1).Reason, ReasonAdmitted)
	set = cloneSet(set)
	set.Targets[0].Drain = true
	f.publish(set)
	f.advance(2 * reuseIdleUDP)
	for range 2 {
		d := handle(1)
		assert.Assert(t, d.Action == ActionDrop && d.Reason == ReasonNoTargetUDP)
	}
}

// The count of open flows must decrease only once when several openers of one flow
// find no target during the hold-off. A second decrease would leave the open flow of
// another caller out of the count.
func TestOpenerWithoutTargetIsUncountedOnce(t *testing.T) {
	set := idempotentSet(objects.ProtocolTCP)
	set.Targets = set.Targets[:1]
	f := newFleet(t, 1, 1, set, Options{})
	node := f.dispatchers[f.nextHops[0]]
	open := func(caller int, tag uint32) Decision {
		return node.Handle(f.now, Ingress{Packet: f.newCaller(0, caller).packet(protocol.KindOpener, tag, 0).packet})
	}
	open(1, 7)
	open(2, 7)
	set = cloneSet(set)
	set.Targets[0].Drain = true
	f.publish(set)
	node.HandleFreeze(f.now)
	f.setAllViews()
	assert.Equal(t, open(1, 8).Reason, ReasonHoldOff)
	assert.Equal(t, open(1, 9).Reason, ReasonHoldOff)
	assert.Equal(t, node.Targets(f.now)[0].OpenFlows, uint64(1))
}
