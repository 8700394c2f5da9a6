package coordination

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Tags of the packets in these tests. They stand for the connection IDs of a
// caller and of two targets.
const (
	firstTag     = 1
	callerTag    = 2
	answerTag    = 50
	competingTag = 60
	unknownTag   = 77
	payloadSize  = 100
)

// conflictFixture is one balancer of a fleet of three, with a QUIC service and two targets.
type conflictFixture struct {
	d       *Dispatcher
	now     time.Time
	service protocol.Endpoint
	caller  protocol.Endpoint
	targets []protocol.Endpoint
	members []Member
}

// newConflictFixture returns the balancer that has the given role in the shard of the service.
func newConflictFixture(t *testing.T, want role) *conflictFixture {
	x := &conflictFixture{now: time.Unix(1_800_000_000, 0)}
	x.service = protocol.NewEndpoint(netip.MustParseAddrPort("10.0.0.1:443"))
	x.caller = protocol.NewEndpoint(netip.MustParseAddrPort("10.9.0.1:1000"))
	set := objects.Set{
		Places:   []objects.Place{{Name: "p0"}},
		Services: []objects.Service{{Name: "s", Address: netip.MustParseAddr("10.0.0.1"), Port: 443, Protocol: objects.ProtocolQUIC, Pool: "p"}},
		Pools:    []objects.Pool{{Name: "p", Slots: 1, Connections: 100}},
	}
	for i := range 2 {
		address := netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)})
		set.Targets = append(set.Targets, objects.Target{Name: fmt.Sprintf("t%d", i), Pool: "p", Place: "p0", Address: address, Port: 443, Weight: 100})
		x.targets = append(x.targets, protocol.NewEndpoint(netip.AddrPortFrom(address, 443)))
	}
	for i := range 3 {
		x.members = append(x.members, Member{VM: fmt.Sprintf("vm-%d", i), Place: "p0", DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))})
	}
	table, err := state.NewTable(1, "digest", set)
	assert.NilError(t, err)
	for _, m := range x.members {
		x.d = NewDispatcher(Options{Self: m.VM, Place: "p0"})
		x.d.AdoptTable(x.now, table)
		x.d.SetView(x.now, View{Members: x.members})
		s, _ := x.d.serviceAt(state.Address{Endpoint: x.service, Transport: protocol.TransportUDP})
		if x.d.shardOf(s, protocol.FlowKey{Caller: x.caller, Service: x.service, Transport: protocol.TransportUDP}).role == want {
			return x
		}
	}
	t.Fatal("no balancer has the role")
	return nil
}

// otherThan returns the other of the two targets.
func (x *conflictFixture) otherThan(target protocol.Endpoint) protocol.Endpoint {
	if x.targets[0] == target {
		return x.targets[1]
	}
	return x.targets[0]
}

// owner returns the data address of the owner of the shard.
func (x *conflictFixture) owner() netip.AddrPort {
	for _, s := range x.d.shards {
		return s.owner().DataAddress
	}
	return netip.AddrPort{}
}

// sendOpener handles an Initial that opens the connection, with tag as its destination ID.
func (x *conflictFixture) sendOpener(tag uint32) Decision {
	return x.sendInitial(tag, callerTag, false)
}

// sendLaterInitial handles a later Initial of the connection, with tag as its destination ID.
func (x *conflictFixture) sendLaterInitial(tag uint32) Decision {
	return x.sendInitial(tag, callerTag, true)
}

func (x *conflictFixture) sendInitial(tag, sourceTag uint32, later bool) Decision {
	kind := protocol.KindOpener
	if later {
		kind = protocol.KindHandshake
	}
	return x.d.Handle(x.now, Ingress{Packet: protocol.Packet{
		Source: x.caller, Destination: x.service, Transport: protocol.TransportUDP, Kind: kind, LaterInitialsOnly: later,
		HasTag: true, Tag: tag, SourceTag: sourceTag, PayloadBytes: payloadSize,
	}})
}

// sendFromTarget handles a packet from a target. It is a handshake packet if
// sourceTag, the connection ID of the target, is not 0, and data otherwise. Tag 0
// stands for a caller without a connection ID.
func (x *conflictFixture) sendFromTarget(target protocol.Endpoint, from netip.AddrPort, tag, sourceTag uint32) Decision {
	kind := protocol.KindData
	if sourceTag != 0 {
		kind = protocol.KindHandshake
	}
	in := Ingress{From: from, Packet: protocol.Packet{
		Source: target, Destination: x.caller, Transport: protocol.TransportUDP, Kind: kind,
		HasTag: tag != 0, Tag: tag, SourceTag: sourceTag, PayloadBytes: payloadSize,
	}}
	if from.IsValid() {
		in.Hops = 1
	}
	return x.d.Handle(x.now, in)
}

