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
	// rampSeconds keeps the ramp of the targets short against the length of a demo.
	rampSeconds = 1
)

// workload is one service of the users with its targets and its callers.
type workload struct {
	service    objects.Service
	pool       objects.Pool
	targets    int
	feeds      int
	idleFeeds  int
	interval   time.Duration
	rate       float64 // requests a second
	work       caller.RequestOptions
	targetName string
}

// users are the places and services of one customer.
type users struct {
	places    []string
	workloads []workload
}

// Names of the users whose services the demo can run.
const (
	Coralline = "coralline"
	Guild     = "guild"
)

// newUsers returns the services of the named users at their sizes.
func newUsers(name string) (users, error) {
	short := caller.RequestOptions{WorkMS: 20, ResponseBytes: 4000}
	upload := caller.RequestOptions{WorkMS: 50, ResponseBytes: 200, UploadBytes: 100_000}
	switch name {
	case Coralline:
		return users{
			places: []string{"pl-a", "pl-b", "pl-c"},
			workloads: []workload{
				newWorkload(1, "quote-desk", "quote", 14, 2, objects.PriorityHigh, objects.PreferenceAffinity).with(280, 70, 60, short),
				newWorkload(2, "stock-registry", "stock", 4, 2, objects.PriorityNormal, objects.PreferenceAffinity).with(40, 10, 10, upload),
			},
		}, nil
	case Guild:
		return users{
			places: []string{"detroit", "cleveland", "toronto"},
			workloads: []workload{
				newWorkload(1, "bookdesk", "book", 14, 3, objects.PriorityHigh, objects.PreferenceEvenness).with(280, 70, 60, short),
				newWorkload(2, "proofdrop", "proof", 4, 3, objects.PriorityNormal, objects.PreferenceAffinity).with(40, 10, 10, upload),
			},
		}, nil
	}
	return users{}, errors.Errorf("users %q: want %s or %s", name, Coralline, Guild)
}

// newWorkload returns a QUIC service that is not idempotent. The index selects its addresses.
func newWorkload(index byte, service, target string, targets int, slots uint32, weight objects.Priority, preference objects.Preference) workload {
	return workload{
		service: objects.Service{
			Name: service, Address: netip.AddrFrom4([4]byte{10, 0, 0, index}), Port: servicePort,
			Protocol: objects.ProtocolQUIC, Pool: service, Priority: weight, Preference: preference,
		},
		pool:       objects.Pool{Name: service, Slots: slots, Connections: 2000, RampSeconds: rampSeconds},
		targets:    targets,
		targetName: target,
	}
}

// with sets the load of the callers.
func (w workload) with(feeds, idle int, rate float64, work caller.RequestOptions) workload {
	w.feeds, w.idleFeeds, w.rate, w.work = feeds, idle, rate, work
	w.interval = 200 * time.Millisecond
	return w
}

func (w workload) endpoint() netip.AddrPort {
	return netip.AddrPortFrom(w.service.Address, w.service.Port)
}

// targetObjects returns the targets of the service, spread over the places.
func (w workload) targetObjects(places []string) []objects.Target {
	out := make([]objects.Target, w.targets)
	service := w.service.Address.As4()
	for i := range out {
		out[i] = objects.Target{
			Name: fmt.Sprintf("%s-%02d", w.targetName, i+1), Pool: w.pool.Name, Place: places[i%len(places)],
			Address: netip.AddrFrom4([4]byte{10, 1, service[3], byte(i + 1)}), Port: targetPort,
		}
	}
	return out
}

// configuration returns the objects of the users without health endpoints.
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
