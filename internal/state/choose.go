package state

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// loadBound is c of the bounded load: a target takes at most c times its fair
// share of the open flows. It is below the goal of 1.25 for maximum over mean,
// because flows that close lower the mean after the choice.
const loadBound = 1.15

// Method is how a target is chosen.
type Method uint8

// Methods of choice.
const (
	// MethodPreference follows the preference of the service and the slots.
	MethodPreference Method = iota
	// MethodBounded is rendezvous with bounded load without regard to slots.
	MethodBounded
)

// candidate is a target that may receive the flow.
type candidate struct {
	target *Target
	load   *Load
	weight float64
}

// runLoad and openLoad are what a target has after one more flow, relative to its weight.
func (c *candidate) runLoad() float64  { return float64(c.load.Runs+1) / c.weight }
func (c *candidate) openLoad() float64 { return float64(c.load.Open+1) / c.weight }

// Choose returns the target for a new flow, or nil when no target may take one.
func (c *Counts) Choose(now time.Time, s *Service, flow uint64, method Method, excluded []protocol.Endpoint) *Target {
	c.Sweep(now)
	candidates := c.candidates(now, s, excluded)
	if len(candidates) == 0 {
		return nil
	}
	fair := newShares(candidates)
	if method == MethodBounded {
		return fair.bounded(candidates, flow)
	}
	if free := withFreeSlot(candidates, s.Pool.Slots); len(free) > 0 {
		candidates = free
	}
	if s.Preference == objects.PreferenceEvenness {
		return leastLoaded(candidates, flow)
	}
	return fair.bounded(candidates, flow)
}

// candidates returns the targets that may take a flow. Targets that look bad
// are left out unless all do.
func (c *Counts) candidates(now time.Time, s *Service, excluded []protocol.Endpoint) []candidate {
	var good, usable []candidate
	for _, t := range s.Targets {
		l := c.Load(t.Endpoint)
		if c.Closed(s, t) != "" || slices.Contains(excluded, t.Endpoint) {
			continue
		}
		one := candidate{target: t, load: l, weight: float64(t.Weight) * l.share(now)}
		usable = append(usable, one)
		if !l.bad(now) {
			good = append(good, one)
		}
	}
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

// leastLoaded orders by running requests, then by open flows, then by rendezvous.
func leastLoaded(all []candidate, flow uint64) *Target {
	best := &all[0]
	for i := range all[1:] {
		if one := &all[i+1]; lessLoaded(one, best, flow) {
			best = one
		}
	}
	return best.target
}

func lessLoaded(a, b *candidate, flow uint64) bool {
	if x, y := a.runLoad(), b.runLoad(); x != y {
		return x < y
	}
	if x, y := a.openLoad(), b.openLoad(); x != y {
		return x < y
	}
	return Score(flow, a.target.Hash, a.weight) > Score(flow, b.target.Hash, b.weight)
}

// shares tells how many of the open flows are the fair share of a target.
type shares struct {
	open   float64
	weight float64
}

func newShares(all []candidate) shares {
	s := shares{open: 1}
	for i := range all {
		s.open += float64(all[i].load.Open)
		s.weight += all[i].weight
	}
	return s
}

// admits reports whether a target stays within the load bound with one more flow.
func (s shares) admits(one *candidate) bool {
	fair := s.open * one.weight / s.weight
	return float64(one.load.Open+1) <= max(math.Ceil(fair), math.Floor(loadBound*fair))
}

// bounded is the rendezvous choice among the targets within the load bound, or
// the target with the fewest open flows when none is.
func (s shares) bounded(all []candidate, flow uint64) *Target {
	var best, least *candidate
	highest := -1.0
	for i := range all {
		one := &all[i]
		if least == nil || one.openLoad() < least.openLoad() {
			least = one
		}
		if !s.admits(one) {
			continue
		}
		if score := Score(flow, one.target.Hash, one.weight); score > highest {
			best, highest = one, score
		}
	}
	if best == nil {
		best = least
	}
	return best.target
}
