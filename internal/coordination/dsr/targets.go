package dsr

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Announcement is the state that a target publishes in the store.
type Announcement struct {
	ID string
	// Incarnation is the number that the target expects as a prefix of its packets.
	Incarnation uint64
	// Started is when the target's process started, in Unix milliseconds. A target
	// may restart under the same ID.
	Started  int64
	Service  string
	Endpoint protocol.Endpoint
	Place    string
	// Slots is the number of requests that the target runs concurrently.
	Slots    int
	Draining bool
	// WarmupRemaining is the remaining time of the target's warm-up, during which it
	// is slow.
	WarmupRemaining time.Duration
	// Created and Revision are the store revisions at which the entry was created and
	// last modified.
	Created  uint64
	Revision uint64
}

// Listing is a complete list of the announcements, as read from the store.
type Listing struct {
	Targets []Announcement
	// EvacuatedPlaces holds the places whose targets get no new flows. It is only read, and not
	// kept.
	EvacuatedPlaces map[string]bool
	// Era and Revision are the earliest state of the store that the list may reflect.
	Era, Revision uint64
	// ReadAt is when the read of the list was begun, zero if its response may be the copy of an
	// earlier one and thus cannot show that a higher revision never existed.
	ReadAt time.Time
	// IsRead is set if the list was read from the latest state as a whole, not kept up to date by
	// changes.
	IsRead bool
}

func (l Listing) position() Position { return Position{l.Era, l.Revision} }

const (
	// MaxSlots is the largest number of slots of a target.
	MaxSlots = 1 << 16
	// maxSlotsRatio limits the slots of a target to a multiple of the median of its service, so
	// that a wrong number in one entry does not draw nearly all flows to its target.
	maxSlotsRatio = 10
	// absenceGracePeriod is how long after the store has recovered a missing target may
	// still reappear. The platform states about two seconds, and a listing may lag behind.
	absenceGracePeriod = 2500 * time.Millisecond
	// tokenRetentionMargin is added to the longest lifetime of a flow to get the time for
	// which the token of a gone target is kept, for entries that were read late.
	tokenRetentionMargin = 30 * time.Second
	// massRemovalRatio is the fraction of a service's targets that may disappear in one
	// listing. If more do, the store is the likely cause, so the missing targets are kept
	// for absenceGracePeriod.
	massRemovalRatio = 0.5
	// massRemovalMinTargets is the least number of missing targets to which
	// massRemovalRatio applies.
	massRemovalMinTargets = 3
)

// Target is a target's announcement with the state that this balancer keeps for it.
type Target struct {
	Announcement
	Token  Token
	idHash uint64
	// contentHash is the hash of the announcement.
	contentHash uint64
	// effectiveSlots is the number of slots with which the target counts, at most maxSlotsRatio
	// times those of the median target of its service.
	effectiveSlots int
	// formerRevision is the revision of the announcement before the store last returned from a copy.
	formerRevision uint64
	// firstCreated is the lowest revision at which the entry was known to be created. It may be
	// created again after an outage of the store.
	firstCreated uint64

	// goneAt is when the target was marked as gone, zero while it serves. goneRevision is the
	// revision of the data that lacked it.
	goneAt       time.Time
	goneRevision uint64
	// missingSince is when a listing first lacked the target, zero if it is not missing.
	missingSince time.Time
	// warmupSince is when the announcement of the current warm-up was applied.
	warmupSince time.Time
	warmupUntil time.Time
	cold        coldOpeners
	// evacuated is set while the target's place is evacuated.
	evacuated bool
	// isElsewhere is set if the target was in another place than this balancer when it was added.
	isElsewhere bool
	// changeSequence is the registry's sequence number of the target's last change that
	// followers need to know.
	changeSequence uint64

	// openFlows and inFlight count this balancer's flows and in-flight requests at the
	// target. closedFlows counts those of the flows that their callers have closed.
	openFlows   int
	closedFlows int
	inFlight    int
	// idleFlowLoad is the expected number of in-flight requests on the open flows that
	// have none at present.
	idleFlowLoad float64

	health health
	// lastFullAt is when the target last ignored an opener, probably because it was full.
	lastFullAt time.Time
}

