package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// returnPacket returns a data packet from a target to the i-th caller.
func returnPacket(target protocol.Endpoint, i int) Ingress {
	return Ingress{Packet: protocol.Packet{
		Source:      target,
		Destination: protocol.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 9},
		Transport:   protocol.TransportTCP, Kind: protocol.KindData, PayloadBytes: 100,
	}}
}

// Flows learned from return packets must not fill the flow table, because the
// balancer would then drop openers of the services that it owns.
func TestLearnedFlowsLeaveRoomForOpeners(t *testing.T) {
	const capacity = 2048
	f := newFleet(t, 1, 7, newTestSet(testService{objects.ProtocolTCP, objects.PreferenceAffinity, 4, 2, 100_000}), Options{FlowCapacity: capacity})
	var service *state.Service
	f.table.ForEachService(func(s *state.Service) { service = s })
	others := 0
	for _, d := range f.dispatchers {
		if d.shardOf(service, protocol.FlowKey{}).role != roleNone {
			continue
		}
		others++
		for i := range 2 * capacity {
			d.Handle(f.now, returnPacket(service.Targets[0].Endpoint, i))
		}
		assert.Equal(t, d.FlowCount(), capacity/2)
	}
	assert.Equal(t, others, 5)
	f.advance(8 * time.Minute) // about half of the idle timeout
	for _, d := range f.dispatchers {
		assert.Assert(t, d.FlowCount() <= capacity*2/5, "%d learned flows kept", d.FlowCount())
	}
}
