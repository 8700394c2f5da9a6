package dsr

import "time"

// A target holds a limited number of flows. One that holds as many leaves further
// openers unanswered and goes on serving its flows. A balancer knows its own flows
// only, so it learns the rest from openers that go unanswered.

const (
	// sharingBalancers is how many balancers may share the flows of a target about
	// evenly: the larger half of a place of 160, the plan for two years.
	maxBalancersPerTarget = 100
	// fullPause is how long a target gets no flow after it left an opener unanswered
	// for lack of room. Callers with one flow for each request free some within it.
	fullBackoff = time.Second
)

// held is the number of flows of this balancer that the target keeps.
func (t *Target) activeFlows() int { return t.openFlows - t.closedFlows }

// hasRoom reports whether the target can take another flow, as far as is known.
func (t *Target) hasFlowCapacity(now time.Time, limit int) bool {
	return !t.recentlyFull(now) && (limit == 0 || t.activeFlows() < limit)
}

// full reports whether the target lately had no room for a flow.
func (t *Target) recentlyFull(now time.Time) bool {
	return !t.lastFullAt.IsZero() && now.Sub(t.lastFullAt) < fullBackoff
}

// mayBeFull reports whether the target may hold as many flows as it can, when
// other balancers have as many there as this one.
func (d *Dispatcher) mayBeFull(t *Target) bool {
	limit := d.routes.flowLimits[t.Service]
	return limit > 0 && (t.activeFlows()+1)*maxBalancersPerTarget >= limit
}

// unansweredOpener notes that an opener was not answered. A target that holds as
// many flows as it can leaves openers unanswered and serves its flows, so this
// tells nothing about its life when it may be full.
func (d *Dispatcher) recordUnansweredOpener(now time.Time, f *flow) {
	t := f.target
	if !d.mayBeFull(t) {
		d.unanswered(now, f, t, f.openedAt)
		return
	}
	if !f.sentAgain(now, f.openedAt) || !d.provesSilence(f.openedAt) {
		return
	}
	if !t.recentlyFull(now) {
		d.events = append(d.events, Event{Kind: EventTargetFull, target: t, Failures: t.health.silence(now)})
	}
	t.lastFullAt = now
}