// acceptsNewFlows reports whether the target is neither gone nor draining, and its place is not
// evacuated.
func (t *Target) acceptsNewFlows() bool { return t.goneAt.IsZero() && !t.Draining && !t.evacuated }

// isUsable reports whether the target takes new flows and is not suspected, so that its slots count as
// capacity.
func (t *Target) isUsable() bool { return t.acceptsNewFlows() && !t.health.suspected() }

// KnownTarget is a target that a balancer knows and has not marked as gone.
type KnownTarget struct {
	Announcement
	// NeverAnswered is set if the target left packets unanswered, while others answered, and has
	// answered none.
	NeverAnswered bool
}

// KnownTarget returns the target of an ID. known is false if there is none, or it is gone.
func (d *Dispatcher) KnownTarget(id string) (target KnownTarget, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets.byID[id]
	if t == nil || !t.goneAt.IsZero() {
		return KnownTarget{}, false
	}
	return KnownTarget{Announcement: t.Announcement, NeverAnswered: t.health.suspected() && t.health.lastSuccessAt.IsZero()}, true
}

// tokenForID derives the token from the ID alone, so that all balancers use the same token.
func tokenForID(id string) Token {
	h := xxhash.Sum64String(id)
	token := Token(h ^ h>>32)
	if token == 0 {
		return 1
	}
	return token
}

// registry holds the targets, indexed by ID, token and service.
type registry struct {
	byID    map[string]*Target
	byToken map[Token]*Target
	// byService holds the targets that are not gone and own their token, by service.
	byService map[string][]*Target
	// latestByEndpoint holds, by address, the target that was created last among those that are
	// not gone.
	latestByEndpoint map[protocol.Endpoint]*Target
	// position is the state of the store of the latest data, asOf the latest time at which
	// they were known to be current.
	position   Position
	hasListing bool
	asOf       time.Time
	// eraSince is when the first data of the era of position were applied, zero if they were the first of all.
	eraSince time.Time
	// positionRaisedAt is when another balancer last raised position, zero if the store did.
	positionRaisedAt time.Time
	// holdUntil is the time until which hosts and operator may not have written again what the store
	// lost when it returned from an older copy. entryRevision is the revision of the first data since
	// then, and evacuatedBefore holds the places that were evacuated before.
	holdUntil       time.Time
	entryRevision   uint64
	evacuatedBefore map[string]time.Time

	// place is the place of this balancer.
	place string
	// evacuatedSince holds the evacuated places that known targets name, with the time at which
	// this balancer applied the evacuation.
	evacuatedSince map[string]time.Time
	// contentDigest is the digest of the targets that are not gone.
	contentDigest Digest
	// listings counts the listings that were applied.
	listings uint64
	// keepsMissing is set if the last listing lacked targets that are kept.
	keepsMissing bool
	// epoch identifies this registry in one era of the store.
	// changeSequence is the number of its latest change, evictedSequence the highest
	// changeSequence of an evicted target.
	epoch           uint64
	changeSequence  uint64
	evictedSequence uint64

	// lastFirstTrials holds, by service, when a target that never answered last got a trial flow.
	lastFirstTrials map[string]time.Time
	// keepMissingUntil is the time until which missing targets are kept after the
	// store has recovered.
	keepMissingUntil time.Time
	storeUnavailable bool
	// replicatesWarmup is set if followers are told of warm-ups that become longer.
	replicatesWarmup bool
	tokenRetention   time.Duration
	deriveToken      func(id string) Token
	// isRouted reports whether a current route names a service. When its results change, the
	// index must be rebuilt.
	isRouted func(service string) bool
}

