package dsr

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Route defines which services receive the new flows to one address and port.
type Route struct {
	Name    string
	Address protocol.Endpoint
	// Backends are the services among which new flows are distributed by weight.
	Backends []Backend
	// Timeout is how long a caller waits for one request.
	Timeout time.Duration
	// LatencyTarget is the response time up to which an answer is on time, 0 if unset.
	LatencyTarget time.Duration
	// Priority ranks the routes of a service; 0 is the most urgent.
	Priority int

	// cachedHash is the hash of the fields above, 0 until it is computed.
	cachedHash uint64
	// usage is shared by all versions of a route.
	usage *routeUsage
}

// routeUsage counts the flows and in-flight requests of a route at this balancer.
type routeUsage struct {
	openFlows int
	inFlight  int
	// inFlightElsewhere counts those of the in-flight requests that are at targets of other places.
	inFlightElsewhere int
	// activeRatio is the moving average of the fraction of open flows that have a
	// request in flight.
	activeRatio float64
	// sizes and callers hold the response sizes, and the flows by the address of the caller, if Options.LearnsFromRejections is set.
	sizes   *responseSizes
	callers *callerCounts
}

// Backend is a service that receives new flows of a route.
type Backend struct {
	Service string
	Weight  float64
	// MaxFlowsPerTarget is how many concurrent flows a target of the service accepts, 0 if
	// unknown.
	MaxFlowsPerTarget int
	// ColdPerSecond is how many requests a second a target of the service can handle during its
	// warm-up, 0 if unknown. ColdDuration is how long a warm-up takes, 0 if unknown or if
	// ColdPerSecond is.
	ColdPerSecond float64
	ColdDuration  time.Duration
}

// RouteSet is one version of the configuration.
type RouteSet struct {
	Version uint64
	Routes  []*Route
	// IdleTimeout is how long a flow is kept after its last packet.
	IdleTimeout time.Duration
	// Era is the era of the store that had the routes.
	Era uint64
	// ReadAt is when the read of the routes was begun, zero if its response may be the copy of an
	// earlier one and thus cannot show that a higher version never existed.
	ReadAt time.Time
}

// byAddress returns the routes by address. Of several routes to one address the last one counts.
func (s RouteSet) byAddress() map[protocol.Endpoint]*Route {
	routes := make(map[protocol.Endpoint]*Route, len(s.Routes))
	for _, r := range s.Routes {
		routes[r.Address] = r
	}
	return routes
}

// routeTable holds the current routes, and the services that earlier versions allowed.
type routeTable struct {
	version     uint64
	idleTimeout time.Duration
	// contentDigest is the digest of the current routes, 0 if there are none yet.
	contentDigest Digest
	current       map[protocol.Endpoint]*Route
	// flowLimits holds the number of concurrent flows that a target accepts, by service.
	flowLimits map[string]int
	// coldLimits holds what is known about targets in warm-up, by service.
	coldLimits map[string]coldLimit
	// byService holds the addresses of the routes to each service.
	byService map[string][]protocol.Endpoint
	// allowedServices holds, for each address, the services that any version routed it
	// to. Open flows stay at their target when the route changes to another service.
	allowedServices map[protocol.Endpoint]map[string]bool
	// isFromStore is set if the current routes were read from the store, not received from
	// another balancer.
	isFromStore bool
	// era is the era of the store that had the current routes.
	era uint64
	// receivedAt is when another balancer sent the current routes.
	receivedAt time.Time
	// recentVersions holds the latest versions that were applied here, in ascending order.
	// changedVersions holds the version in which the route of an address last changed or was
	// removed.
	recentVersions  []uint64
	changedVersions map[protocol.Endpoint]uint64
}

func newRouteTable() *routeTable {
	return &routeTable{
		current:         make(map[protocol.Endpoint]*Route),
		allowedServices: make(map[protocol.Endpoint]map[string]bool),
		changedVersions: make(map[protocol.Endpoint]uint64),
	}
}

