package dsr

import (
	"cmp"
	"slices"
	"strings"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// assignToken resolves a token collision in favor of the target that was created first.
// The other target receives no flows while the first may still have some.
func (g *registry) assignToken(t *Target) {
	holder := g.byToken[t.Token]
	if holder == nil || t.Created < holder.Created {
		g.byToken[t.Token] = t
	}
}

// reassignToken assigns a released token to the target that was created first among
// those that share it.
func (g *registry) reassignToken(token Token) {
	for _, t := range g.byID {
		if t.Token == token {
			g.assignToken(t)
		}
	}
}

// rebuildIndex updates the digest and rebuilds the lists of targets by service, sorted by ID so
// that all balancers use the same order, and the latest target of each address.
func (g *registry) rebuildIndex() {
	g.contentDigest = g.digest()
	clear(g.byService)
	clear(g.latestByEndpoint)
	for _, t := range g.firstEntries() {
		if latest := g.latestByEndpoint[t.Endpoint]; latest == nil || t.Created > latest.Created {
			g.latestByEndpoint[t.Endpoint] = t
		}
		if g.byToken[t.Token] == t {
			g.byService[t.Service] = append(g.byService[t.Service], t)
		}
	}
	for _, targets := range g.byService {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
		boundSlots(targets)
	}
}

// targetIdentity identifies the process that receives the packets of a target.
type targetIdentity struct {
	endpoint    protocol.Endpoint
	incarnation uint64
}

// firstEntries returns the targets that are not gone. Of several entries that name one process,
// it prefers those whose service a route names, and of these the one that was created first: a
// later one may be of another writer, who does not know the state of the target or names another
// service. The order of creation alone does not suffice, because a target that restarts creates
// its entry anew, and a balancer that starts afterwards knows no earlier creation.
func (g *registry) firstEntries() map[targetIdentity]*Target {
	first := make(map[targetIdentity]*Target, len(g.byID))
	for _, t := range g.byID {
		if !t.goneAt.IsZero() {
			continue
		}
		identity := targetIdentity{t.Endpoint, t.Incarnation}
		if other := first[identity]; other == nil || g.precedes(t, other) {
			first[identity] = t
		}
	}
	return first
}

// precedes reports whether an entry is used instead of another one that names the same process.
func (g *registry) precedes(t, other *Target) bool {
	if routed := g.isRouted(t.Service); routed != g.isRouted(other.Service) {
		return routed
	}
	return cmp.Or(cmp.Compare(t.firstCreated, other.firstCreated), strings.Compare(t.ID, other.ID)) < 0
}

// boundSlots sets the effective slots of the targets of one service.
func boundSlots(targets []*Target) {
	slots := make([]int, len(targets))
	for i, t := range targets {
		slots[i] = t.Slots
	}
	slices.Sort(slots)
	median := max(slots[(len(slots)-1)/2], 1)
	for _, t := range targets {
		t.effectiveSlots = min(max(t.Slots, 1), maxSlotsRatio*median)
	}
}
