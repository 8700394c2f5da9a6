package dsr

import (
	"cmp"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Delta holds changes of the targets that a balancer knows, for replication to its
// followers: the balancers that receive their data from it.
type Delta struct {
	// Epoch identifies the balancer's process, ChangeSequence its latest change.
	Epoch          uint64
	ChangeSequence uint64
	// Era and Revision are the state of the store of the balancer's data. Balancers of earlier
	// versions do not send the era; it is then 0.
	Era, Revision uint64
	// Full is set if Targets holds all targets that are not gone, not only the changed ones.
	Full    bool
	Targets []Announcement
	// Gone holds the IDs of targets that are gone.
	Gone []string
	// EvacuatedPlaces holds all evacuated places that known targets name.
	EvacuatedPlaces []string
}

// Summary describes how recent a balancer's routes and targets are.
type Summary struct {
	RoutesVersion uint64
	RoutesDigest  Digest
	// RoutesAreFromStore is set if the store had these routes when this balancer read it.
	RoutesAreFromStore bool
	// Routes is the number of routes.
	Routes         int
	Epoch          uint64
	ChangeSequence uint64
	TargetsDigest  Digest
	// Era and Revision are the state of the store of the data.
	Era, Revision uint64
	// Listings counts the listings that this balancer read from the store and applied.
	Listings uint64
	// AsOf is the latest time at which the data were known to match the store.
	AsOf time.Time
}

// Position returns the state of the store of the data.
func (s Summary) Position() Position { return Position{s.Era, s.Revision} }

// Summary returns how recent the data are. ok is false until routes and targets are known.
func (d *Dispatcher) Summary() (s Summary, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.targets
	return Summary{
		RoutesVersion:      d.routes.version,
		RoutesDigest:       d.routes.contentDigest,
		RoutesAreFromStore: d.routes.isFromStore,
		Routes:             len(d.routes.current),
		Epoch:              g.epoch,
		ChangeSequence:     g.changeSequence,
		TargetsDigest:      g.contentDigest,
		Era:                g.position.Era,
		Revision:           g.position.Revision,
		Listings:           g.listings,
		AsOf:               g.asOf,
	}, d.ready()
}

// Position returns the state of the store of the targets in use.
func (d *Dispatcher) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets.position
}

// Delta returns the changes after a sequence number of this process, or all targets if
// the epoch is another one or the sequence number is out of range.
func (d *Dispatcher) Delta(epoch, afterSequence uint64) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.targets
	delta := Delta{Epoch: g.epoch, ChangeSequence: g.changeSequence, Era: g.position.Era, Revision: g.position.Revision, EvacuatedPlaces: g.evacuatedPlaces()}
	delta.Full = epoch != g.epoch || afterSequence < g.evictedSequence || afterSequence > g.changeSequence
	for id, t := range g.byID {
		switch {
		case t.goneAt.IsZero() && (delta.Full || t.changeSequence > afterSequence):
			delta.Targets = append(delta.Targets, g.announcementFor(d.lastTickAt, t))
		case !t.goneAt.IsZero() && !delta.Full && t.changeSequence > afterSequence:
			delta.Gone = append(delta.Gone, id)
		}
	}
	return delta
}

// ApplyDelta applies the changes of another balancer. It reports false and applies
// nothing if the other balancer's data are older than those here.
func (d *Dispatcher) ApplyDelta(now time.Time, delta Delta) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied, events := d.targets.applyDelta(now, delta)
	d.addDataEvents(d.targets.asOf, events...)
	d.signalReady()
	return applied
}

func (g *registry) applyDelta(now time.Time, delta Delta) (applied bool, events []Event) {
	position := Position{cmp.Or(delta.Era, g.position.Era), delta.Revision}
	if g.hasListing && position.Before(g.position) {
		return false, []Event{{Kind: EventListingIgnored, Era: position.Era, Revision: position.Revision}}
	}
	if g.hasListing && position.Era != g.position.Era {
		events = append(events, g.enterEra(now, position))
		g.positionRaisedAt = now
	}
	g.hasListing = true
	g.raisePosition(now, position)
	present, upserted := g.upsertAll(now, delta.Targets, func(_ time.Time, a Announcement) bool { return g.isObsolete(a) })
	events = append(events, upserted...)
	goneIDs := delta.Gone
	if delta.Full {
		goneIDs = g.missingIDs(present)
	}
	for _, id := range goneIDs {
		if t := g.byID[id]; t != nil && t.goneAt.IsZero() {
			events = append(events, g.markGone(now, t))
		}
	}
	g.evictExpired(now)
	events = append(events, g.applyEvacuations(now, placeSet(delta.EvacuatedPlaces))...)
	g.rebuildIndex()
	return true, events
}

// isObsolete reports whether newer data than an announcement lacked its target. The other
// balancer may keep a target that its own listing lacks.
func (g *registry) isObsolete(a Announcement) bool {
	t := g.byID[a.ID]
	return t != nil && !t.goneAt.IsZero() && a.Revision <= t.goneRevision
}

