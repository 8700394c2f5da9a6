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
	ColdFor time.Duration
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
	returnGrace = 2500 * time.Millisecond
	// tokenSlack is kept beyond the longest life of a flow before the token of a
	// target that is gone is forgotten, for entries that were read late.
	tokenSlack = 30 * time.Second
	// vanishShare is the share of a service's targets that may disappear in one
	// reading. More at once points to the store, so they are kept for returnGrace.
	vanishShare = 0.5
	// vanishLeast is the number of targets from which vanishShare applies.
	vanishLeast = 3
)

// Target is a target with what this balancer knows about it.
type Target struct {
	Announcement
	Token Token
	hash  uint64

	// gone is when the target was taken to have ended; zero while it serves.
	gone time.Time
	// absentSince is when the target was first missing from a listing while it may still come back.
	absentSince time.Time
	coldUntil   time.Time
	// changed is the registry's change counter when the target last changed in a way that matters to others.
	changed uint64

	// open and running count the flows and the requests in progress of this balancer,
	// closed those of the flows that their callers have closed.
	open    int
	closed  int
	running int
	// idleLoad is the expected number of requests in progress on the open flows that have none now.
	idleLoad float64

	health health
	// fullAt is when the target last left an opener unanswered that it may have had no room for.
	fullAt time.Time
}

// usable reports whether the target may take new flows.
func (t *Target) usable() bool { return t.gone.IsZero() && !t.Draining }

// tokenOf derives the token from the ID alone, so that all balancers use the same one.
func tokenOf(id string) Token {
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
	services map[string][]*Target
	// revision and listedAt are those of the latest listing.
	revision uint64
	listed   bool
	listedAt time.Time

	// readings counts the listings that were taken.
	readings uint64
	// epoch names this registry, change counts its changes, and forgotten is the
	// latest change of a target that was forgotten.
	epoch     uint64
	change    uint64
	forgotten uint64

	// keepAbsentUntil is set when the store returns.
	keepAbsentUntil time.Time
	storeAway       bool
	tokenLife       time.Duration
	deriveToken     func(id string) Token
}

func newRegistry(flowLife time.Duration) *registry {
	return &registry{
		byID:        make(map[string]*Target),
		byToken:     make(map[Token]*Target),
		services:    make(map[string][]*Target),
		epoch:       rand.Uint64(),
		tokenLife:   flowLife + tokenSlack,
		deriveToken: tokenOf,
	}
}

// storeLost notes that the store does not answer.
func (g *registry) storeLost() { g.storeAway = true }

// storeBack notes that the store answers. Entries that expired meanwhile may come back.
func (g *registry) storeBack(now time.Time) {
	if g.storeAway {
		g.storeAway = false
		g.keepAbsentUntil = now.Add(returnGrace)
	}
}

// observe takes a listing and returns what changed. A listing older than an earlier one is ignored.
func (g *registry) observe(now time.Time, l Listing) []Event {
	if g.listed && l.Revision < g.revision {
		return []Event{{Kind: EventListingIgnored, Revision: l.Revision}}
	}
	g.listed, g.listedAt, g.revision = true, now, l.Revision
	g.readings++
	present, events := g.takeAll(now, l.Targets)
	events = append(events, g.dropAbsent(now, present)...)
	g.forget(now)
	g.index()
	return events
}

// takeAll adds or updates targets and returns their IDs.
func (g *registry) takeAll(now time.Time, targets []Announcement) (present map[string]bool, events []Event) {
	present = make(map[string]bool, len(targets))
	for _, a := range targets {
		present[a.ID] = true
		events = append(events, g.take(now, a)...)
	}
	return present, events
}

// take adds or updates one target.
func (g *registry) take(now time.Time, a Announcement) []Event {
	t := g.byID[a.ID]
	if t != nil && a.Revision < t.Revision {
		return nil
	}
	if t == nil {
		t = &Target{Announcement: a, Token: g.deriveToken(a.ID), hash: xxhash.Sum64String(a.ID)}
		t.coldUntil = now.Add(a.ColdFor)
		g.byID[a.ID] = t
		g.claimToken(t)
		g.touch(t)
		return []Event{{Kind: EventTargetAdded, target: t, Revision: a.Revision}}
	}
	return g.update(now, t, a)
}

func (g *registry) update(now time.Time, t *Target, a Announcement) []Event {
	var events []Event
	if g.differs(t, a) {
		g.touch(t)
	}
	if a.Started != t.Started {
		t.health = health{}
		events = append(events, Event{Kind: EventTargetRestarted, target: t, Revision: a.Revision})
	}
	if !t.gone.IsZero() {
		t.gone = time.Time{}
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
		t.coldUntil = now.Add(a.ColdFor)
	}
	t.absentSince = time.Time{}
	t.Announcement = a
	return events
}

// touch notes that a target changed in a way that matters to others.
func (g *registry) touch(t *Target) {
	g.change++
	t.changed = g.change
}

// differs reports whether an announcement tells something new.
func (g *registry) differs(t *Target, a Announcement) bool {
	if !t.gone.IsZero() {
		return true
	}
	a.Revision, a.ColdFor = t.Revision, t.ColdFor
	return a != t.Announcement
}

// end marks a target as gone.
func (g *registry) end(now time.Time, t *Target) Event {
	t.gone = now
	g.touch(t)
	return Event{Kind: EventTargetGone, target: t, Revision: g.revision}
}

// claimToken gives the token to the target that was created first. The other one
// receives no flows while the first may still have some.
func (g *registry) claimToken(t *Target) {
	holder := g.byToken[t.Token]
	if holder == nil || t.Created < holder.Created {
		g.byToken[t.Token] = t
	}
}

// dropAbsent marks the targets that are no longer listed as gone, unless their entries may come back.
func (g *registry) dropAbsent(now time.Time, present map[string]bool) []Event {
	absent := make(map[string][]*Target)
	for id, t := range g.byID {
		if present[id] || !t.gone.IsZero() {
			continue
		}
		absent[t.Service] = append(absent[t.Service], t)
	}
	var events []Event
	for service, targets := range absent {
		many := len(targets) >= vanishLeast && float64(len(targets)) > vanishShare*float64(len(g.services[service]))
		for _, t := range targets {
			if t.absentSince.IsZero() {
				t.absentSince = now
			}
			if now.Before(g.keepAbsentUntil) || g.storeAway || many && now.Sub(t.absentSince) < returnGrace {
				continue
			}
			events = append(events, g.end(now, t))
		}
	}
	return events
}

// forget removes targets whose flows have all ended.
func (g *registry) forget(now time.Time) {
	for id, t := range g.byID {
		if t.gone.IsZero() || now.Sub(t.gone) < g.tokenLife {
			continue
		}
		delete(g.byID, id)
		g.forgotten = max(g.forgotten, t.changed)
		if g.byToken[t.Token] == t {
			delete(g.byToken, t.Token)
			g.reassign(t.Token)
		}
	}
}

// reassign gives a free token to the target that was created first among those that share it.
func (g *registry) reassign(token Token) {
	for _, t := range g.byID {
		if t.Token == token {
			g.claimToken(t)
		}
	}
}

// index lists the targets by service, in an order that all balancers share.
func (g *registry) index() {
	clear(g.services)
	for _, t := range g.byID {
		if t.gone.IsZero() && g.byToken[t.Token] == t {
			g.services[t.Service] = append(g.services[t.Service], t)
		}
	}
	for _, targets := range g.services {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
}
