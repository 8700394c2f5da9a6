package state

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// The bounds are c of the bounded load: a target takes at most c times its fair
// share of the open flows. They are below the goals of 1.25 and 1.10 for maximum
// over mean, because flows that close lower the mean after the choice.
const (
	affinityLoadBound = 1.15
	evennessLoadBound = 1.04
	// leastWork is the share of the mean recent work below which a target stays a
	// candidate whatever its open flows. Without it, a target with a few more long
	// flows than its bound received no short requests for as long as these flows lived.
	lowWorkRatio = 0.88
	// measuredRuns is how many requests per target the recent work must hold before
	// it is compared. With fewer, the random lengths of the requests decide.
	minRequestsPerTarget = 5
)

// Method is how a target is chosen.
type Algorithm uint8

// Methods of choice.
const (
	// MethodPreference follows the preference of the service and the slots.
	AlgorithmPreference Algorithm = iota
	// MethodBounded is rendezvous with bounded load without regard to slots.
	AlgorithmBoundedLoad
)

// Rule is how targets are chosen.
type SelectionRule struct {
	Algorithm Algorithm
	// Bound, unless 0, replaces the bound of open flows that follows from the preference.
	LoadBound float64
}

// bound returns the bound of open flows for a service.
func (r SelectionRule) loadBound(s *Service) float64 {
	switch {
	case r.LoadBound > 0:
		return r.LoadBound
	case r.Algorithm == AlgorithmPreference && s.Preference == objects.PreferenceEvenness:
		return evennessLoadBound
	}
	return affinityLoadBound
}

// candidate is a target that may receive the flow.
type candidate struct {
	target *Target
	load   *TargetLoad
	weight float64
	// work is the recent work of the target.
	recentWork float64
}

// runLoad and openLoad are what a target has after one more flow, relative to its weight.
func (c *candidate) requestLoad() float64 { return float64(c.load.RunningRequests+1) / c.weight }
func (c *candidate) flowLoad() float64    { return float64(c.load.OpenFlows+1) / c.weight }

// Choose returns the target for a new flow, or nil when no target may take one.
// It notes in passed, unless that is nil, why the others were not chosen.
func (c *LoadCounts) SelectTarget(now time.Time, s *Service, flow uint64, rule SelectionRule, tried []protocol.Endpoint, record *SelectionRecord) *Target {
	record.reset(len(s.Targets))
	candidates := c.candidates(now, s, tried, record)
	if len(candidates) == 0 {
		return nil
	}
	shares := newFairShares(candidates, c.meanRequestDuration)
	bound := rule.loadBound(s)
	if rule.Algorithm == AlgorithmBoundedLoad {
		shares.totalWork = 0
		return record.selectByHash(record.rejectRemoved(candidates, shares.withinBound(bound, candidates), reasonAboveFlowShare), flow)
	}
	candidates = filterAvailable(shares, bound, s.Pool.Slots, candidates, record)
	if s.Preference == objects.PreferenceEvenness {
		candidates = record.rejectRemoved(candidates, lowestLoad(candidates, (*candidate).requestLoad), reasonRunningRequests)
		candidates = record.rejectRemoved(candidates, lowestLoad(candidates, shares.relativeWork), reasonRecentWork)
	}
	return record.selectByHash(candidates, flow)
}

// available keeps the targets with a free slot that stay within the bound. When
// no slot is free, it keeps those within the bound that have one soonest: in a
// surge of long flows, which look like requests at first, these must be spread too.
func filterAvailable(shares fairShares, bound float64, slots uint32, candidates []candidate, record *SelectionRecord) []candidate {
	free := withFreeSlot(candidates, slots)
	if len(free) > 0 {
		free = record.rejectRemoved(candidates, free, reasonNoFreeSlot)
		return record.rejectRemoved(free, shares.withinBound(bound, free), reasonAboveFlowShare)
	}
	candidates = record.rejectRemoved(candidates, shares.withinBound(bound, candidates), reasonAboveFlowShare)
	if slots == 0 {
		return candidates
	}
	return record.rejectRemoved(candidates, fewestAwaitingResponse(candidates), reasonAwaitingResponse)
}

