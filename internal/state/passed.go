package state

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// maxPassed bounds the targets that a choice lists as passed over.
const maxPassed = 32

// Reasons why a choice passed over a target that may take flows. Targets that
// may not, or that look bad, have the reason of Closed or State instead.
const (
	passedTried   = "this opener was tried there before"
	passedSlots   = "no free slot"
	passedWaiting = "more of its requests wait for an answer"
	passedShare   = "above its share of the open flows"
	passedRuns    = "more requests running"
	passedWork    = "more work lately"
	passedHash    = "lower in the hash order of this flow"
)

// PassedTarget is a target that a choice passed over.
type PassedTarget struct {
	Target protocol.Endpoint
	Why    string
}

// Passed tells for one choice how many targets there were and which of them
// were passed over. A nil Passed records nothing.
type Passed struct {
	// Total is the number of targets of the service.
	Total int
	// Listed are the first maxPassed targets that were passed over.
	Listed []PassedTarget
}

// CopyFrom takes the content of another record and keeps its own memory.
func (p *Passed) CopyFrom(o *Passed) {
	p.Total = o.Total
	p.Listed = append(p.Listed[:0], o.Listed...)
}

func (p *Passed) start(total int) {
	if p != nil {
		p.Total = total
		p.Listed = p.Listed[:0]
	}
}

func (p *Passed) add(target protocol.Endpoint, why string) {
	if p != nil && len(p.Listed) < maxPassed {
		p.Listed = append(p.Listed, PassedTarget{Target: target, Why: why})
	}
}

// addExcluded notes the targets that may take no flow, and those that look bad while others do not.
func (p *Passed) addExcluded(now time.Time, c *Counts, s *Service, excluded []protocol.Endpoint, good bool) {
	if p == nil {
		return
	}
	for _, t := range s.Targets {
		l := c.Load(t.Endpoint)
		switch closed := c.Closed(s, t); {
		case closed != "":
			p.add(t.Endpoint, closed)
		case slices.Contains(excluded, t.Endpoint):
			p.add(t.Endpoint, passedTried)
		case good && l.bad(now):
			_, why := l.State(now)
			p.add(t.Endpoint, why)
		}
	}
}

// keep returns after and notes the candidates of before that it lacks. after
// holds candidates of before in their order.
func (p *Passed) keep(before, after []candidate, why string) []candidate {
	if p == nil || len(before) == len(after) {
		return after
	}
	next := 0
	for i := range before {
		if next < len(after) && after[next].target == before[i].target {
			next++
			continue
		}
		p.add(before[i].target.Endpoint, why)
	}
	return after
}

// pick is the weighted rendezvous choice.
func (p *Passed) pick(all []candidate, flow uint64) *Target {
	best := highest(all, flow)
	if p == nil {
		return best
	}
	for i := range all {
		if all[i].target != best {
			p.add(all[i].target.Endpoint, passedHash)
		}
	}
	return best
}