func newRegistry(place string, maxFlowLifetime time.Duration, isRouted func(service string) bool) *registry {
	return &registry{
		place:            place,
		byID:             make(map[string]*Target),
		byToken:          make(map[Token]*Target),
		byService:        make(map[string][]*Target),
		latestByEndpoint: make(map[protocol.Endpoint]*Target),
		evacuatedSince:   make(map[string]time.Time),
		lastFirstTrials:  make(map[string]time.Time),
		epoch:            newEpoch(),
		tokenRetention:   maxFlowLifetime + tokenRetentionMargin,
		deriveToken:      tokenForID,
		isRouted:         isRouted,
	}
}

// markStoreUnavailable records that the store does not respond.
func (g *registry) markStoreUnavailable() { g.storeUnavailable = true }

// markStoreAvailable records that the store responds. Entries that expired during the
// outage may reappear.
func (g *registry) markStoreAvailable(now time.Time) {
	if g.storeUnavailable {
		g.storeUnavailable = false
		g.keepMissingUntil = now.Add(absenceGracePeriod)
	}
}

// applyListing updates the targets from a listing and returns the changes. It ignores a
// listing that is older than the current data. If it keeps targets that the listing lacks,
// the data do not match the store, and keptUntil is when they may be marked as gone.
func (g *registry) applyListing(now time.Time, l Listing) (events []Event, keptUntil time.Time) {
	if g.hasListing && l.position().Before(g.position) && !g.disproves(l) {
		g.keepsMissing = false // the data here have come from another balancer since
		return []Event{{Kind: EventListingIgnored, Era: l.Era, Revision: l.Revision}}, time.Time{}
	}
	if g.hasListing && (l.Era != g.position.Era || l.position().Before(g.position)) {
		events = append(events, g.enterEra(now, l.position()))
	}
	g.hasListing, g.position, g.positionRaisedAt = true, l.position(), time.Time{}
	g.listings++
	g.forgetLostRevisions(l)
	present, upserted := g.upsertAll(now, l.Targets, g.isHeld)
	events = append(events, upserted...)
	gone, keptUntil := g.markMissingGone(now, present)
	g.keepsMissing = !keptUntil.IsZero()
	if now.Before(g.holdUntil) {
		// The differences are what the store lost, so the data count as current. Otherwise all
		// followers would read the store.
		g.keepsMissing, keptUntil = false, g.holdUntil
	}
	g.evictExpired(now)
	events = append(events, gone...)
	events = append(events, g.applyEvacuations(now, g.heldEvacuations(now, l.EvacuatedPlaces))...)
	g.rebuildIndex()
	return events, keptUntil
}

// confirm records that the data matched the store at the given time.
func (g *registry) confirm(asOf time.Time) {
	if asOf.After(g.asOf) {
		g.asOf = asOf
	}
}

// upsertAll adds or updates targets, except those for which skip is true, and returns the set of
// their IDs.
func (g *registry) upsertAll(now time.Time, targets []Announcement, skip func(time.Time, Announcement) bool) (present map[string]bool, events []Event) {
	present = make(map[string]bool, len(targets))
	for _, a := range targets {
		present[a.ID] = true
		if !skip(now, a) {
			events = append(events, g.upsert(now, a)...)
		}
	}
	return present, events
}

// upsert adds or updates a target, unless the announcement is older than the known one.
func (g *registry) upsert(now time.Time, a Announcement) []Event {
	t := g.byID[a.ID]
	if t != nil && a.Revision < t.Revision {
		return nil
	}
	if t == nil {
		t = &Target{Announcement: a, Token: g.deriveToken(a.ID), idHash: xxhash.Sum64String(a.ID), contentHash: a.contentHash(), firstCreated: a.Created, isElsewhere: a.Place != g.place}
		t.setWarmup(now, a.WarmupRemaining)
		g.byID[a.ID] = t
		g.assignToken(t)
		g.markChanged(t)
		return []Event{{Kind: EventTargetAdded, target: t, Revision: a.Revision}}
	}
	return g.update(now, t, a)
}