// A stateless reset from a target that does not have the connection looks like
// data and must not rebind the flow away from the target that has it.
func TestStatelessResetDoesNotRebindFlow(t *testing.T) {
	x := newConflictFixture(t, roleOwner)
	bound := x.sendOpener(firstTag).Endpoint
	other := x.otherThan(bound)
	x.sendFromTarget(bound, netip.AddrPort{}, callerTag, answerTag)
	assert.Equal(t, x.sendFromTarget(other, netip.AddrPort{}, callerTag, competingTag).Reason, ReasonOtherTargetAnswer)
	assert.Equal(t, x.sendFromTarget(other, netip.AddrPort{}, unknownTag, 0).Reason, ReasonStrayReset)
	assert.Assert(t, x.sendFromTarget(bound, netip.AddrPort{}, callerTag, 0).Action != ActionDrop)
	assert.Assert(t, x.sendFromTarget(other, netip.AddrPort{}, callerTag, 0).Action != ActionDrop)
}

// A caller may accept the answer of a target that only a balancer with another view
// knows. The handshake stalls unless its Initials are relayed to other balancers.
func TestInitialForUnknownAnswerIsRelayed(t *testing.T) {
	for name, send := range map[string]func(*conflictFixture, uint32) Decision{"opener": (*conflictFixture).sendOpener, "later": (*conflictFixture).sendLaterInitial} {
		t.Run(name, func(t *testing.T) {
			x := newConflictFixture(t, roleOwner)
			bound := x.sendOpener(firstTag).Endpoint
			assert.Equal(t, send(x, unknownTag).Action, ActionRelay)
			x.sendFromTarget(bound, netip.AddrPort{}, callerTag, answerTag)
			assert.Equal(t, send(x, unknownTag).Action, ActionRelay)
			assert.Equal(t, x.sendOpener(firstTag).Endpoint, bound)
			assert.Equal(t, send(x, answerTag).Endpoint, bound)
		})
	}
}

// A later Initial of a caller without a connection ID of its own must not be
// admitted as a new connection, nor bind the flow to a target before it was
// relayed to a balancer that may know the flow.
func TestLaterInitialDoesNotOpenConnection(t *testing.T) {
	x := newConflictFixture(t, roleOwner)
	d := x.sendInitial(unknownTag, 0, true)
	assert.Equal(t, d.Action, ActionRelay)
	bound := x.sendInitial(firstTag, 0, false).Endpoint
	x.sendFromTarget(bound, netip.AddrPort{}, 0, answerTag)
	assert.Equal(t, x.sendInitial(unknownTag, 0, true).Action, ActionRelay)
	assert.Equal(t, x.sendInitial(answerTag, 0, true).Endpoint, bound)
	assert.Equal(t, x.sendInitial(unknownTag, 0, true).Endpoint, bound)
}

// A backup must not drop answers that the owner has relayed to it, even from two
// targets. The owner received them from the fabric itself, so the backup relays
// them to a third balancer.
func TestBackupAcceptsAnswersRelayedByOwner(t *testing.T) {
	x := newConflictFixture(t, roleBackup)
	assert.Equal(t, x.sendFromTarget(x.targets[0], x.owner(), callerTag, answerTag).Reason, ReasonToThird)
	assert.Equal(t, x.sendFromTarget(x.targets[1], x.owner(), callerTag, competingTag).Reason, ReasonToThird)
}

// A caller may accept the answer of a target that a former owner bound the flow
// to. The handshake stalls if that binding is discarded during the handoff.
func TestHandedOffAnswerRebindsFlow(t *testing.T) {
	x := newConflictFixture(t, roleOwner)
	bound := x.sendOpener(firstTag).Endpoint
	other := x.otherThan(bound)
	flow := protocol.FlowKey{Caller: x.caller, Service: x.service, Transport: protocol.TransportUDP}
	binding := state.Binding{Flow: flow, Target: other, Strength: state.StrengthTentative, OpenerTag: callerTag, AnswerTag: competingTag}
	assert.Equal(t, x.d.AcceptHandoff(x.now, []state.Binding{binding}), 0)
	assert.Equal(t, x.sendOpener(firstTag).Endpoint, bound)
	assert.Equal(t, x.sendLaterInitial(competingTag).Endpoint, other)
}
