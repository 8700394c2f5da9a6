package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
)

const (
	servicePort = 443
	targetPort  = 4433
	// rampSeconds keeps the ramp after the start of the targets short relative to the duration of a demo.
	rampSeconds = 1
)

// workload is the definition of one service, its targets and the load of its callers.
type workload struct {
	service         objects.Service
	pool            objects.Pool
	targetCount     int
	feedCount       int
	idleFeedCount   int
	messageInterval time.Duration
	requestRate     float64 // requests a second
	requestOptions  caller.RequestOptions
	targetName      string
}

// users holds the places and services of one organization that uses the fleet.
type users struct {
	places    []string
	workloads []workload
}

// Valid values of Options.Users.
const (
	Coralline = "coralline"
	Guild     = "guild"
)

// newUsers returns the places and services of the named users.
func newUsers(name string) (users, error) {
	shortRequest := caller.RequestOptions{WorkMS: 20, ResponseBytes: 4000}
	uploadRequest := caller.RequestOptions{WorkMS: 50, ResponseBytes: 200, UploadBytes: 100_000}
	switch name {
	case Coralline:
		return users{
			places: []string{"pl-a", "pl-b", "pl-c"},
			workloads: []workload{
				newWorkload(1, "quote-desk", "quote", 14, 2, objects.PriorityHigh, objects.PreferenceAffinity).withLoad(280, 70, 60, shortRequest),
				newWorkload(2, "stock-registry", "stock", 4, 2, objects.PriorityNormal, objects.PreferenceAffinity).withLoad(40, 10, 10, uploadRequest),
			},
		}, nil
	case Guild:
		return users{
			places: []string{"detroit", "cleveland", "toronto"},
			workloads: []workload{
				newWorkload(1, "bookdesk", "book", 14, 3, objects.PriorityHigh, objects.PreferenceEvenness).withLoad(280, 70, 60, shortRequest),
				newWorkload(2, "proofdrop", "proof", 4, 3, objects.PriorityNormal, objects.PreferenceAffinity).withLoad(40, 10, 10, uploadRequest),
			},
		}, nil
	}
	return users{}, errors.Errorf("unknown users %q: want %s or %s", name, Coralline, Guild)
}

// newWorkload returns a QUIC service whose requests are not idempotent. The index
// determines its address and those of its targets.
func newWorkload(index byte, serviceName, targetName string, targetCount int, slots uint32, priority objects.Priority, preference objects.Preference) workload {
	return workload{
		service: objects.Service{
			Name: serviceName, Address: netip.AddrFrom4([4]byte{10, 0, 0, index}), Port: servicePort,
			Protocol: objects.ProtocolQUIC, Pool: serviceName, Priority: priority, Preference: preference,
		},
		pool:        objects.Pool{Name: serviceName, Slots: slots, Connections: 2000, RampSeconds: rampSeconds},
		targetCount: targetCount,
		targetName:  targetName,
	}
}

// withLoad returns the workload with the load of its callers set.
func (w workload) withLoad(feedCount, idleFeedCount int, requestRate float64, requestOptions caller.RequestOptions) workload {
	w.feedCount, w.idleFeedCount, w.requestRate, w.requestOptions = feedCount, idleFeedCount, requestRate, requestOptions
	w.messageInterval = 200 * time.Millisecond
	return w
}

func (w workload) endpoint() netip.AddrPort {
	return netip.AddrPortFrom(w.service.Address, w.service.Port)
}

// targetObjects returns the targets of the service, distributed over the places.
func (w workload) targetObjects(places []string) []objects.Target {
	out := make([]objects.Target, w.targetCount)
	serviceIP := w.service.Address.As4()
	for i := range out {
		out[i] = objects.Target{
			Name: fmt.Sprintf("%s-%02d", w.targetName, i+1), Pool: w.pool.Name, Place: places[i%len(places)],
			Address: netip.AddrFrom4([4]byte{10, 1, serviceIP[3], byte(i + 1)}), Port: targetPort,
		}
	}
	return out
}

// configuration returns the configuration of the users. The targets have no health
// endpoints yet.
func (u users) configuration() objects.Set {
	var set objects.Set
	for _, place := range u.places {
		set.Places = append(set.Places, objects.Place{Name: place})
	}
	for _, w := range u.workloads {
		set.Services = append(set.Services, w.service)
		set.Pools = append(set.Pools, w.pool)
		set.Targets = append(set.Targets, w.targetObjects(u.places)...)
	}
	return set
}