func (g *registry) update(now time.Time, t *Target, a Announcement) []Event {
	var events []Event
	if g.differs(t, a) || g.extendsWarmup(now, t, a) {
		g.markChanged(t)
		t.contentHash = a.contentHash()
	}
	if a.Endpoint != t.Endpoint {
		t.health = health{} // the evidence concerns the former address
	}
	if a.Started != t.Started {
		t.health = health{}
		events = append(events, Event{Kind: EventTargetRestarted, target: t, Revision: a.Revision})
	}
	if !t.goneAt.IsZero() {
		t.goneAt = time.Time{}
		events = append(events, Event{Kind: EventTargetAdded, target: t, Revision: a.Revision})
	}
	if a.Draining != t.Draining {
		kind := EventTargetDraining
		if !a.Draining {
			kind = EventTargetAdded
		}
		events = append(events, Event{Kind: kind, target: t, Revision: a.Revision})
	}
	if a.Revision != t.Revision && (t.Revision != 0 || a.Revision != t.formerRevision) {
		t.setWarmup(now, a.WarmupRemaining)
	}
	t.missingSince = time.Time{}
	t.firstCreated = min(t.firstCreated, a.Created)
	t.Announcement = a
	return events
}

// markChanged assigns the next sequence number to a change that followers need to know.
func (g *registry) markChanged(t *Target) {
	g.changeSequence++
	t.changeSequence = g.changeSequence
}

// differs reports whether an announcement changes anything for followers.
func (g *registry) differs(t *Target, a Announcement) bool {
	if !t.goneAt.IsZero() {
		return true
	}
	a.Revision, a.WarmupRemaining = t.Revision, t.WarmupRemaining
	return a != t.Announcement
}

// markGone marks a target as gone.
func (g *registry) markGone(now time.Time, t *Target) Event {
	t.goneAt, t.goneRevision = now, g.position.Revision
	g.markChanged(t)
	return Event{Kind: EventTargetGone, target: t, Revision: g.position.Revision}
}

// markMissingGone marks targets that are no longer listed as gone, unless their entries
// may reappear. keptUntil is the latest time until which one of these may, zero if there are
// none.
func (g *registry) markMissingGone(now time.Time, present map[string]bool) (events []Event, keptUntil time.Time) {
	missing := make(map[string][]*Target)
	for id, t := range g.byID {
		if present[id] || !t.goneAt.IsZero() {
			continue
		}
		missing[t.Service] = append(missing[t.Service], t)
	}
	for service, targets := range missing {
		massRemoval := len(targets) >= massRemovalMinTargets && float64(len(targets)) > massRemovalRatio*float64(len(g.byService[service]))
		for _, t := range targets {
			if t.missingSince.IsZero() {
				t.missingSince = now
			}
			until := g.mayReappearUntil(now, t, massRemoval)
			if !now.Before(until) {
				events = append(events, g.markGone(now, t))
			} else if until.After(keptUntil) {
				keptUntil = until
			}
		}
	}
	return events, keptUntil
}

// mayReappearUntil returns the time until which the entry of a missing target may reappear.
func (g *registry) mayReappearUntil(now time.Time, t *Target, massRemoval bool) time.Time {
	until := g.keepMissingUntil
	if g.storeUnavailable {
		until = now.Add(absenceGracePeriod)
	}
	if end := t.missingSince.Add(absenceGracePeriod); massRemoval && end.After(until) {
		until = end
	}
	return until
}

// evictExpired removes the gone targets whose flows must all have ended by now.
func (g *registry) evictExpired(now time.Time) {
	for id, t := range g.byID {
		if t.goneAt.IsZero() || now.Sub(t.goneAt) < g.tokenRetention {
			continue
		}
		delete(g.byID, id)
		g.evictedSequence = max(g.evictedSequence, t.changeSequence)
		if g.byToken[t.Token] == t {
			delete(g.byToken, t.Token)
			g.reassignToken(t.Token)
		}
	}
}
