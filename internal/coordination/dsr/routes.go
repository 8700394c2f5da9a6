package dsr

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Route tells where new flows to one address and port go.
type Route struct {
	Name    string
	Address protocol.Endpoint
	// Backends are the services that take new flows, by weight.
	Backends []Backend
	// Timeout is how long a caller waits for one request.
	Timeout time.Duration
	// Latency is the time within which an answer is on time, 0 when that is not stated.
	LatencyTarget time.Duration
	// Priority orders the routes of a service; 0 is the most urgent.
	Priority int

	// use is shared by the versions of a route.
	usage *routeUsage
}

// routeUse counts the flows of a route at this balancer.
type routeUsage struct {
	openFlows int
	inFlight  int
	// activity is the share of its time that an open flow has a request in progress, as a moving average.
	activeRatio float64
}

// Backend is a service with its share of the new flows of a route.
type Backend struct {
	Service string
	Weight  float64
	// Connections is how many flows a target of the service holds, 0 when that is not stated.
	MaxFlowsPerTarget int
}

// RouteSet is one version of the configuration.
type RouteSet struct {
	Version uint64
	Routes  []*Route
	// IdleTimeout is how long a flow without packets is kept.
	IdleTimeout time.Duration
}

// routeTable holds the routes in force and what earlier versions allowed.
type routeTable struct {
	version     uint64
	idleTimeout time.Duration
	current     map[protocol.Endpoint]*Route
	// connections is how many flows a target holds, by service.
	flowLimits map[string]int
	// byService holds the addresses of the routes that send flows to a service.
	byService map[string][]protocol.Endpoint
	// services are the services that any version allowed on an address. Open
	// flows stay at their target when the route moves to another service.
	allowedServices map[protocol.Endpoint]map[string]bool
	// first is the first version here, changed the version at which the route of an
	// address last changed or was removed.
	firstVersion    uint64
	changedVersions map[protocol.Endpoint]uint64
}

func newRouteTable() *routeTable {
	return &routeTable{
		current:         make(map[protocol.Endpoint]*Route),
		allowedServices: make(map[protocol.Endpoint]map[string]bool),
		changedVersions: make(map[protocol.Endpoint]uint64),
	}
}

// adopt puts a newer version in force and reports whether it did.
func (t *routeTable) apply(set RouteSet) bool {
	if set.Version <= t.version {
		return false
	}
	previous := t.current
	t.version, t.idleTimeout = set.Version, set.IdleTimeout
	if t.firstVersion == 0 {
		t.firstVersion = set.Version
	}
	t.current = make(map[protocol.Endpoint]*Route, len(set.Routes))
	t.flowLimits = make(map[string]int)
	for _, r := range set.Routes {
		r.usage = &routeUsage{}
		if old := previous[r.Address]; old != nil {
			r.usage = old.usage
		}
		if !r.equal(previous[r.Address]) {
			t.changedVersions[r.Address] = set.Version
		}
		t.current[r.Address] = r
		t.allowServices(r)
		for _, b := range r.Backends {
			t.flowLimits[b.Service] = b.MaxFlowsPerTarget
		}
	}
	t.indexByService()
	for address := range previous {
		if t.current[address] == nil {
			t.changedVersions[address] = set.Version
		}
	}
	return true
}

// equal reports whether a route says the same as another one, which may be nil.
func (r *Route) equal(other *Route) bool {
	return other != nil && r.Name == other.Name && r.Timeout == other.Timeout && r.LatencyTarget == other.LatencyTarget &&
		r.Priority == other.Priority && slices.Equal(r.Backends, other.Backends)
}

func (t *routeTable) allowServices(r *Route) {
	allowed := t.allowedServices[r.Address]
	if allowed == nil {
		allowed = make(map[string]bool, len(r.Backends))
		t.allowedServices[r.Address] = allowed
	}
	for _, b := range r.Backends {
		allowed[b.Service] = true
	}
}

// removed reports whether an earlier version had a route on the address and the present one has not.
func (t *routeTable) wasRemoved(a protocol.Endpoint) bool {
	return t.current[a] == nil && t.allowedServices[a] != nil
}

// allows reports whether any version sent flows of the address to the service.
func (t *routeTable) isAllowed(a protocol.Endpoint, service string) bool {
	return t.allowedServices[a][service]
}

// order returns the services of a route, the one for this flow first. The flow
// alone decides, so that a copy of an opener goes to the same service at every balancer.
func (r *Route) orderBackends(flow uint64) []Backend {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	position := float64(flow>>11) / (1 << 53) * total
	for i, b := range r.Backends {
		if position < b.Weight {
			return append([]Backend{b}, append(r.Backends[:i:i], r.Backends[i+1:]...)...)
		}
		position -= b.Weight
	}
	return r.Backends
}
