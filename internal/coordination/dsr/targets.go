package dsr

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID string
	// Incarnation is the number that a target expects in front of its packets.
	Incarnation uint64
	// Started is when the process of the target started, in Unix milliseconds. A
	// target may start again under the same ID.
	Started  int64
	Service  string
	Endpoint protocol.Endpoint
	Place    string
	// Slots is the number of requests that the target runs at a time.
	Slots    int
	Draining bool
	// ColdFor is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
	// Created and Revision are the store's revisions of the entry's creation and last change.
	Created  uint64
	Revision uint64
}

// Listing is one complete reading of the announcements.
type Listing struct {
	Targets []Announcement
	// Revision is the lowest revision of the store that the reading may show.
	Revision uint64
}

const (
	// returnGrace is how long after the store's return a target that is missing may
	// still come back: the platform states about two seconds, and a reading may lag.
	absenceGracePeriod = 2500 * time.Millisecond
	// tokenSlack is kept beyond the longest life of a flow before the token of a
	// target that is gone is forgotten, for entries that were read late.
	tokenRetentionMargin = 30 * time.Second
	// vanishShare is the share of a service's targets that may disappear in one
	// reading. More at once points to the store, so they are kept for returnGrace.
	massRemovalRatio = 0.5
	// vanishLeast is the number of targets from which vanishShare applies.
	massRemovalMinTargets = 3
)

// Target is a target with what this balancer knows about it.
type Target struct {
	Announcement
	Token  Token
	idHash uint64

	// gone is when the target was taken to have ended; zero while it serves.
	goneAt time.Time
	// absentSince is when the target was first missing from a listing while it may still come back.
	missingSince time.Time
	warmupUntil  time.Time
	// changed is the registry's change counter when the target last changed in a way that matters to others.
	changeSequence uint64

	// open and running count the flows and the requests in progress of this balancer,
	// closed those of the flows that their callers have closed.
	openFlows   int
	closedFlows int
	inFlight    int
	// idleLoad is the expected number of requests in progress on the open flows that have none now.
	idleFlowLoad float64

	health health
	// fullAt is when the target last left an opener unanswered that it may have had no room for.
	lastFullAt time.Time
}

// usable reports whether the target may take new flows.
func (t *Target) acceptsNewFlows() bool { return t.goneAt.IsZero() && !t.Draining }

// tokenOf derives the token from the ID alone, so that all balancers use the same one.
func tokenForID(id string) Token {
	h := xxhash.Sum64String(id)
	token := Token(h ^ h>>32)
	if token == 0 {
		return 1
	}
	return token
}

// registry holds the targets by ID and by token.
type registry struct {
	byID    map[string]*Target
	byToken map[Token]*Target
	// services holds the targets that serve, by service.
	byService map[string][]*Target
	// revision and listedAt are those of the latest listing.
	revision   uint64
	hasListing bool
	asOf       time.Time

	// readings counts the listings that were taken.
	listings uint64
	// epoch names this registry, change counts its changes, and forgotten is the
	// latest change of a target that was forgotten.
	epoch           uint64
	sequence        uint64
	evictedSequence uint64

	// keepAbsentUntil is set when the store returns.
	keepMissingUntil time.Time
	storeUnavailable bool
	tokenRetention   time.Duration
	deriveToken      func(id string) Token
}

func newRegistry(maxFlowLifetime time.Duration) *registry {
	return &registry{
		byID:           make(map[string]*Target),
		byToken:        make(map[Token]*Target),
		byService:      make(map[string][]*Target),
		epoch:          rand.Uint64(),
		tokenRetention: maxFlowLifetime + tokenRetentionMargin,
		deriveToken:    tokenForID,
	}
}

// storeLost notes that the store does not answer.
func (g *registry) markStoreUnavailable() { g.storeUnavailable = true }

// storeBack notes that the store answers. Entries that expired meanwhile may come back.
func (g *registry) markStoreAvailable(now time.Time) {
	if g.storeUnavailable {
		g.storeUnavailable = false
		g.keepMissingUntil = now.Add(absenceGracePeriod)
	}
}

