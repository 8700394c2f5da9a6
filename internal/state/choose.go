package state

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Load bounds of rendezvous hashing with bounded loads: a target receives at most
// its fair share of the open flows times the bound. The bounds are below the goals
// of 1.25 (affinity) and 1.10 (evenness) for the ratio of maximum to mean, because
// flows that close after the selection lower the mean.
const (
	affinityLoadBound = 1.15
	evennessLoadBound = 1.04
	// lowWorkRatio is the ratio of a target's recent work to its fair share below
	// which the target stays a candidate regardless of its open flows. Without it, a
	// target with a few more long flows than its bound received no short requests
	// until these flows ended.
	lowWorkRatio = 0.88
	// minRequestsPerTarget is the number of requests of mean duration per target that
	// the recent work must amount to before targets are compared by it. With fewer, the
	// comparison reflects the random durations of single requests.
	minRequestsPerTarget = 5
)

// Algorithm is a target selection algorithm.
type Algorithm uint8

// Target selection algorithms.
const (
	// AlgorithmPreference selects by free slots and by the preference of the service
	// (affinity or evenness).
	AlgorithmPreference Algorithm = iota
	// AlgorithmBoundedLoad is rendezvous hashing with bounded loads; it ignores slots.
	AlgorithmBoundedLoad
)

// SelectionRule configures target selection.
type SelectionRule struct {
	Algorithm Algorithm
	// LoadBound, unless 0, overrides the load bound that follows from the preference.
	LoadBound float64
}

// loadBound returns the load bound for the open flows of a service.
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
	// recentWork is the decayed sum of request durations of the target, in seconds.
	recentWork float64
}

// requestLoad and flowLoad return the running requests and the open flows of the
// target including the new flow, divided by its weight.
func (c *candidate) requestLoad() float64 { return float64(c.load.RunningRequests+1) / c.weight }
func (c *candidate) flowLoad() float64    { return float64(c.load.OpenFlows+1) / c.weight }

// SelectTarget returns the target for a new flow, or nil when no target is eligible.
// Targets in tried are not eligible. Unless record is nil, it receives the reasons
// why the other targets were not selected.
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

// filterAvailable returns the targets with a free slot that stay within the load
// bound. When no slot is free, it returns those within the bound that are expected
// to free a slot first. The bound applies in both cases: in a surge of long flows,
// which look like requests at first, these flows must be spread as well.
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

// candidates returns the eligible targets for a flow. Degraded targets are returned
// only when all eligible targets are degraded.
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

// degraded reports whether the target is ejected, unhealthy, shedding load or
// unreachable.
func (l *TargetLoad) degraded(now time.Time) bool {
	condition := &l.Condition
	return condition.Unhealthy || condition.Shedding || condition.Unreachable || l.Ejected(now)
}

// IneligibleReason returns why a target accepts no new flow regardless of the state
// of the other targets, or an empty string when it may accept one.
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

// fairShares holds the totals from which the fair shares of the candidates are computed.
type fairShares struct {
	// openFlows includes the new flow.
	openFlows   float64
	totalWeight float64
	// totalWork is 0 while it covers too few requests for a comparison.
	totalWork float64
}

func newFairShares(candidates []candidate, meanRequestDuration time.Duration) fairShares {
	s := fairShares{openFlows: 1}
	for i := range candidates {
		s.openFlows += float64(candidates[i].load.OpenFlows)
		s.totalWeight += candidates[i].weight
		s.totalWork += candidates[i].recentWork
	}
	if s.totalWork < minRequestsPerTarget*float64(len(candidates))*meanRequestDuration.Seconds() {
		s.totalWork = 0
	}
	return s
}

// relativeWork returns the ratio of a target's recent work to its fair share, or 0
// while the work covers too few requests.
func (s fairShares) relativeWork(cand *candidate) float64 {
	if s.totalWork == 0 {
		return 0
	}
	return cand.recentWork * s.totalWeight / (s.totalWork * cand.weight)
}

// withinBound returns the targets whose open flows, including the new one, stay
// within bound times their fair share, and the targets with little recent work.
// When there are none, it returns the targets with the fewest open flows relative
// to their weight.
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

// lowestLoad returns the candidates with the lowest value of load.
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

// highestScore returns the target with the highest weighted rendezvous score.
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

// fewestAwaitingResponse returns the targets with the fewest requests that await a
// response, relative to their weight. A request whose response has started is not
// counted, because it ends soon.
func fewestAwaitingResponse(candidates []candidate) []candidate {
	return lowestLoad(candidates, func(cand *candidate) float64 {
		return float64(cand.load.awaitingResponse+1) / cand.weight
	})
}