// maxRecentVersions limits the versions from which a balancer gives deltas. Followers of an older
// one read the store.
const maxRecentVersions = 256

// hasApplied reports whether the routes were those of a version.
func (t *routeTable) hasApplied(version uint64) bool {
	_, found := slices.BinarySearch(t.recentVersions, version)
	return found
}

// replaces reports whether a set of routes takes the place of the current one: a newer version
// does, and the store's routes of a version replace different ones that another balancer sent or that
// the store had before it returned from an older copy. A version of an earlier era stays: the copy
// may lack it until the operator has written it again.
func (t *routeTable) replaces(set RouteSet, isFromStore bool) bool {
	if set.Version < t.version {
		return isFromStore && !t.isFromStore && set.Era == t.era && isFalse(t.receivedAt, set.ReadAt)
	}
	if set.Version > t.version {
		return true
	}
	return isFromStore && (!t.isFromStore || set.Era > t.era) && set.Version > 0 && set.digest() != t.contentDigest
}

// apply replaces the current routes and reports whether the set of services that they name has
// changed.
func (t *routeTable) apply(set RouteSet, isFromStore bool) (servicesChanged bool) {
	previous, previousByService := t.current, t.byService
	if set.Version < t.version {
		t.recentVersions, t.changedVersions = nil, make(map[protocol.Endpoint]uint64)
	}
	if set.Version != t.version {
		t.recentVersions = append(t.recentVersions[max(len(t.recentVersions)-maxRecentVersions+1, 0):], set.Version)
	}
	t.version, t.era, t.idleTimeout, t.isFromStore = set.Version, set.Era, set.IdleTimeout, isFromStore
	t.contentDigest = set.digest()
	t.current = set.byAddress()
	t.flowLimits, t.coldLimits = make(map[string]int), make(map[string]coldLimit)
	for _, r := range t.current {
		if old := previous[r.Address]; old != nil {
			r.usage = old.usage
		} else {
			r.usage = &routeUsage{}
		}
		if !r.equal(previous[r.Address]) {
			t.changedVersions[r.Address] = set.Version
		}
		t.allowServices(r)
		for _, b := range r.Backends {
			t.flowLimits[b.Service] = b.MaxFlowsPerTarget
			if b.ColdPerSecond > 0 {
				t.coldLimits[b.Service] = coldLimit{perSecond: b.ColdPerSecond, maxDuration: b.ColdDuration}
			}
		}
	}
	t.indexByService()
	for address := range previous {
		if t.current[address] == nil {
			t.changedVersions[address] = set.Version
		}
	}
	return !maps.EqualFunc(t.byService, previousByService, func(_, _ []protocol.Endpoint) bool { return true })
}

// namesService reports whether a current route names a service.
func (t *routeTable) namesService(service string) bool { return len(t.byService[service]) > 0 }

// equal reports whether two routes have the same settings. other may be nil.
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

// wasRemoved reports whether an earlier version had a route for the address and the
// current one does not.
func (t *routeTable) wasRemoved(a protocol.Endpoint) bool {
	return t.current[a] == nil && t.allowedServices[a] != nil
}

// isAllowed reports whether any version routed the address to the service.
func (t *routeTable) isAllowed(a protocol.Endpoint, service string) bool {
	return t.allowedServices[a][service]
}

// hasBackend reports whether new flows of the route may go to the service.
func (r *Route) hasBackend(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
}

// orderBackends returns the backends of a route, starting with the one selected for the
// flow. The selection depends on the flow hash alone, so that a retransmitted opener
// goes to the same service at every balancer.
func (r *Route) orderBackends(flowHash uint64) []Backend {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	position := float64(flowHash>>11) / (1 << 53) * total
	for i, b := range r.Backends {
		if position < b.Weight {
			return append([]Backend{b}, append(r.Backends[:i:i], r.Backends[i+1:]...)...)
		}
		position -= b.Weight
	}
	return r.Backends
}
