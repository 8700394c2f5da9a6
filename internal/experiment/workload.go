package experiment

import (
	"fmt"
	"net/netip"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

const (
	serviceName   = "bookdesk"
	poolName      = "bookdesk-hosts"
	hostCount     = 14
	connections   = 2000
	otherService  = "proofdrop"
	otherPool     = "proofdrop-hosts"
	otherHosts    = 4
	firstHostPort = 443
)

// workload describes the configuration of one run.
type workload struct {
	protocol   objects.Protocol
	preference objects.Preference
	slots      uint32
}

// newSet makes the configuration of a run: 14 targets of the measured service
// and 4 of another one, in three places.
func newSet(w workload) objects.Set {
	set := objects.Set{
		Places: []objects.Place{{Name: "detroit"}, {Name: "cleveland"}, {Name: "toronto"}},
		Services: []objects.Service{
			service(serviceName, poolName, 1, w),
			service(otherService, otherPool, 2, w),
		},
		Pools: []objects.Pool{
			{Name: poolName, Slots: w.slots, Connections: connections},
			{Name: otherPool, Slots: w.slots, Connections: connections},
		},
	}
	for i := range hostCount {
		set.Targets = append(set.Targets, target(set, poolName, 1, i))
	}
	for i := range otherHosts {
		set.Targets = append(set.Targets, target(set, otherPool, 2, i))
	}
	return set
}

func service(name, pool string, number byte, w workload) objects.Service {
	return objects.Service{
		Name: name, Pool: pool, Address: netip.AddrFrom4([4]byte{203, 0, 113, number}), Port: firstHostPort,
		Protocol: w.protocol, Preference: w.preference, Priority: objects.PriorityNormal, OpenTimeoutMS: 1000,
	}
}

func target(set objects.Set, pool string, number byte, i int) objects.Target {
	return objects.Target{
		Name: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, Place: set.Places[i%len(set.Places)].Name,
		Address: netip.AddrFrom4([4]byte{10, 0, number, byte(i + 1)}), Port: firstHostPort, Weight: 100,
	}
}
