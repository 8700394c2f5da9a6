package dsr

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// remoteLoadPenalty is added to the load per slot of targets in other places.
	// Traffic between places is charged, and balancers see a larger part of the load of
	// targets in their own place than of targets elsewhere.
	remoteLoadPenalty = 0.5
	// unprovenLoadPenalty exceeds the load of any target that still answers.
	unprovenLoadPenalty = 1e6
	// warmupSlotRatio is the fraction of its slots that a target counts with during
	// warm-up. Requests take about 1.6 times as long then.
	warmupSlotRatio = 0.6
)

// chooseTarget returns the target for a new flow of a route, or nil if no target
// accepts it. Targets in excluded are not considered.
func (d *Dispatcher) chooseTarget(now time.Time, r *Route, flowHash uint64, excluded []*Target) *Target {
	for _, b := range r.orderBackends(flowHash) {
		if t := d.chooseFromService(now, b.Service, flowHash, excluded); t != nil {
			return t
		}
	}
	return nil
}

// chooseFromService returns the least loaded target of a service that accepts another
// flow, as far as this balancer knows. It skips suspected targets if there is any other
// target to choose, but sends them a trial flow from time to time. For the copy of an opener,
// when excluded is not empty, it prefers targets that have answered before.
func (d *Dispatcher) chooseFromService(now time.Time, service string, flowHash uint64, excluded []*Target) *Target {
	place, otherPlacePenalty := d.placeForFlow(now, service, flowHash, len(excluded) > 0)
	return d.chooseFromPlace(now, service, place, otherPlacePenalty, flowHash, excluded)
}

// chooseFromPlace is chooseFromService with a penalty for the targets of all places but one.
func (d *Dispatcher) chooseFromPlace(now time.Time, service, place string, otherPlacePenalty float64, flowHash uint64, excluded []*Target) *Target {
	var best, bestSuspected *Target
	lowestLoad, lowestSuspectedLoad := math.Inf(1), math.Inf(1)
	preferProven := len(excluded) > 0
	limit := d.routes.flowLimits[service]
	for _, t := range d.targets.byService[service] {
		if !t.acceptsNewFlows() || !t.hasFlowCapacity(now, limit) || slices.Contains(excluded, t) || !d.maySendOpener(now, t) {
			continue
		}
		penalty := 0.0
		if t.Place != place {
			penalty = otherPlacePenalty
		}
		load := d.expectedLoad(now, t, flowHash, penalty)
		if preferProven && t.health.lastSuccessAt.IsZero() {
			load += unprovenLoadPenalty
		}
		if !t.health.suspected() && load < lowestLoad {
			best, lowestLoad = t, load
		}
		if t.health.suspected() {
			if len(excluded) == 0 && (t.Place == place || !d.options.CrossPlace) && t.health.trialDue(now) && d.targets.allowTrial(now, t) {
				t.health.lastTrialAt = now
				return t
			}
			if load < lowestSuspectedLoad {
				bestSuspected, lowestSuspectedLoad = t, load
			}
		}
	}
	if best == nil {
		return bestSuspected
	}
	return best
}

// expectedLoad returns the expected number of in-flight requests per slot with one more
// flow, plus a penalty. A small term breaks ties by the hash of the flow and the target, which all
// balancers compute alike.
func (d *Dispatcher) expectedLoad(now time.Time, t *Target, flowHash uint64, penalty float64) float64 {
	const tieBreakWeight = 1e-6
	load := (float64(t.inFlight+1)+t.idleFlowLoad)/t.usableSlots(now) + penalty
	return load + tieBreakWeight/(1+state.RendezvousScore(flowHash, t.idHash, 1))
}

// usableSlots returns the number of slots of a target, reduced during its warm-up.
func (t *Target) usableSlots(now time.Time) float64 {
	if now.Before(t.warmupUntil) {
		return warmupSlotRatio * float64(t.effectiveSlots)
	}
	return float64(t.effectiveSlots)
}
