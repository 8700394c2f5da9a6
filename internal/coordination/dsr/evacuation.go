package dsr

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Evacuation of a place by an operator: its targets get no new flows and keep their open ones.

// applyEvacuations replaces the set of evacuated places, of which it keeps those that known
// targets name, and returns the changes. It must run after the targets have been updated and
// before the index is rebuilt.
func (g *registry) applyEvacuations(now time.Time, places map[string]bool) (events []Event) {
	if len(places) == 0 && len(g.evacuatedSince) == 0 {
		return nil
	}
	known := g.knownPlaces()
	// Other balancers may still know a target that has been forgotten here, so a place that is
	// dropped for lack of targets is neither an event nor a change for followers.
	maps.DeleteFunc(g.evacuatedSince, func(place string, _ time.Time) bool { return !known[place] })
	for _, place := range slices.Sorted(maps.Keys(known)) {
		_, isEvacuated := g.evacuatedSince[place]
		switch {
		case places[place] && !isEvacuated:
			g.evacuatedSince[place] = now
			events = append(events, Event{Kind: EventPlaceEvacuated, Place: place, Revision: g.position.Revision})
		case !places[place] && isEvacuated:
			delete(g.evacuatedSince, place)
			events = append(events, Event{Kind: EventPlaceReturned, Place: place, Revision: g.position.Revision})
		}
	}
	if len(events) > 0 {
		g.changeSequence++
	}
	for _, t := range g.byID {
		_, t.evacuated = g.evacuatedSince[t.Place]
	}
	return events
}

// knownPlaces returns the places that targets name, including those that are gone: a target may
// return, and its flows may still be open.
func (g *registry) knownPlaces() map[string]bool {
	places := make(map[string]bool)
	for _, t := range g.byID {
		places[t.Place] = true
	}
	return places
}

// evacuatedPlaces returns the evacuated places in order, nil if there are none.
func (g *registry) evacuatedPlaces() []string {
	return slices.Sorted(maps.Keys(g.evacuatedSince))
}

// placeSet returns the set of the places of a list.
func placeSet(places []string) map[string]bool {
	set := make(map[string]bool, len(places))
	for _, place := range places {
		set[place] = true
	}
	return set
}

// evacuationHash returns the target's part of the digest. It is the hash of the announcement
// unless the target is evacuated, so that balancers agree with those of versions without
// evacuations. The digest depends on the set only through targets that are not gone, because
// balancers forget the others at different times.
func (t *Target) evacuationHash() uint64 {
	if !t.evacuated {
		return t.contentHash
	}
	return state.Mix(t.contentHash, 1)
}

// Evacuation is the state of an evacuated place, as this balancer sees it.
type Evacuation struct {
	// Since is when this balancer applied the evacuation.
	Since time.Time
	// OpenFlows and InFlight count this balancer's open flows and in-flight requests at the
	// targets of the place.
	OpenFlows int
	InFlight  int
	// SlotsElsewhere holds, for each service of the place's targets, the slots of the targets
	// that take new flows and are not suspected, of all balancers together.
	SlotsElsewhere map[string]int
}

// Evacuations returns the state of the evacuated places that known targets name, by place.
func (d *Dispatcher) Evacuations() map[string]Evacuation {
	d.mu.Lock()
	defer d.mu.Unlock()
	evacuations := make(map[string]Evacuation, len(d.targets.evacuatedSince))
	for place, since := range d.targets.evacuatedSince {
		evacuations[place] = Evacuation{Since: since, SlotsElsewhere: make(map[string]int)}
	}
	for _, t := range d.targets.byID {
		e, isEvacuated := evacuations[t.Place]
		if !isEvacuated {
			continue
		}
		e.OpenFlows += t.activeFlows()
		e.InFlight += t.inFlight
		if _, found := e.SlotsElsewhere[t.Service]; !found && t.goneAt.IsZero() {
			e.SlotsElsewhere[t.Service] = d.slotsOfUsable(t.Service)
		}
		evacuations[t.Place] = e
	}
	return evacuations
}

// slotsOfUsable returns the slots of the usable targets of a service.
func (d *Dispatcher) slotsOfUsable(service string) (slots int) {
	for _, t := range d.targets.byService[service] {
		if t.isUsable() {
			slots += t.effectiveSlots
		}
	}
	return slots
}
