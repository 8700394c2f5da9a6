package coordination

import (
	"fmt"
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// testService describes a service of a test configuration and its pool.
type testService struct {
	protocol        objects.Protocol
	preference      objects.Preference
	targets         int
	slots           uint32
	connectionLimit uint32
}

func newTestSet(services ...testService) objects.Set {
	set := objects.Set{}
	for i := range 3 {
		set.Places = append(set.Places, objects.Place{Name: placeName(i)})
	}
	for i, s := range services {
		pool := fmt.Sprintf("pool-%d", i)
		set.Pools = append(set.Pools, objects.Pool{Name: pool, Slots: s.slots, Connections: s.connectionLimit})
		set.Services = append(set.Services, objects.Service{
			Name: fmt.Sprintf("service-%d", i), Address: netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}), Port: 443,
			Protocol: s.protocol, Pool: pool, Preference: s.preference,
		})
		for range s.targets {
			set.Targets = append(set.Targets, newTarget(set, pool, i))
		}
	}
	return set
}

// newTarget returns another target for a pool, with a new name and address.
func newTarget(set objects.Set, pool string, service int) objects.Target {
	n := len(set.Targets)
	return objects.Target{
		Name: fmt.Sprintf("target-%02d", n), Pool: pool, Place: placeName(n), Weight: 100,
		Address: netip.AddrFrom4([4]byte{10, 1, byte(service), byte(n + 1)}), Port: 8443,
	}
}

func cloneSet(set objects.Set) objects.Set {
	set.Targets = append([]objects.Target(nil), set.Targets...)
	set.Services = append([]objects.Service(nil), set.Services...)
	return set
}

// twoServices returns a mix of services as in production: affinity over TCP and
// evenness over QUIC.
func twoServices() objects.Set {
	return newTestSet(
		testService{objects.ProtocolTCP, objects.PreferenceAffinity, 14, 2, 2000},
		testService{objects.ProtocolQUIC, objects.PreferenceEvenness, 14, 3, 2000},
	)
}

func endpointOf(t objects.Target) protocol.Endpoint {
	return protocol.NewEndpoint(netip.AddrPortFrom(t.Address, t.Port))
}
