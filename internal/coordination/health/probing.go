package health

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// checkState is the state of this balancer's own checks of one target.
type checkState struct {
	rank                 int // of this balancer among the target's probers
	nextCheck            time.Time
	consecutiveFailures  int
	consecutiveSuccesses int
	consecutiveAccepting int     // consecutive answered checks without drain and shedding signal
	smoothedLoad         float64 // moving average of the busy slots in permille of all slots
	hasLoadSample        bool    // smoothedLoad holds at least one sample
}

// Tick returns the health checks that are due and expires old reports.
func (m *Monitor) Tick(now time.Time) []Check {
	m.refillTokens(now)
	m.expireReports(now)
	var checks []Check
	for _, t := range m.checkedTargets {
		if now.Before(t.check.nextCheck) {
			continue
		}
		t.check.nextCheck = m.nextCheckTime(now, t.check)
		checks = append(checks, Check{Target: t.Name, Address: t.Health})
	}
	return checks
}

// nextCheckTime returns the time of the next check. It aligns checks with the wall
// clock, offset by rank, so that the probers of a target are spread evenly over
// the interval: two probers check half an interval apart. The next
// check follows after at least a quarter of the interval.
func (m *Monitor) nextCheckTime(now time.Time, c *checkState) time.Time {
	rateLimitedInterval := time.Duration(float64(len(m.checkedTargets)) / m.cfg.MaxChecksPerSecond * float64(time.Second))
	interval := int64(max(m.cfg.CheckInterval, rateLimitedInterval))
	offset := interval * int64(c.rank) / int64(m.cfg.ProbersPerTarget)
	elapsed := (now.UnixNano() - offset) % interval
	wait := time.Duration(interval - elapsed)
	if wait < time.Duration(interval)/4 {
		wait += time.Duration(interval)
	}
	return now.Add(wait)
}

// refillTokens refills the token bucket of load updates with this balancer's part
// of the fleet-wide rate. The bucket holds at most 4 tokens.
func (m *Monitor) refillTokens(now time.Time) {
	if m.lastRefill.IsZero() {
		m.lastRefill, m.loadUpdateTokens = now, 1
	}
	rate := m.cfg.FleetLoadUpdatesPerSecond / float64(max(1, m.memberCount))
	m.loadUpdateTokens = min(4, m.loadUpdateTokens+rate*now.Sub(m.lastRefill).Seconds())
	m.lastRefill = now
}

// HandleResult processes the result of a check that Tick returned. It stores and
// publishes a new report if the result changes the view of the target, and checks
// earlier than planned while results contradict the published health.
func (m *Monitor) HandleResult(now time.Time, name string, r Result) {
	t := m.targets[name]
	if t == nil || t.check == nil {
		return
	}
	c := t.check
	healthy := r.OK && r.Healthy
	c.addLoadSample(r)
	c.countResult(healthy, r.OK && !r.Draining && !r.Shedding)
	previous := t.reports[m.cfg.VM]
	updated := m.evaluateResults(c, previous, r, healthy)
	if updated == nil {
		c.nextCheck = now.Add(min(m.cfg.RetryInterval, max(0, c.nextCheck.Sub(now))))
		return
	}
	if m.shouldPublish(now, previous, updated) {
		m.version++
		updated.Target, updated.Prober, updated.Version = name, m.cfg.VM, m.version
		m.storeReport(now, t, updated)
		return
	}
	if previous != nil && previous.Healthy != healthy {
		c.nextCheck = now.Add(min(m.cfg.RetryInterval, max(0, c.nextCheck.Sub(now))))
	}
}

func (c *checkState) countResult(healthy, accepting bool) {
	if healthy {
		c.consecutiveSuccesses++
		c.consecutiveFailures = 0
	} else {
		c.consecutiveFailures++
		c.consecutiveSuccesses = 0
	}
	if accepting {
		c.consecutiveAccepting++
	} else {
		c.consecutiveAccepting = 0
	}
}

// evaluateResults returns the report that follows from the results so far. It
// returns nil if there is no previous report and there are too few failures to
// report the target as unhealthy.
func (m *Monitor) evaluateResults(c *checkState, previous *report, r Result, healthy bool) *wire.TargetHealth {
	updated := &wire.TargetHealth{Healthy: healthy, Draining: r.Draining, Shedding: r.Shedding}
	if previous == nil {
		if !healthy && c.consecutiveFailures < m.cfg.UnhealthyThreshold {
			return nil
		}
		updated.LoadPermille = c.reportedLoad()
		return updated
	}
	updated.Healthy = previous.Healthy
	if previous.Healthy && c.consecutiveFailures >= m.cfg.UnhealthyThreshold {
		updated.Healthy = false
	}
	if !previous.Healthy && c.consecutiveSuccesses >= m.cfg.HealthyThreshold {
		updated.Healthy = true
	}
	if c.consecutiveAccepting < m.cfg.HealthyThreshold {
		// A check without a usable response does not clear the previous drain
		// and shedding signals.
		updated.Draining = r.Draining || previous.Draining
		updated.Shedding = r.Shedding || previous.Shedding
	}
	updated.LoadPermille = c.reportedLoad()
	return updated
}

// addLoadSample updates the moving average of the target's busy slots.
func (c *checkState) addLoadSample(r Result) {
	if !r.OK || r.Slots <= 0 {
		return
	}
	permille := float64(min(1000, max(0, r.BusySlots)*1000/r.Slots))
	if !c.hasLoadSample {
		c.smoothedLoad, c.hasLoadSample = permille, true
		return
	}
	c.smoothedLoad += loadSmoothingFactor * (permille - c.smoothedLoad)
}

// reportedLoad returns the load to report, with low loads rounded down to 0. Only
// the prober of rank 0 reports the load, which halves the number of updates.
func (c *checkState) reportedLoad() uint32 {
	if c.rank > 0 || c.smoothedLoad < minReportedLoadPermille {
		return 0
	}
	return uint32(c.smoothedLoad)
}

// shouldPublish reports whether a report is published. Changes of health, drain
// and shedding always are. A load is published if it changed enough or the
// previous report reached half of LoadMaxAge, within the fleet's rate limit.
func (m *Monitor) shouldPublish(now time.Time, previous *report, updated *wire.TargetHealth) bool {
	if previous == nil {
		return true
	}
	if previous.Healthy != updated.Healthy || previous.Draining != updated.Draining || previous.Shedding != updated.Shedding {
		return true
	}
	change := int(updated.LoadPermille) - int(previous.LoadPermille)
	if change == 0 && updated.LoadPermille == 0 {
		return false
	}
	refreshDue := updated.LoadPermille > 0 && now.Sub(previous.received) > m.cfg.LoadMaxAge/2
	if change < minLoadChangePermille && -change < minLoadChangePermille && !refreshDue {
		return false
	}
	if m.loadUpdateTokens < 1 {
		return false
	}
	m.loadUpdateTokens--
	return true
}
