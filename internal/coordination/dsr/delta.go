package dsr

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Delta is what changed at the targets as one balancer sees them, for another one.
type Delta struct {
	// Epoch names the balancer's process, Change is its counter of changes.
	Epoch    uint64
	Sequence uint64
	// Revision is that of the latest reading.
	Revision uint64
	// Full is set when Targets are all that serve, and not only those that changed.
	Full    bool
	Targets []Announcement
	// Gone are the IDs of targets that ended.
	Gone []string
}

// Summary tells how new the data of a balancer are.
type Summary struct {
	RoutesVersion uint64
	Epoch         uint64
	Sequence      uint64
	// Readings counts the readings of the platform that were taken here.
	Listings uint64
	// AsOf is the latest time at which the data were known to be the platform's.
	AsOf time.Time
}

// Summary returns how new the data are. ok is false before there are any.
func (d *Dispatcher) Summary() (s Summary, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.targets
	return Summary{RoutesVersion: d.routes.version, Epoch: g.epoch, Sequence: g.sequence, Listings: g.listings, AsOf: g.asOf}, d.ready()
}

// Delta returns what changed after a change of this process, or everything.
func (d *Dispatcher) Delta(epoch, afterSequence uint64) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.targets
	delta := Delta{Epoch: g.epoch, Sequence: g.sequence, Revision: g.revision}
	delta.Full = epoch != g.epoch || afterSequence < g.evictedSequence || afterSequence > g.sequence
	for id, t := range g.byID {
		switch {
		case t.goneAt.IsZero() && (delta.Full || t.changeSequence > afterSequence):
			delta.Targets = append(delta.Targets, t.Announcement)
		case !t.goneAt.IsZero() && !delta.Full && t.changeSequence > afterSequence:
			delta.Gone = append(delta.Gone, id)
		}
	}
	return delta
}

// Apply takes what changed at another balancer. It reports false, and changes
// nothing, when the other balancer's reading is older than what is known here.
func (d *Dispatcher) ApplyDelta(now time.Time, delta Delta) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied, events := d.targets.applyDelta(now, delta)
	d.events = append(d.events, events...)
	d.signalReady()
	return applied
}

func (g *registry) applyDelta(now time.Time, delta Delta) (applied bool, events []Event) {
	if g.hasListing && delta.Revision < g.revision {
		return false, []Event{{Kind: EventListingIgnored, Revision: delta.Revision}}
	}
	g.hasListing, g.revision = true, delta.Revision
	present, events := g.upsertAll(now, delta.Targets)
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
	g.rebuildIndex()
	return true, events
}

// missing returns the IDs of targets that are not among those present.
func (g *registry) missingIDs(present map[string]bool) []string {
	var ids []string
	for id := range g.byID {
		if !present[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// Confirm tells that the data were those of the platform at a time.
func (d *Dispatcher) ConfirmAsOf(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf.After(d.targets.asOf) {
		d.targets.asOf = asOf
	}
}

// maxChangedRoutes bounds a delta to about 8 KB, so that a balancer with a slow
// link can pass it on to all its followers without holding up packets.
const maxRoutesDeltaEntries = 100

// RoutesDelta is what changed between two versions of the routes.
type RoutesDelta struct {
	AfterVersion uint64
	Version      uint64
	IdleTimeout  time.Duration
	Changed      []*Route
	Removed      []protocol.Endpoint
}

// RoutesDelta returns what changed after a version. ok is false when that is too
// much, or when the version is older than the first one here.
func (d *Dispatcher) RoutesDelta(afterVersion uint64) (delta RoutesDelta, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.routes
	if afterVersion < t.firstVersion || afterVersion > t.version || t.firstVersion == 0 {
		return RoutesDelta{}, false
	}
	delta = RoutesDelta{AfterVersion: afterVersion, Version: t.version, IdleTimeout: t.idleTimeout}
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
	return delta, len(delta.Changed)+len(delta.Removed) <= maxRoutesDeltaEntries
}

// ApplyRoutes puts a newer version in force that differs from the present one by
// a delta. It reports false when the delta does not start at the present version.
func (d *Dispatcher) ApplyRoutesDelta(delta RoutesDelta) bool {
	set, ok := d.mergeRoutes(delta)
	return ok && d.SetRoutes(set)
}

func (d *Dispatcher) mergeRoutes(delta RoutesDelta) (RouteSet, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if delta.AfterVersion != d.routes.version {
		return RouteSet{}, false
	}
	replaced := make(map[protocol.Endpoint]bool)
	for _, r := range delta.Changed {
		replaced[r.Address] = true
	}
	for _, address := range delta.Removed {
		replaced[address] = true
	}
	set := RouteSet{Version: delta.Version, IdleTimeout: delta.IdleTimeout, Routes: delta.Changed}
	for address, r := range d.routes.current {
		if !replaced[address] {
			set.Routes = append(set.Routes, r)
		}
	}
	return set, true
}
