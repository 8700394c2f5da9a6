package dsr

import (
	"maps"
	"math/rand/v2"
	"time"
)

// The store returned from an older copy: it has lost changes that it had acknowledged, and its
// clients write again what they had written. Until they have, what this balancer knew before is
// newer than the copy.

// newEpoch returns a random epoch, in 32 bits to keep the answers to probes short.
func newEpoch() uint64 { return 1 + uint64(rand.Uint32()) }

// enterEra adopts the position of data of another era than the present ones, or of a lower revision if the
// store went back without another era. The revisions of all targets lose their meaning. Followers
// compare epochs, so they learn of it by a new one.
func (g *registry) enterEra(now time.Time, p Position) Event {
	kind := EventStoreReturned
	if p.Before(g.position) {
		kind = EventRevisionReset
	}
	g.position, g.eraSince = p, now
	for _, t := range g.byID {
		if t.Revision != 0 {
			t.formerRevision = t.Revision
		}
		t.Created, t.Revision, t.goneRevision = 0, 0, 0
		t.contentHash = t.Announcement.contentHash()
	}
	g.epoch = newEpoch()
	g.entryRevision, g.holdUntil = p.Revision, now.Add(absenceGracePeriod)
	g.keepMissingUntil = g.holdUntil
	g.evacuatedBefore = maps.Clone(g.evacuatedSince)
	return Event{Kind: kind, Era: p.Era, Revision: p.Revision}
}

// forgetLostRevisions forgets the revisions of targets whose entries in a list have a lower one, although
// the list is of a later state: the store returned from an older copy without another era.
func (g *registry) forgetLostRevisions(l Listing) {
	if !l.IsRead {
		return
	}
	for _, a := range l.Targets {
		if t := g.byID[a.ID]; t != nil && a.Revision < t.Revision && t.Revision <= l.Revision {
			t.Revision = 0
		}
	}
}

// isHeld reports whether an announcement is taken for an older one of a known target: the copy had it,
// the target was leaving or gone before or has restarted, and its host has not had the time to say so again.
func (g *registry) isHeld(now time.Time, a Announcement) bool {
	if !now.Before(g.holdUntil) || a.Revision > g.entryRevision {
		return false
	}
	t := g.byID[a.ID]
	if t == nil || a.Started > t.Started {
		return false
	}
	return !t.goneAt.IsZero() || t.Draining && !a.Draining || a.Started < t.Started
}

// heldEvacuations adds the places that were evacuated before the return to those of a listing, as
// long as the operator may not have written them again, unless that leaves no place.
func (g *registry) heldEvacuations(now time.Time, places map[string]bool) map[string]bool {
	if !now.Before(g.holdUntil) || len(g.evacuatedBefore) == 0 {
		return places
	}
	held := maps.Clone(places)
	if held == nil {
		held = make(map[string]bool)
	}
	for place := range g.evacuatedBefore {
		held[place] = true
	}
	for place := range g.knownPlaces() {
		if !held[place] {
			return held
		}
	}
	return places
}
