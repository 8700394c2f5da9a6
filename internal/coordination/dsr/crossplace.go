package dsr

import "time"

// Use of the shares across places: what the dispatcher records for them, and the place of each new
// flow. placesharing.go computes the shares.

// updateSharing recomputes the shares of all services.
func (d *Dispatcher) updateSharing(now time.Time, elapsed time.Duration) {
	if !d.options.CrossPlace {
		return
	}
	for service := range d.sharing {
		if len(d.targets.byService[service]) == 0 {
			delete(d.sharing, service)
		}
	}
	for service, targets := range d.targets.byService {
		s := d.sharing[service]
		if s == nil {
			s = &placeSharing{}
			d.sharing[service] = s
		}
		s.update(now, elapsed, d.options.Place, placeCapacities(now, targets), d.placeBalancerCount)
		if kind := s.eventDue(now); kind != "" {
			d.events = append(d.events, Event{Kind: kind, Service: service, Sharing: s.summary()})
		}
	}
}

// placeCapacities returns the capacity and load of the usable targets of a service, by place.
func placeCapacities(now time.Time, targets []*Target) map[string]placeCapacity {
	capacities := make(map[string]placeCapacity)
	for _, t := range targets {
		if !t.isUsable() {
			continue
		}
		c := capacities[t.Place]
		c.slots += t.usableSlots(now)
		c.load += float64(t.inFlight)
		capacities[t.Place] = c
	}
	return capacities
}

// recordPlaceResponse records the response time of a target for the choice of places. Responses
// that are as fast as those of a full queue, those without a duration, by which the averages would be
// divided, and those of a time in which the process may not have run are left out.
func (d *Dispatcher) recordPlaceResponse(now time.Time, t *Target, r *Route, startedAt time.Time) {
	s := d.sharing[t.Service]
	responseTime := now.Sub(startedAt)
	if s == nil || startedAt.Before(d.resumedAt) || now.Sub(d.lastTickAt) > maxTickAge {
		return
	}
	if responseTime <= 0 || responseTime-d.loads[t.Service].RoundTripTime < time.Duration(shedBudgetShare*responseBudgetShare*float64(r.LatencyTarget)) {
		return
	}
	s.recordResponse(now, t.Place, d.options.Place, responseTime)
}

// recordPlaceOpener records whether a target answered an opener.
func (d *Dispatcher) recordPlaceOpener(now time.Time, t *Target, answered bool) {
	if s := d.sharing[t.Service]; s != nil && t.Place != d.options.Place {
		s.recordOpener(now, t.Place, answered)
	}
}

// chooseElsewhere returns a target of another place for a flow that the limit of its own place does
// not admit, nil if no place has room for it.
func (d *Dispatcher) chooseElsewhere(now time.Time, r *Route, flowHash uint64) *Target {
	service := r.orderBackends(flowHash)[0].Service
	s := d.sharing[service]
	if s == nil {
		return nil
	}
	place := s.placeForExcess(now, flowHash)
	if place == "" {
		return nil
	}
	t := d.chooseFromPlace(now, service, place, otherPlacePenalty, flowHash, nil)
	if t == nil || t.Place != place {
		return nil
	}
	return t
}

// placeForFlow returns the place whose targets a new flow of a service prefers, and the penalty of
// the targets of other places.
func (d *Dispatcher) placeForFlow(now time.Time, service string, flowHash uint64, isCopy bool) (place string, penalty float64) {
	s := d.sharing[service]
	if s == nil || isCopy {
		return d.options.Place, remoteLoadPenalty
	}
	return s.destination(now, d.options.Place, flowHash), otherPlacePenalty
}
