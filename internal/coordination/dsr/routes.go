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
	Latency time.Duration
	// Priority orders the routes of a service; 0 is the most urgent.
	Priority int

	// use is shared by the versions of a route.
	use *routeUse
}

// routeUse counts the flows of a route at this balancer.
type routeUse struct {
	open    int
	running int
	// activity is the share of its time that an open flow has a request in progress, as a moving average.
	activity float64
}

// Backend is a service with its share of the new flows of a route.
type Backend struct {
	Service string
	Weight  float64
	// Connections is how many flows a target of the service holds, 0 when that is not stated.
	Connections int
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
	version uint64
	idle    time.Duration
	current map[protocol.Endpoint]*Route
	// connections is how many flows a target holds, by service.
	connections map[string]int
	// byService holds the addresses of the routes that send flows to a service.
	byService map[string][]protocol.Endpoint
	// services are the services that any version allowed on an address. Open
	// flows stay at their target when the route moves to another service.
	services map[protocol.Endpoint]map[string]bool
	// first is the first version here, changed the version at which the route of an
	// address last changed or was removed.
	first   uint64
	changed map[protocol.Endpoint]uint64
}

func newRouteTable() *routeTable {
	return &routeTable{
		current:  make(map[protocol.Endpoint]*Route),
		services: make(map[protocol.Endpoint]map[string]bool),
		changed:  make(map[protocol.Endpoint]uint64),
	}
}

// adopt puts a newer version in force and reports whether it did.
func (t *routeTable) adopt(set RouteSet) bool {
	if set.Version <= t.version {
		return false
	}
	former := t.current
	t.version, t.idle = set.Version, set.IdleTimeout
	if t.first == 0 {
		t.first = set.Version
	}
	t.current = make(map[protocol.Endpoint]*Route, len(set.Routes))
	t.connections = make(map[string]int)
	for _, r := range set.Routes {
		r.use = &routeUse{}
		if old := former[r.Address]; old != nil {
			r.use = old.use
		}
		if !r.equal(former[r.Address]) {
			t.changed[r.Address] = set.Version
		}
		t.current[r.Address] = r
		t.allow(r)
		for _, b := range r.Backends {
			t.connections[b.Service] = b.Connections
		}
	}
	t.indexByService()
	for address := range former {
		if t.current[address] == nil {
			t.changed[address] = set.Version
		}
	}
	return true
}

// equal reports whether a route says the same as another one, which may be nil.
func (r *Route) equal(other *Route) bool {
	return other != nil && r.Name == other.Name && r.Timeout == other.Timeout && r.Latency == other.Latency &&
		r.Priority == other.Priority && slices.Equal(r.Backends, other.Backends)
}

func (t *routeTable) allow(r *Route) {
	allowed := t.services[r.Address]
	if allowed == nil {
		allowed = make(map[string]bool, len(r.Backends))
		t.services[r.Address] = allowed
	}
	for _, b := range r.Backends {
		allowed[b.Service] = true
	}
}

// removed reports whether an earlier version had a route on the address and the present one has not.
func (t *routeTable) removed(a protocol.Endpoint) bool {
	return t.current[a] == nil && t.services[a] != nil
}

// allows reports whether any version sent flows of the address to the service.
func (t *routeTable) allows(a protocol.Endpoint, service string) bool {
	return t.services[a][service]
}

// order returns the services of a route, the one for this flow first. The flow
// alone decides, so that a copy of an opener goes to the same service at every balancer.
func (r *Route) order(flow uint64) []Backend {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	point := float64(flow>>11) / (1 << 53) * total
	for i, b := range r.Backends {
		if point < b.Weight {
			return append([]Backend{b}, append(r.Backends[:i:i], r.Backends[i+1:]...)...)
		}
		point -= b.Weight
	}
	return r.Backends
}
