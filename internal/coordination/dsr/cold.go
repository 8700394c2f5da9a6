package dsr

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Limit of the openers to targets in warm-up, see docs/design/cold-targets.md. A few balancers of the
// target's place, the deciders, send it openers, each at most a fixed share of the limit.

const (
	// firstShare is the part of the limit that the first decider of a target uses, allShares the part that
	// all its deciders use together. The limit therefore holds if the balancers of a place have two
	// different member lists, whatever these are, or if a single balancer has any other one.
	firstShare = 1.0 / 3
	allShares  = 1.0 / 2
	// coldFurtherDeciders is the number of deciders besides the first one. The more there are, the more
	// balancers of a large place can open flows at cold targets; the fewer, the better a place of
	// two or three balancers can use the limit.
	coldFurtherDeciders = 4
	// coldWindow is the time to which the limit applies. If the delay of the network varies by up to as
	// much, openers of two windows arrive in one, which allShares leaves room for.
	coldWindow = time.Second
	// maxColdShare limits the send times that are kept for a target.
	maxColdShare = 1024
)

// coldLimit is what the configuration states about the cold targets of a service.
type coldLimit struct {
	perSecond   float64
	maxDuration time.Duration
}

// coldOpeners is the state of a target from which a balancer limits the openers that it sends there.
type coldOpeners struct {
	// limit and share follow from the routes and the member list of a version (Dispatcher.coldVersion).
	// share is how many openers this balancer may send in coldWindow.
	limit   coldLimit
	share   int
	version uint64
	// sentAt holds the times of the openers of the last coldWindow.
	sentAt []time.Time
}

// placeMembers holds the balancers of the place that may be deciders.
type placeMembers struct {
	self   uint64
	others []uint64 // hashes of the names
}

// LimitsColdTargets reports whether the deployment limits the openers to cold targets.
func (d *Dispatcher) LimitsColdTargets() bool { return d.options.limitsColdTargets() }

func (o Options) limitsColdTargets() bool { return o.ColdOverage > 0 }

// SetPlaceMembers sets the names of the balancers of the place, self among them. If self is not,
// this balancer sends no openers to cold targets.
func (d *Dispatcher) SetPlaceMembers(self string, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = nil
	d.coldVersion++
	if !slices.Contains(names, self) {
		return
	}
	d.members = &placeMembers{self: xxhash.Sum64String(self)}
	for _, name := range names {
		if name != self {
			d.members.others = append(d.members.others, xxhash.Sum64String(name))
		}
	}
}

// rank returns the position of this balancer among the deciders of a target, 0 for the first one.
func (m *placeMembers) rank(t *Target) (rank int) {
	own := state.RendezvousScore(t.idHash, m.self, 1)
	for _, other := range m.others {
		if state.RendezvousScore(t.idHash, other, 1) > own {
			rank++
		}
	}
	return rank
}

// coldShare returns how many openers the decider of a rank may send in coldWindow to a target with a
// limit of openers a second. A limit below 3 leaves room for a single decider only.
func coldShare(limit float64, rank int) int {
	limit = min(limit, maxColdShare/firstShare)
	first := int(limit * firstShare)
	others := int(limit*allShares) - first
	deciders := min(others, coldFurtherDeciders)
	switch {
	case first == 0 && limit >= 1 && rank == 0:
		return 1
	case rank == 0:
		return first
	case first > 0 && rank <= deciders:
		return others / deciders
	}
	return 0
}

// updateCold recomputes the limit of a target after a change of the routes, the members or the entry.
func (d *Dispatcher) updateCold(t *Target) {
	t.cold.version, t.cold.share = d.coldVersion, 0
	t.cold.limit = d.routes.coldLimits[t.Service]
	if t.Place == d.options.Place && d.members != nil && t.cold.limit.perSecond > 0 {
		t.cold.share = coldShare(t.cold.limit.perSecond*d.options.ColdOverage+d.options.ColdSlack, d.members.rank(t))
	}
}

// isColdLimited reports whether a target is in warm-up and its service has a limit for that. An entry
// counts for at most the duration of a warm-up that the configuration states, if it states one.
func (d *Dispatcher) isColdLimited(now time.Time, t *Target) bool {
	if !now.Before(t.warmupUntil) || !d.options.limitsColdTargets() {
		return false
	}
	if t.cold.version != d.coldVersion {
		d.updateCold(t)
	}
	limit := &t.cold.limit
	return limit.perSecond > 0 && (limit.maxDuration == 0 || now.Before(t.warmupSince.Add(limit.maxDuration)))
}

// maySendOpener reports whether this balancer may send an opener to a target: always if it is not cold.
func (d *Dispatcher) maySendOpener(now time.Time, t *Target) bool {
	if !d.isColdLimited(now, t) {
		return true
	}
	expired := 0
	for expired < len(t.cold.sentAt) && now.Sub(t.cold.sentAt[expired]) >= coldWindow {
		expired++
	}
	t.cold.sentAt = t.cold.sentAt[expired:]
	return len(t.cold.sentAt) < t.cold.share
}

// recordOpenerSent records an opener, or a copy of one, that is forwarded to a target.
func (d *Dispatcher) recordOpenerSent(now time.Time, t *Target) {
	if d.isColdLimited(now, t) {
		t.cold.sentAt = append(t.cold.sentAt, now)
	}
}

// setWarmup sets the warm-up that an announcement states.
func (t *Target) setWarmup(now time.Time, remaining time.Duration) {
	t.warmupSince, t.warmupUntil = now, now.Add(remaining)
	t.cold.version = 0 // the entry may name another service or place
}

// minWarmupExtension is the least extension of a warm-up that followers are told of. Entries that are
// written again with the time that is left differ by the delay of the store.
const minWarmupExtension = time.Second

// extendsWarmup reports whether an announcement states a longer warm-up than the known one, so that
// followers must be told.
func (g *registry) extendsWarmup(now time.Time, t *Target, a Announcement) bool {
	return g.replicatesWarmup && a.Revision != t.Revision && a.WarmupRemaining > 0 && now.Add(a.WarmupRemaining).After(t.warmupUntil.Add(minWarmupExtension))
}

// announcementFor returns the announcement of a target for followers. A warm-up that has lasted for a
// while would otherwise begin anew at a follower that starts.
func (g *registry) announcementFor(now time.Time, t *Target) Announcement {
	a := t.Announcement
	if g.replicatesWarmup && !now.IsZero() {
		a.WarmupRemaining = max(min(a.WarmupRemaining, t.warmupUntil.Sub(now)), 0)
	}
	return a
}

// ColdTargets counts targets to which openers are limited at present.
type ColdTargets struct {
	// Limited counts the cold targets, Decided those of them to which this balancer may send openers.
	Limited, Decided int
}

func (d *Dispatcher) coldTargets() *ColdTargets {
	if !d.options.limitsColdTargets() {
		return nil
	}
	counts := &ColdTargets{}
	if d.lastTickAt.IsZero() {
		return counts
	}
	for _, targets := range d.targets.byService {
		for _, t := range targets {
			if !d.isColdLimited(d.lastTickAt, t) {
				continue
			}
			counts.Limited++
			if t.cold.share > 0 {
				counts.Decided++
			}
		}
	}
	return counts
}
