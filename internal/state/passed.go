package state

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// maxRejected is the maximum number of rejected targets in a selection record.
const maxRejected = 32

// Reasons why a target was not selected. Ineligible and degraded targets have the
// reason that IneligibleReason or State returns instead.
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
func (p *SelectionRecord) CopyFrom(other *SelectionRecord) {
	p.TotalTargets = other.TotalTargets
	p.Rejected = append(p.Rejected[:0], other.Rejected...)
}

func (p *SelectionRecord) reset(total int) {
	if p != nil {
		p.TotalTargets = total
		p.Rejected = p.Rejected[:0]
	}
}

func (p *SelectionRecord) reject(target protocol.Endpoint, reason string) {
	if p != nil && len(p.Rejected) < maxRejected {
		p.Rejected = append(p.Rejected, RejectedTarget{Target: target, Reason: reason})
	}
}

// rejectIneligible records the targets that are not eligible and, when there are
// preferred ones, the degraded targets.
func (p *SelectionRecord) rejectIneligible(now time.Time, c *LoadCounts, s *Service, tried []protocol.Endpoint, hasPreferred bool) {
	if p == nil {
		return
	}
	for _, t := range s.Targets {
		l := c.Load(t.Endpoint)
		switch ineligible := c.IneligibleReason(s, t); {
		case ineligible != "":
			p.reject(t.Endpoint, ineligible)
		case slices.Contains(tried, t.Endpoint):
			p.reject(t.Endpoint, reasonTried)
		case hasPreferred && l.degraded(now):
			_, reason := l.State(now)
			p.reject(t.Endpoint, reason)
		}
	}
}

// rejectRemoved records the candidates of before that are missing from after, and
// returns after. after must be a subset of before in the same order.
func (p *SelectionRecord) rejectRemoved(before, after []candidate, reason string) []candidate {
	if p == nil || len(before) == len(after) {
		return after
	}
	next := 0
	for i := range before {
		if next < len(after) && after[next].target == before[i].target {
			next++
			continue
		}
		p.reject(before[i].target.Endpoint, reason)
	}
	return after
}

// selectByHash returns the candidate with the highest weighted rendezvous score and
// records the others.
func (p *SelectionRecord) selectByHash(candidates []candidate, flow uint64) *Target {
	best := highestScore(candidates, flow)
	if p == nil {
		return best
	}
	for i := range candidates {
		if candidates[i].target != best {
			p.reject(candidates[i].target.Endpoint, reasonHashOrder)
		}
	}
	return best
}
