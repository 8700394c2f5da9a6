package health

import (
	"fmt"
	"time"
)

// ReportAge returns the time since the most recent report about a target. It
// returns false for an unknown target and for a target without reports.
func (m *Monitor) ReportAge(now time.Time, name string) (time.Duration, bool) {
	t := m.targets[name]
	if t == nil || len(t.reports) == 0 {
		return 0, false
	}
	var newest time.Time
	for _, r := range t.reports {
		if r.received.After(newest) {
			newest = r.received
		}
	}
	return now.Sub(newest), true
}

// Describe returns one line per prober of a target with the prober's latest report.
func (m *Monitor) Describe(now time.Time, name string) []string {
	t := m.targets[name]
	if t == nil {
		return nil
	}
	if t.Health == "" {
		return []string{"no health endpoint configured"}
	}
	var lines []string
	for _, vm := range t.probers {
		r := t.reports[vm]
		if r == nil {
			lines = append(lines, fmt.Sprintf("prober %s: no report", vm))
			continue
		}
		lines = append(lines, fmt.Sprintf("prober %s: healthy %t, draining %t, shedding %t, load %d permille, reported %.1f s ago",
			vm, r.Healthy, r.Draining, r.Shedding, r.LoadPermille, now.Sub(r.received).Seconds()))
	}
	return lines
}

// Probers returns the balancers that health-check a target, ordered by rank.
func (m *Monitor) Probers(name string) []string {
	if t := m.targets[name]; t != nil {
		return t.probers
	}
	return nil
}
