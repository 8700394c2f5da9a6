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
	affinityBound = 1.15
	evennessBound = 1.04
	// leastWork is the share of the mean recent work below which a target stays a
	// candidate whatever its open flows. Without it, a target with a few more long
	// flows than its bound received no short requests for as long as these flows lived.
	leastWork = 0.88
	// measuredRuns is how many requests per target the recent work must hold before
	// it is compared. With fewer, the random lengths of the requests decide.
	measuredRuns = 5
)

// Method is how a target is chosen.
type Method uint8

// Methods of choice.
const (
	// MethodPreference follows the preference of the service and the slots.
	MethodPreference Method = iota
	// MethodBounded is rendezvous with bounded load without regard to slots.
	MethodBounded
)

// Rule is how targets are chosen.
type Rule struct {
	Method Method
	// Bound, unless 0, replaces the bound of open flows that follows from the preference.
	Bound float64
}

// bound returns the bound of open flows for a service.
func (r Rule) bound(s *Service) float64 {
	switch {
	case r.Bound > 0:
		return r.Bound
	case r.Method == MethodPreference && s.Preference == objects.PreferenceEvenness:
		return evennessBound
	}
	return affinityBound
}

// candidate is a target that may receive the flow.
type candidate struct {
	target *Target
	load   *Load
	weight float64
	// work is the recent work of the target.
	work float64
}

// runLoad and openLoad are what a target has after one more flow, relative to its weight.
func (c *candidate) runLoad() float64  { return float64(c.load.Runs+1) / c.weight }
func (c *candidate) openLoad() float64 { return float64(c.load.Open+1) / c.weight }

// Choose returns the target for a new flow, or nil when no target may take one.
// It notes in passed, unless that is nil, why the others were not chosen.
func (c *Counts) Choose(now time.Time, s *Service, flow uint64, rule Rule, excluded []protocol.Endpoint, passed *Passed) *Target {
	passed.start(len(s.Targets))
	candidates := c.candidates(now, s, excluded, passed)
	if len(candidates) == 0 {
		return nil
	}
	fair := newShares(candidates, c.meanRun)
	bound := rule.bound(s)
	if rule.Method == MethodBounded {
		fair.work = 0
		return passed.pick(passed.keep(candidates, fair.within(bound, candidates), passedShare), flow)
	}
	candidates = available(fair, bound, s.Pool.Slots, candidates, passed)
	if s.Preference == objects.PreferenceEvenness {
		candidates = passed.keep(candidates, lowest(candidates, (*candidate).runLoad), passedRuns)
		candidates = passed.keep(candidates, lowest(candidates, fair.workLoad), passedWork)
	}
	return passed.pick(candidates, flow)
}

// available keeps the targets with a free slot that stay within the bound. When
// no slot is free, it keeps those within the bound that have one soonest: in a
// surge of long flows, which look like requests at first, these must be spread too.
func available(fair shares, bound float64, slots uint32, all []candidate, passed *Passed) []candidate {
	free := withFreeSlot(all, slots)
	if len(free) > 0 {
		free = passed.keep(all, free, passedSlots)
		return passed.keep(free, fair.within(bound, free), passedShare)
	}
	all = passed.keep(all, fair.within(bound, all), passedShare)
	if slots == 0 {
		return all
	}
	return passed.keep(all, soonestFree(all), passedWaiting)
}

// candidates returns the targets that may take a flow. Targets that look bad
// are left out unless all do.
func (c *Counts) candidates(now time.Time, s *Service, excluded []protocol.Endpoint, passed *Passed) []candidate {
	var good, usable []candidate
	for _, t := range s.Targets {
		l := c.Load(t.Endpoint)
		if c.Closed(s, t) != "" || slices.Contains(excluded, t.Endpoint) {
			continue
		}
		one := candidate{target: t, load: l, weight: float64(t.Weight) * l.share(now), work: l.recentWork(now)}
		usable = append(usable, one)
		if !l.bad(now) {
			good = append(good, one)
		}
	}
	passed.addExcluded(now, c, s, excluded, len(good) > 0)
	if len(good) > 0 {
		return good
	}
	return usable
}

func (l *Load) bad(now time.Time) bool {
	x := &l.Condition
	return x.Unhealthy || x.Shedding || x.Unreachable || l.Failing(now)
}

// Closed tells why a target takes no new flow whatever the others look like; empty when it may.
func (c *Counts) Closed(s *Service, t *Target) string {
	l := c.Load(t.Endpoint)
	switch {
	case t.Drain:
		return "drained by configuration"
	case l.Condition.Draining:
		return "target reports that it drains"
	case s.Pool.Connections > 0 && l.Open >= int(s.Pool.Connections):
		return "at its connection limit"
	}
	return ""
}

func withFreeSlot(all []candidate, slots uint32) []candidate {
	if slots == 0 {
		return nil
	}
	var free []candidate
	for _, one := range all {
		if one.load.Runs < int(slots) {
			free = append(free, one)
		}
	}
	return free
}

// shares tells the fair share of a target in the open flows and the recent work.
type shares struct {
	open   float64
	weight float64
	// work is 0 until it is measured well enough to be compared.
	work float64
}

func newShares(all []candidate, meanRun time.Duration) shares {
	s := shares{open: 1}
	for i := range all {
		s.open += float64(all[i].load.Open)
		s.weight += all[i].weight
		s.work += all[i].work
	}
	if s.work < measuredRuns*float64(len(all))*meanRun.Seconds() {
		s.work = 0
	}
	return s
}

// workLoad is the recent work of a target over its fair share, or 0 when the work is not measured.
func (s shares) workLoad(one *candidate) float64 {
	if s.work == 0 {
		return 0
	}
	return one.work * s.weight / (s.work * one.weight)
}

// within keeps the targets that stay within bound times their share of the open
// flows with one more, and those with little recent work; or those with the
// fewest open flows when there are none.
func (s shares) within(bound float64, all []candidate) []candidate {
	kept := make([]candidate, 0, len(all))
	for _, one := range all {
		fair := s.open * one.weight / s.weight
		fits := float64(one.load.Open+1) <= max(math.Ceil(fair), math.Floor(bound*fair))
		if fits || s.work > 0 && s.workLoad(&one) < leastWork {
			kept = append(kept, one)
		}
	}
	if len(kept) == 0 {
		return lowest(all, (*candidate).openLoad)
	}
	return kept
}

// lowest keeps the targets with the lowest load.
func lowest(all []candidate, load func(*candidate) float64) []candidate {
	var kept []candidate
	least := math.Inf(1)
	for i := range all {
		x := load(&all[i])
		if x < least {
			kept, least = kept[:0], x
		}
		if x == least {
			kept = append(kept, all[i])
		}
	}
	return kept
}

// highest is the weighted rendezvous choice.
func highest(all []candidate, flow uint64) *Target {
	var best *Target
	top := -1.0
	for _, one := range all {
		if score := Score(flow, one.target.Hash, one.weight); score > top {
			best, top = one.target, score
		}
	}
	return best
}

// soonestFree keeps the targets with the fewest requests that still wait for a
// response, relative to the weight. A request whose response began is as good as done.
func soonestFree(all []candidate) []candidate {
	return lowest(all, func(one *candidate) float64 {
		return float64(one.load.waiting+1) / one.weight
	})
}
