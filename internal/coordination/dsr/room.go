package dsr

import "time"

// A target accepts a limited number of concurrent flows. At its limit, it ignores
// further openers and continues to serve its open flows. A balancer counts only its
// own flows, so it infers that a target is full from openers that go unanswered.

const (
	// maxBalancersPerTarget is the number of balancers among which the flows of a target
	// may be spread about evenly: more than half of the 160 balancers in a place that are
	// planned for two years from now.
	maxBalancersPerTarget = 100
	// fullBackoff is how long a target gets no new flows after it ignored an opener
	// because it was full. Callers that open a flow per request end some flows in this time.
	fullBackoff = time.Second
)

// activeFlows returns the number of this balancer's flows that occupy the target,
// without those that their callers have closed.
func (t *Target) activeFlows() int { return t.openFlows - t.closedFlows }

// hasFlowCapacity reports whether, as far as this balancer knows, the target can
// accept another flow. limit is its flow limit, 0 if unknown.
func (t *Target) hasFlowCapacity(now time.Time, limit int) bool {
	return !t.recentlyFull(now) && (limit == 0 || t.activeFlows() < limit)
}

// recentlyFull reports whether the target was last found to be full less than fullBackoff ago.
func (t *Target) recentlyFull(now time.Time) bool {
	return !t.lastFullAt.IsZero() && now.Sub(t.lastFullAt) < fullBackoff
}

// mayBeFull reports whether the target may be at its flow limit, assuming that up to
// maxBalancersPerTarget balancers have as many flows there as this one.
func (d *Dispatcher) mayBeFull(t *Target) bool {
	limit := d.routes.flowLimits[t.Service]
	return limit > 0 && (t.activeFlows()+1)*maxBalancersPerTarget >= limit
}

// recordUnansweredOpener records that an opener was not answered. A full target
// ignores openers but still serves its flows, so an unanswered opener does not count
// as a failure of a target that may be full.
func (d *Dispatcher) recordUnansweredOpener(now time.Time, f *flow) {
	t := f.target
	if !d.mayBeFull(t) {
		d.recordUnanswered(now, f, t, f.openedAt)
		return
	}
	if f.recordRetransmission(now, f.openedAt) && d.answerOverdue(f.openedAt) {
		d.recordFull(now, t)
	}
}

// recordFull records that a target left an opener unanswered, probably because it is full.
func (d *Dispatcher) recordFull(now time.Time, t *Target) {
	if !t.recentlyFull(now) {
		d.events = append(d.events, Event{Kind: EventTargetFull, target: t, Failures: t.health.failureSummary(now)})
	}
	t.lastFullAt = now
}