// observe takes a listing and returns what changed. A listing older than an earlier one is ignored.
func (g *registry) applyListing(now time.Time, l Listing) []Event {
	if g.hasListing && l.Revision < g.revision {
		return []Event{{Kind: EventListingIgnored, Revision: l.Revision}}
	}
	g.hasListing, g.asOf, g.revision = true, now, l.Revision
	g.listings++
	present, events := g.upsertAll(now, l.Targets)
	events = append(events, g.markMissingGone(now, present)...)
	g.evictExpired(now)
	g.rebuildIndex()
	return events
}

// takeAll adds or updates targets and returns their IDs.
func (g *registry) upsertAll(now time.Time, targets []Announcement) (present map[string]bool, events []Event) {
	present = make(map[string]bool, len(targets))
	for _, a := range targets {
		present[a.ID] = true
		events = append(events, g.upsert(now, a)...)
	}
	return present, events
}

// take adds or updates one target.
func (g *registry) upsert(now time.Time, a Announcement) []Event {
	t := g.byID[a.ID]
	if t != nil && a.Revision < t.Revision {
		return nil
	}
	if t == nil {
		t = &Target{Announcement: a, Token: g.deriveToken(a.ID), idHash: xxhash.Sum64String(a.ID)}
		t.warmupUntil = now.Add(a.WarmupRemaining)
		g.byID[a.ID] = t
		g.assignToken(t)
		g.markChanged(t)
		return []Event{{Kind: EventTargetAdded, target: t, Revision: a.Revision}}
	}
	return g.update(now, t, a)
}

func (g *registry) update(now time.Time, t *Target, a Announcement) []Event {
	var events []Event
	if g.differs(t, a) {
		g.markChanged(t)
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
	if a.Revision != t.Revision {
		t.warmupUntil = now.Add(a.WarmupRemaining)
	}
	t.missingSince = time.Time{}
	t.Announcement = a
	return events
}

// touch notes that a target changed in a way that matters to others.
func (g *registry) markChanged(t *Target) {
	g.sequence++
	t.changeSequence = g.sequence
}

// differs reports whether an announcement tells something new.
func (g *registry) differs(t *Target, a Announcement) bool {
	if !t.goneAt.IsZero() {
		return true
	}
	a.Revision, a.WarmupRemaining = t.Revision, t.WarmupRemaining
	return a != t.Announcement
}

// end marks a target as gone.
func (g *registry) markGone(now time.Time, t *Target) Event {
	t.goneAt = now
	g.markChanged(t)
	return Event{Kind: EventTargetGone, target: t, Revision: g.revision}
}

// claimToken gives the token to the target that was created first. The other one
// receives no flows while the first may still have some.
func (g *registry) assignToken(t *Target) {
	holder := g.byToken[t.Token]
	if holder == nil || t.Created < holder.Created {
		g.byToken[t.Token] = t
	}
}

// dropAbsent marks the targets that are no longer listed as gone, unless their entries may come back.
func (g *registry) markMissingGone(now time.Time, present map[string]bool) []Event {
	missing := make(map[string][]*Target)
	for id, t := range g.byID {
		if present[id] || !t.goneAt.IsZero() {
			continue
		}
		missing[t.Service] = append(missing[t.Service], t)
	}
	var events []Event
	for service, targets := range missing {
		massRemoval := len(targets) >= massRemovalMinTargets && float64(len(targets)) > massRemovalRatio*float64(len(g.byService[service]))
		for _, t := range targets {
			if t.missingSince.IsZero() {
				t.missingSince = now
			}
			if now.Before(g.keepMissingUntil) || g.storeUnavailable || massRemoval && now.Sub(t.missingSince) < absenceGracePeriod {
				continue
			}
			events = append(events, g.markGone(now, t))
		}
	}
	return events
}

// forget removes targets whose flows have all ended.
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

// reassign gives a free token to the target that was created first among those that share it.
func (g *registry) reassignToken(token Token) {
	for _, t := range g.byID {
		if t.Token == token {
			g.assignToken(t)
		}
	}
}

// index lists the targets by service, in an order that all balancers share.
func (g *registry) rebuildIndex() {
	clear(g.byService)
	for _, t := range g.byID {
		if t.goneAt.IsZero() && g.byToken[t.Token] == t {
			g.byService[t.Service] = append(g.byService[t.Service], t)
		}
	}
	for _, targets := range g.byService {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
}
