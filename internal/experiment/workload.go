package experiment

import (
	"fmt"
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

const (
	serviceName    = "bookdesk"
	poolName       = "bookdesk-hosts"
	hostCount      = 14
	maxConnections = 2000
	otherService   = "proofdrop"
	otherPool      = "proofdrop-hosts"
	otherHostCount = 4
	servicePort    = 443 // also the port of the targets
)

// workload holds the configurable properties of the services in one run.
type workload struct {
	protocol       objects.Protocol
	preference     objects.Preference
	slotsPerTarget uint32
}

// newSet returns the configuration of a run: 14 targets of the measured service and
// 4 of another service, in three failure domains.
func newSet(w workload) objects.Set {
	set := objects.Set{
		Places: []objects.Place{{Name: "detroit"}, {Name: "cleveland"}, {Name: "toronto"}},
		Services: []objects.Service{
			newService(serviceName, poolName, 1, w),
			newService(otherService, otherPool, 2, w),
		},
		Pools: []objects.Pool{
			{Name: poolName, Slots: w.slotsPerTarget, Connections: maxConnections},
			{Name: otherPool, Slots: w.slotsPerTarget, Connections: maxConnections},
		},
	}
	for i := range hostCount {
		set.Targets = append(set.Targets, newTarget(set, poolName, 1, i))
	}
	for i := range otherHostCount {
		set.Targets = append(set.Targets, newTarget(set, otherPool, 2, i))
	}
	return set
}

func newService(name, pool string, number byte, w workload) objects.Service {
	return objects.Service{
		Name: name, Pool: pool, Address: netip.AddrFrom4([4]byte{203, 0, 113, number}), Port: servicePort,
		Protocol: w.protocol, Preference: w.preference, Priority: objects.PriorityNormal, OpenTimeoutMS: 1000,
	}
}

func newTarget(set objects.Set, pool string, number byte, i int) objects.Target {
	return objects.Target{
		Name: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, Place: set.Places[i%len(set.Places)].Name,
		Address: netip.AddrFrom4([4]byte{10, 0, number, byte(i + 1)}), Port: servicePort, Weight: 100,
	}
}
