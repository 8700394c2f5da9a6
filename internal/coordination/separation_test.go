package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// fourServices returns two services for each transport, so that targets can move
// between the services of a transport.
func fourServices() objects.Set {
	return newTestSet(
		testService{objects.ProtocolTCP, objects.PreferenceAffinity, 5, 2, 2000},
		testService{objects.ProtocolTCP, objects.PreferenceEvenness, 5, 2, 2000},
		testService{objects.ProtocolQUIC, objects.PreferenceAffinity, 5, 2, 2000},
		testService{objects.ProtocolQUIC, objects.PreferenceEvenness, 5, 2, 2000},
	)
}

// moveTargetsBetweenServices creates a table in which up to four targets serve the
// other service of their transport. Each balancer adopts it at a random time within span.
func (f *fleet) moveTargetsBetweenServices(span time.Duration) {
	set := cloneSet(f.set)
	for range 4 {
		pool := &set.Targets[f.rng.IntN(len(set.Targets))].Pool
		*pool = map[string]string{"pool-0": "pool-1", "pool-1": "pool-0", "pool-2": "pool-3", "pool-3": "pool-2"}[*pool]
	}
	table := f.newTable(set)
	f.registerTable(set, table)
	for _, m := range f.members {
		f.schedule(time.Duration(f.rng.Int64N(int64(span))), func() { f.adoptTable(m.VM, table) })
	}
}

// sendStrayPacket sends a packet from a random target to a caller that may never
// have had a connection with it.
func (f *fleet) sendStrayPacket(callers int) {
	kinds := []protocol.Kind{protocol.KindData, protocol.KindSYNACK, protocol.KindHandshake, protocol.KindFIN, protocol.KindReset}
	flow := f.newFlow(f.rng.IntN(len(f.set.Services)), f.rng.IntN(2*callers))
	sender := f.set.Targets[f.rng.IntN(len(f.set.Targets))]
	t := f.targets[endpointOf(sender)]
	flow.Transport = protocol.TransportTCP
	if t.quic {
		flow.Transport = protocol.TransportUDP
	}
	t.send(flow, kinds[f.rng.IntN(len(kinds))], f.rng.Uint32(), f.rng.Uint32(), f.rng.IntN(2))
}

// Checks that no packet reaches a target of another service (property P2). Targets
// move between services while some balancers have an old generation, and targets
// send packets to callers that they had no connection with. A binding that is kept
// after its table was replaced would lead packets to a target that now belongs to
// another service.
func TestServicesStaySeparate(t *testing.T) {
	const callers = 400
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 7, fourServices(), Options{})
		f.makeUnreliable()
		f.startSessions(callers, 300*time.Millisecond, nil)
		for range 500 {
			f.schedule(time.Duration(f.rng.Int64N(int64(20*time.Second))), func() { f.sendStrayPacket(callers) })
		}
		for range 5 {
			f.moveTargetsBetweenServices(2 * time.Second)
			f.schedule(time.Second, f.joinBalancer)
			f.advance(4 * time.Second)
		}
		assert.Assert(t, f.packets > 20_000)
		assert.Equal(t, f.crossServicePackets, 0)
	})
}
