package health

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxUpdateBytes limits the size of the health reports piggybacked on one message.
const maxUpdateBytes = 400

// HandleReports merges reports of other balancers. It ignores reports about
// targets that are missing from the configuration in force; a later anti-entropy
// exchange supplies them again.
func (m *Monitor) HandleReports(now time.Time, reports []*wire.TargetHealth) {
	for _, u := range reports {
		t := m.targets[u.GetTarget()]
		if t == nil || u.Prober == "" || u.Prober == m.cfg.VM {
			continue
		}
		if previous := t.reports[u.Prober]; previous != nil && previous.Version >= u.Version {
			continue
		}
		u.LoadPermille = min(u.LoadPermille, 1000)
		m.storeReport(now, t, u)
	}
}

// storeReport stores a report and queues it for the other balancers.
func (m *Monitor) storeReport(now time.Time, t *target, u *wire.TargetHealth) {
	previous := t.reports[u.Prober]
	urgent := isUrgent(previous, u)
	m.pushNeeded = m.pushNeeded || urgent
	r := &report{TargetHealth: u, received: now}
	r.setProberAssigned(now, slices.Contains(t.probers, u.Prober))
	t.reports[u.Prober] = r
	m.reportsChanged = true
	key := u.Target + "/" + u.Prober
	if !r.fromCurrentProber() {
		// Forwarding reports of former probers would let them circulate forever.
		return
	}
	if urgent {
		m.updateQueue.Put(key, u)
	} else {
		m.updateQueue.PutRoutine(key, u)
	}
}

// isUrgent reports whether a report affects how much new work the target gets:
// health, drain or shedding changed, or the first report restricts new work.
func isUrgent(previous *report, u *wire.TargetHealth) bool {
	if previous == nil {
		return u.Draining || u.Shedding || !u.Healthy
	}
	return previous.Healthy != u.Healthy || previous.Draining != u.Draining || previous.Shedding != u.Shedding
}

// expireReports drops the reports of balancers that stopped being probers of the
// target longer than FormerProberRetention ago. It runs at most once a second.
func (m *Monitor) expireReports(now time.Time) {
	if now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = now.Add(time.Second)
	for _, t := range m.targets {
		for vm, r := range t.reports {
			if !r.unassignedAt.IsZero() && now.Sub(r.unassignedAt) > m.cfg.FormerProberRetention {
				delete(t.reports, vm)
				m.reportsChanged = true
			}
		}
	}
}

// Updates returns queued reports to piggyback on one message.
func (m *Monitor) Updates(now time.Time) []*wire.TargetHealth {
	return m.updateQueue.NextUpdates(now, maxUpdateBytes, gossip.SendLimit(m.memberCount))
}

// Reports returns one combined report for each target that has any, ordered by
// name. A target is draining or shedding if any prober reports so. It is unhealthy
// only if no prober reports it healthy, because a single prober may be partitioned
// from the target.
func (m *Monitor) Reports(now time.Time) []coordination.TargetReport {
	var list []coordination.TargetReport
	for _, name := range m.targetNames {
		t := m.targets[name]
		if len(t.reports) == 0 {
			continue
		}
		list = append(list, m.combine(now, t))
	}
	return list
}

// combine merges the reports of all probers of a target.
func (m *Monitor) combine(now time.Time, t *target) coordination.TargetReport {
	combined := coordination.TargetReport{Target: t.Name}
	for _, r := range t.reports {
		combined.Healthy = combined.Healthy || r.Healthy
		combined.Draining = combined.Draining || r.Draining
		combined.Shedding = combined.Shedding || r.Shedding
		if now.Sub(r.received) <= m.cfg.LoadMaxAge {
			combined.LoadPermille = max(combined.LoadPermille, r.LoadPermille)
		}
	}
	return combined
}

// Buckets returns bucket hashes over the reports of current probers, for an
// anti-entropy exchange.
func (m *Monitor) Buckets() []byte {
	return m.buckets(gossip.BucketCount(len(m.targetNames))).Bytes()
}

// BucketsSizedLike returns as many bucket hashes as encoded holds, so that both
// sides can compare them.
func (m *Monitor) BucketsSizedLike(encoded []byte) []byte {
	return m.buckets(len(gossip.ParseBuckets(encoded))).Bytes()
}

func (m *Monitor) buckets(count int) gossip.Buckets {
	b := make(gossip.Buckets, count)
	for _, name := range m.targetNames {
		for _, r := range m.targets[name].reports {
			if !r.fromCurrentProber() {
				continue
			}
			b.Add(xxhash.Sum64String(name), hashReport(r.TargetHealth))
		}
	}
	return b
}

// hashReport hashes the health, drain and shedding flags of a report, but not its
// load. Loads change faster than they propagate: when they were included, nearly
// every bucket of 625 targets differed, and each exchange carried the whole view.
func hashReport(u *wire.TargetHealth) uint64 {
	flags := uint64(0)
	for i, set := range []bool{u.Healthy, u.Draining, u.Shedding} {
		if set {
			flags |= 1 << i
		}
	}
	return state.Mix(xxhash.Sum64String(u.Target+"/"+u.Prober)+flags, 0)
}

// DifferingReports returns the reports in the buckets whose hashes differ from
// those that encoded holds, or all reports if it holds none.
func (m *Monitor) DifferingReports(encoded []byte) []*wire.TargetHealth {
	peerBuckets := gossip.ParseBuckets(encoded)
	all := len(peerBuckets) == 0
	var localBuckets gossip.Buckets
	if !all {
		localBuckets = m.buckets(len(peerBuckets))
	}
	var list []*wire.TargetHealth
	for _, name := range m.targetNames {
		if !all {
			if i := localBuckets.Index(xxhash.Sum64String(name)); localBuckets[i] == peerBuckets[i] {
				continue
			}
		}
		for _, vm := range slices.Sorted(maps.Keys(m.targets[name].reports)) {
			if r := m.targets[name].reports[vm]; r.fromCurrentProber() {
				list = append(list, r.TargetHealth)
			}
		}
	}
	return list
}