// missingIDs returns the IDs of the known targets that are not in present.
func (g *registry) missingIDs(present map[string]bool) []string {
	var ids []string
	for id := range g.byID {
		if !present[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// ConfirmRead records that the routes and targets that were read from the store matched it at
// the given time. The listing alone does not, because the routes of the same time may not be
// known yet, and nothing does while targets are kept that it lacked.
func (d *Dispatcher) ConfirmRead(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.targets.keepsMissing {
		d.targets.confirm(asOf)
	}
}

// ConfirmAsOf records that the data matched another balancer's, which matched the store at
// the given time, when the store was at least at the given position. It does nothing if the data
// here are of another era by now.
func (d *Dispatcher) ConfirmAsOf(now, asOf time.Time, p Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.Era != d.targets.position.Era {
		return
	}
	d.targets.raisePosition(now, p)
	d.targets.confirm(asOf)
}

// ReportMismatch records that another balancer has other routes of the same version, or other
// targets after the same changes.
func (d *Dispatcher) ReportMismatch(routes, targets bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if routes {
		d.addDataEvents(d.targets.asOf, Event{Kind: EventRoutesMismatch, Revision: d.routes.version, RoutesDigest: d.routes.contentDigest})
	}
	if targets {
		d.addDataEvents(d.targets.asOf, Event{Kind: EventTargetsMismatch, Revision: d.targets.position.Revision})
	}
}

// MaxRoutesDeltaEntries bounds the compressed size of a delta, so that a balancer with a
// slow link can send it to all its followers without delaying packets.
const MaxRoutesDeltaEntries = 1500

// RoutesDelta holds the changes between two versions of the routes.
type RoutesDelta struct {
	AfterVersion uint64
	Version      uint64
	// Era is the era of the store that had the routes, 0 from balancers of earlier versions.
	Era uint64
	// Digest is the digest of the routes of Version, by which the receiver checks the result.
	Digest      Digest
	IdleTimeout time.Duration
	Changed     []*Route
	Removed     []protocol.Endpoint
}

// RoutesDelta returns the changes after a version, or all routes after version 0. ok is
// false if there are more changes than MaxRoutesDeltaEntries, or if the version was not
// applied here: a balancer that skipped a version does not know what it changed.
func (d *Dispatcher) RoutesDelta(afterVersion uint64) (delta RoutesDelta, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.routes
	if afterVersion == 0 && t.version > 0 {
		delta = RoutesDelta{Version: t.version, Era: t.era, Digest: t.contentDigest, IdleTimeout: t.idleTimeout}
		for _, r := range t.current {
			delta.Changed = append(delta.Changed, r)
		}
		return delta, true
	}
	if !t.hasApplied(afterVersion) {
		return RoutesDelta{}, false
	}
	delta = RoutesDelta{AfterVersion: afterVersion, Version: t.version, Era: t.era, Digest: t.contentDigest, IdleTimeout: t.idleTimeout}
	for address, version := range t.changedVersions {
		if version <= afterVersion {
			continue
		}
		if r := t.current[address]; r != nil {
			delta.Changed = append(delta.Changed, r)
		} else {
			delta.Removed = append(delta.Removed, address)
		}
	}
	return delta, len(delta.Changed)+len(delta.Removed) <= MaxRoutesDeltaEntries
}

// DeltaResult is the outcome of a delta of routes.
type DeltaResult string

// Outcomes of a delta of routes.
const (
	DeltaApplied DeltaResult = "applied"
	// DeltaOutdated means that the delta is based on another version than the current one, or
	// is not newer than that.
	DeltaOutdated DeltaResult = "outdated"
	// DeltaMismatch means that the delta does not yield the routes of the balancer that sent it:
	// the two have different routes of the version on which it is based.
	DeltaMismatch DeltaResult = "mismatch"
)

// ApplyRoutesDelta applies a newer version of the routes, given as its changes to the
// current version.
func (d *Dispatcher) ApplyRoutesDelta(now time.Time, delta RoutesDelta) DeltaResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	if delta.AfterVersion != d.routes.version || delta.Version <= d.routes.version {
		return DeltaOutdated
	}
	delta.Era = cmp.Or(delta.Era, d.targets.position.Era)
	set := d.routes.merge(delta)
	if set.digest() != delta.Digest {
		d.addDataEvents(d.targets.asOf, Event{Kind: EventRoutesMismatch, Revision: delta.Version, RoutesDigest: d.routes.contentDigest})
		return DeltaMismatch
	}
	d.setRoutes(set, false)
	d.routes.receivedAt = now
	return DeltaApplied
}

// merge returns the routes that result from a delta to the current ones.
func (t *routeTable) merge(delta RoutesDelta) RouteSet {
	replaced := make(map[protocol.Endpoint]bool)
	for _, r := range delta.Changed {
		replaced[r.Address] = true
	}
	for _, address := range delta.Removed {
		replaced[address] = true
	}
	set := RouteSet{Version: delta.Version, Era: delta.Era, IdleTimeout: delta.IdleTimeout, Routes: delta.Changed}
	for address, r := range t.current {
		if !replaced[address] {
			set.Routes = append(set.Routes, r)
		}
	}
	return set
}
