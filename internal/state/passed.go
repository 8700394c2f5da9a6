package state

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// maxRejected is the maximum number of rejected targets in a selection record.
const maxRejected = 32

// Reasons why a target was not selected. For ineligible and degraded targets, the
// reason is the one that IneligibleReason or State returns.
const (
	reasonTried            = "this opener was tried there before"
	reasonNoFreeSlot       = "no free slot"
	reasonAwaitingResponse = "more of its requests wait for an answer"
	reasonAboveFlowShare   = "above its share of the open flows"
	reasonRunningRequests  = "more requests running"
	reasonRecentWork       = "more work lately"
	reasonHashOrder        = "lower in the hash order of this flow"
)

// RejectedTarget is a target that was not selected, and the reason.
type RejectedTarget struct {
	Target protocol.Endpoint
	Reason string
}

// SelectionRecord records how many targets were considered for one selection and
// which of them were rejected. A nil record records nothing.
type SelectionRecord struct {
	// TotalTargets is the number of targets of the service.
	TotalTargets int
	// Rejected holds the first maxRejected targets that were not selected.
	Rejected []RejectedTarget
}

// CopyFrom copies the content of another record into the memory of this one.
func (r *SelectionRecord) CopyFrom(other *SelectionRecord) {
	r.TotalTargets = other.TotalTargets
	r.Rejected = append(r.Rejected[:0], other.Rejected...)
}

func (r *SelectionRecord) reset(total int) {
	if r != nil {
		r.TotalTargets = total
		r.Rejected = r.Rejected[:0]
	}
}

func (r *SelectionRecord) reject(target protocol.Endpoint, reason string) {
	if r != nil && len(r.Rejected) < maxRejected {
		r.Rejected = append(r.Rejected, RejectedTarget{Target: target, Reason: reason})
	}
}

// rejectIneligible records the targets that are not eligible and, when there are
// preferred ones, the degraded targets.
func (r *SelectionRecord) rejectIneligible(now time.Time, c *LoadCounts, s *Service, tried []protocol.Endpoint, hasPreferred bool) {
	if r == nil {
		return
	}
	for _, t := range s.Targets {
		l := c.Load(t.Endpoint)
		switch ineligible := c.IneligibleReason(s, t); {
		case ineligible != "":
			r.reject(t.Endpoint, ineligible)
		case slices.Contains(tried, t.Endpoint):
			r.reject(t.Endpoint, reasonTried)
		case hasPreferred && l.degraded(now):
			_, reason := l.State(now)
			r.reject(t.Endpoint, reason)
		}
	}
}

// rejectRemoved records the candidates of before that are missing from after, and
// returns after. after must be a subset of before in the same order.
func (r *SelectionRecord) rejectRemoved(before, after []candidate, reason string) []candidate {
	if r == nil || len(before) == len(after) {
		return after
	}
	next := 0
	for i := range before {
		if next < len(after) && after[next].target == before[i].target {
			next++
			continue
		}
		r.reject(before[i].target.Endpoint, reason)
	}
	return after
}

// selectByHash returns the candidate with the highest weighted rendezvous score and
// records the others.
func (r *SelectionRecord) selectByHash(candidates []candidate, flow uint64) *Target {
	best := highestScore(candidates, flow)
	if r == nil {
		return best
	}
	for i := range candidates {
		if candidates[i].target != best {
			r.reject(candidates[i].target.Endpoint, reasonHashOrder)
		}
	}
	return best
}