// candidates returns the targets that may take a flow. Targets that look bad
// are left out unless all do.
func (c *LoadCounts) candidates(now time.Time, s *Service, tried []protocol.Endpoint, record *SelectionRecord) []candidate {
	var preferred, usable []candidate
	for _, t := range s.Targets {
		l := c.Load(t.Endpoint)
		if c.IneligibleReason(s, t) != "" || slices.Contains(tried, t.Endpoint) {
			continue
		}
		cand := candidate{target: t, load: l, weight: float64(t.Weight) * l.weightFactor(now), recentWork: l.recentWork(now)}
		usable = append(usable, cand)
		if !l.degraded(now) {
			preferred = append(preferred, cand)
		}
	}
	record.rejectIneligible(now, c, s, tried, len(preferred) > 0)
	if len(preferred) > 0 {
		return preferred
	}
	return usable
}

func (l *TargetLoad) degraded(now time.Time) bool {
	condition := &l.Condition
	return condition.Unhealthy || condition.Shedding || condition.Unreachable || l.Ejected(now)
}

// Closed tells why a target takes no new flow whatever the others look like; empty when it may.
func (c *LoadCounts) IneligibleReason(s *Service, t *Target) string {
	l := c.Load(t.Endpoint)
	switch {
	case t.Drain:
		return "drained by configuration"
	case l.Condition.Draining:
		return "target reports that it drains"
	case s.Pool.Connections > 0 && l.OpenFlows >= int(s.Pool.Connections):
		return "at its connection limit"
	}
	return ""
}

func withFreeSlot(candidates []candidate, slots uint32) []candidate {
	if slots == 0 {
		return nil
	}
	var free []candidate
	for _, cand := range candidates {
		if cand.load.RunningRequests < int(slots) {
			free = append(free, cand)
		}
	}
	return free
}

// shares tells the fair share of a target in the open flows and the recent work.
type fairShares struct {
	openFlows   float64
	totalWeight float64
	// work is 0 until it is measured well enough to be compared.
	totalWork float64
}

func newFairShares(candidates []candidate, meanRun time.Duration) fairShares {
	s := fairShares{openFlows: 1}
	for i := range candidates {
		s.openFlows += float64(candidates[i].load.OpenFlows)
		s.totalWeight += candidates[i].weight
		s.totalWork += candidates[i].recentWork
	}
	if s.totalWork < minRequestsPerTarget*float64(len(candidates))*meanRun.Seconds() {
		s.totalWork = 0
	}
	return s
}

// workLoad is the recent work of a target over its fair share, or 0 when the work is not measured.
func (s fairShares) relativeWork(cand *candidate) float64 {
	if s.totalWork == 0 {
		return 0
	}
	return cand.recentWork * s.totalWeight / (s.totalWork * cand.weight)
}

// within keeps the targets that stay within bound times their share of the open
// flows with one more, and those with little recent work; or those with the
// fewest open flows when there are none.
func (s fairShares) withinBound(bound float64, candidates []candidate) []candidate {
	kept := make([]candidate, 0, len(candidates))
	for _, cand := range candidates {
		fairFlows := s.openFlows * cand.weight / s.totalWeight
		fits := float64(cand.load.OpenFlows+1) <= max(math.Ceil(fairFlows), math.Floor(bound*fairFlows))
		if fits || s.totalWork > 0 && s.relativeWork(&cand) < lowWorkRatio {
			kept = append(kept, cand)
		}
	}
	if len(kept) == 0 {
		return lowestLoad(candidates, (*candidate).flowLoad)
	}
	return kept
}

// lowest keeps the targets with the lowest load.
func lowestLoad(candidates []candidate, load func(*candidate) float64) []candidate {
	var kept []candidate
	minLoad := math.Inf(1)
	for i := range candidates {
		value := load(&candidates[i])
		if value < minLoad {
			kept, minLoad = kept[:0], value
		}
		if value == minLoad {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// highest is the weighted rendezvous choice.
func highestScore(candidates []candidate, flow uint64) *Target {
	var best *Target
	bestScore := -1.0
	for _, cand := range candidates {
		if score := RendezvousScore(flow, cand.target.Hash, cand.weight); score > bestScore {
			best, bestScore = cand.target, score
		}
	}
	return best
}

// soonestFree keeps the targets with the fewest requests that still wait for a
// response, relative to the weight. A request whose response began is as good as done.
func fewestAwaitingResponse(candidates []candidate) []candidate {
	return lowestLoad(candidates, func(cand *candidate) float64 {
		return float64(cand.load.awaitingResponse+1) / cand.weight
	})
}
