package health

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// probing is the state of a target that this balancer probes itself.
type probing struct {
	rank      int
	next      time.Time
	failures  int
	successes int
	calm      int     // results in a row without drain and shedding
	load      float64 // smoothed busy share of the slots, in permille
	sampled   bool    // load holds a sample
}

// Tick returns the probes that are due.
func (m *Machine) Tick(now time.Time) []Check {
	m.refillTokens(now)
	m.expireReports(now)
	var checks []Check
	for _, t := range m.duties {
		if now.Before(t.own.next) {
			continue
		}
		t.own.next = m.nextProbe(now, t.own)
		checks = append(checks, Check{Target: t.Name, Address: t.Health})
	}
	return checks
}

// nextProbe places the probes of the two probers of a target half an interval
// apart, by wall clock.
func (m *Machine) nextProbe(now time.Time, p *probing) time.Time {
	spread := time.Duration(float64(len(m.duties)) / m.cfg.ChecksPerSecond * float64(time.Second))
	interval := int64(max(m.cfg.Interval, spread))
	offset := interval * int64(p.rank) / int64(m.cfg.ProbersPerTarget)
	passed := (now.UnixNano() - offset) % interval
	wait := time.Duration(interval - passed)
	if wait < time.Duration(interval)/4 {
		wait += time.Duration(interval)
	}
	return now.Add(wait)
}

func (m *Machine) refillTokens(now time.Time) {
	if m.refill.IsZero() {
		m.refill, m.tokens = now, 1
	}
	rate := m.cfg.LoadUpdatesPerSecond / float64(max(1, m.members))
	m.tokens = min(4, m.tokens+rate*now.Sub(m.refill).Seconds())
	m.refill = now
}

// HandleResult takes the result of a probe that Tick asked for.
func (m *Machine) HandleResult(now time.Time, name string, r Result) {
	t := m.targets[name]
	if t == nil || t.own == nil {
		return
	}
	p := t.own
	good := r.OK && r.Healthy
	p.sample(r)
	p.count(good, r.OK && !r.Draining && !r.Shedding)
	before := t.reports[m.cfg.VM]
	next := m.judge(p, before, r, good)
	if next == nil {
		p.next = now.Add(min(m.cfg.RetryInterval, max(0, p.next.Sub(now))))
		return
	}
	if m.isNews(now, before, next) {
		m.version++
		next.Target, next.Prober, next.Version = name, m.cfg.VM, m.version
		m.store(now, t, next)
		return
	}
	if before != nil && before.Healthy != good {
		p.next = now.Add(min(m.cfg.RetryInterval, max(0, p.next.Sub(now))))
	}
}

func (p *probing) count(good, calm bool) {
	if good {
		p.successes++
		p.failures = 0
	} else {
		p.failures++
		p.successes = 0
	}
	if calm {
		p.calm++
	} else {
		p.calm = 0
	}
}

// judge returns the report that the results so far support, or nil when there
// is no earlier report and too few results.
func (m *Machine) judge(p *probing, before *report, r Result, good bool) *wire.TargetHealth {
	next := &wire.TargetHealth{Healthy: good, Draining: r.Draining, Shedding: r.Shedding}
	if before == nil {
		if !good && p.failures < m.cfg.FailuresToUnhealthy {
			return nil
		}
		next.LoadPermille = p.reportedLoad()
		return next
	}
	next.Healthy = before.Healthy
	if before.Healthy && p.failures >= m.cfg.FailuresToUnhealthy {
		next.Healthy = false
	}
	if !before.Healthy && p.successes >= m.cfg.SuccessesToHealthy {
		next.Healthy = true
	}
	if p.calm < m.cfg.SuccessesToHealthy {
		// A missing answer keeps the last drain signal in force.
		next.Draining = r.Draining || before.Draining
		next.Shedding = r.Shedding || before.Shedding
	}
	next.LoadPermille = p.reportedLoad()
	return next
}

// sample smooths the busy share of the slots.
func (p *probing) sample(r Result) {
	if !r.OK || r.Slots <= 0 {
		return
	}
	permille := float64(min(1000, max(0, r.BusySlots)*1000/r.Slots))
	if !p.sampled {
		p.load, p.sampled = permille, true
		return
	}
	p.load += loadShare * (permille - p.load)
}

// reportedLoad returns the load for a report, with low loads as 0. The first
// prober of a target alone reports it, which halves the updates.
func (p *probing) reportedLoad() uint32 {
	if p.rank > 0 || p.load < loadFloor {
		return 0
	}
	return uint32(p.load)
}

// isNews reports whether a report is passed on. Health, drain and shedding
// always are; a load change must be large enough and within the fleet's rate.
func (m *Machine) isNews(now time.Time, before *report, next *wire.TargetHealth) bool {
	if before == nil {
		return true
	}
	if before.Healthy != next.Healthy || before.Draining != next.Draining || before.Shedding != next.Shedding {
		return true
	}
	change := int(next.LoadPermille) - int(before.LoadPermille)
	if change == 0 && next.LoadPermille == 0 {
		return false
	}
	old := next.LoadPermille > 0 && now.Sub(before.received) > m.cfg.LoadBound/2
	if change < loadStep && -change < loadStep && !old {
		return false
	}
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}
