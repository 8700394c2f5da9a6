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

// updateBudget bounds the reports in one probe, in bytes.
const updateBudget = 400

// HandleReports merges reports of other balancers. Reports about targets that
// the configuration in force lacks are ignored; an exchange repairs that later.
func (m *Machine) HandleReports(now time.Time, reports []*wire.TargetHealth) {
	for _, u := range reports {
		t := m.targets[u.GetTarget()]
		if t == nil || u.Prober == "" || u.Prober == m.cfg.VM {
			continue
		}
		if before := t.reports[u.Prober]; before != nil && before.Version >= u.Version {
			continue
		}
		u.LoadPermille = min(u.LoadPermille, 1000)
		m.store(now, t, u)
	}
}

// store keeps a report and queues it for others.
func (m *Machine) store(now time.Time, t *target, u *wire.TargetHealth) {
	before := t.reports[u.Prober]
	urgent := isUrgent(before, u)
	m.urgent = m.urgent || urgent
	r := &report{TargetHealth: u, received: now}
	r.setVouched(now, slices.Contains(t.probers, u.Prober))
	t.reports[u.Prober] = r
	m.changed = true
	key := u.Target + "/" + u.Prober
	if !r.vouched() {
		// Passing it on would let reports of former probers circulate forever.
		return
	}
	if urgent {
		m.queue.Put(key, u)
	} else {
		m.queue.PutRoutine(key, u)
	}
}

// isUrgent reports whether a report stops or reduces new work.
func isUrgent(before *report, u *wire.TargetHealth) bool {
	if before == nil {
		return u.Draining || u.Shedding || !u.Healthy
	}
	return before.Healthy != u.Healthy || before.Draining != u.Draining || before.Shedding != u.Shedding
}

// expireReports drops the reports of probers that have been gone for the bound.
func (m *Machine) expireReports(now time.Time) {
	if now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = now.Add(time.Second)
	for _, t := range m.targets {
		for vm, r := range t.reports {
			if !r.goneAt.IsZero() && now.Sub(r.goneAt) > m.cfg.ReportBound {
				delete(t.reports, vm)
				m.changed = true
			}
		}
	}
}

// Updates returns reports to piggyback on one message.
func (m *Machine) Updates(now time.Time) []*wire.TargetHealth {
	return m.queue.Take(now, updateBudget, gossip.SendLimit(m.members))
}

// Reports returns one report for each target that something is known about,
// by name. Any prober's drain or shedding counts; a target is unhealthy only
// when no prober holds it for healthy, because one prober may be cut off.
func (m *Machine) Reports(now time.Time) []coordination.TargetReport {
	var list []coordination.TargetReport
	for _, name := range m.names {
		t := m.targets[name]
		if len(t.reports) == 0 {
			continue
		}
		list = append(list, m.combine(now, t))
	}
	return list
}

func (m *Machine) combine(now time.Time, t *target) coordination.TargetReport {
	out := coordination.TargetReport{Target: t.Name}
	for _, r := range t.reports {
		out.Healthy = out.Healthy || r.Healthy
		out.Draining = out.Draining || r.Draining
		out.Shedding = out.Shedding || r.Shedding
		if now.Sub(r.received) <= m.cfg.LoadBound {
			out.LoadPermille = max(out.LoadPermille, r.LoadPermille)
		}
	}
	return out
}

// Buckets returns hashes of the reports of live probers for an exchange.
func (m *Machine) Buckets() []byte {
	return m.buckets(gossip.BucketCount(len(m.names))).Bytes()
}

// BucketsLike returns as many hashes as the given ones.
func (m *Machine) BucketsLike(raw []byte) []byte {
	return m.buckets(len(gossip.ParseBuckets(raw))).Bytes()
}

func (m *Machine) buckets(count int) gossip.Buckets {
	b := make(gossip.Buckets, count)
	for _, name := range m.names {
		for _, r := range m.targets[name].reports {
			if !r.vouched() {
				continue
			}
			b.Add(xxhash.Sum64String(name), hashReport(r.TargetHealth))
		}
	}
	return b
}

// hashReport covers what stops new work, but not the load. Loads change faster
// than they spread; with them nearly every bucket of 625 targets differed, and
// each exchange carried the whole view.
func hashReport(u *wire.TargetHealth) uint64 {
	flags := uint64(0)
	for i, set := range []bool{u.Healthy, u.Draining, u.Shedding} {
		if set {
			flags |= 1 << i
		}
	}
	return state.Mix(xxhash.Sum64String(u.Target+"/"+u.Prober)+flags, 0)
}

// Differing returns the reports of the buckets whose hash differs from the one
// given; all reports when no hashes are given.
func (m *Machine) Differing(raw []byte) []*wire.TargetHealth {
	theirs := gossip.ParseBuckets(raw)
	all := len(theirs) == 0
	var own gossip.Buckets
	if !all {
		own = m.buckets(len(theirs))
	}
	var list []*wire.TargetHealth
	for _, name := range m.names {
		if !all {
			if i := own.Index(xxhash.Sum64String(name)); own[i] == theirs[i] {
				continue
			}
		}
		for _, vm := range slices.Sorted(maps.Keys(m.targets[name].reports)) {
			if r := m.targets[name].reports[vm]; r.vouched() {
				list = append(list, r.TargetHealth)
			}
		}
	}
	return list
}
