package state

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// maxPassed bounds the targets that a choice lists as passed over.
const maxRejected = 32

// Reasons why a choice passed over a target that may take flows. Targets that
// may not, or that look bad, have the reason of Closed or State instead.
const (
	reasonTried            = "this opener was tried there before"
	reasonNoFreeSlot       = "no free slot"
	reasonAwaitingResponse = "more of its requests wait for an answer"
	reasonAboveFlowShare   = "above its share of the open flows"
	reasonRunningRequests  = "more requests running"
	reasonRecentWork       = "more work lately"
	reasonHashOrder        = "lower in the hash order of this flow"
)

// PassedTarget is a target that a choice passed over.
type RejectedTarget struct {
	Target protocol.Endpoint
	Reason string
}

// Passed tells for one choice how many targets there were and which of them
// were passed over. A nil Passed records nothing.
type SelectionRecord struct {
	// Total is the number of targets of the service.
	TotalTargets int
	// Listed are the first maxPassed targets that were passed over.
	Rejected []RejectedTarget
}

// CopyFrom takes the content of another record and keeps its own memory.
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

// addExcluded notes the targets that may take no flow, and those that look bad while others do not.
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

// keep returns after and notes the candidates of before that it lacks. after
// holds candidates of before in their order.
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

// pick is the weighted rendezvous choice.
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
