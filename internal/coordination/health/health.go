// Package health holds what this balancer knows about health and load of the
// targets: its own probe results and the reports of other balancers. It is pure
// code: time, results and reports are passed in.
package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Config holds the parameters.
type Config struct {
	VM    string
	Place string
	// FirstVersion is the version of the first report. It must exceed those of
	// an earlier process on the same VM; Unix seconds at start serve well.
	FirstVersion uint64

	// ProbersPerTarget is the number of balancers of its place that probe a target.
	ProbersPerTarget int
	// Interval is the time between two probes of a target by one balancer.
	Interval time.Duration
	// ChecksPerSecond bounds the probes of one balancer; with many targets the interval grows.
	ChecksPerSecond float64
	// RetryInterval is the same after a result that differs from the report.
	RetryInterval time.Duration
	// FailuresToUnhealthy and SuccessesToHealthy are the results in a row that change the report.
	FailuresToUnhealthy int
	SuccessesToHealthy  int
	// LoadBound is the age after which a reported load is unknown.
	LoadBound time.Duration
	// ReportBound is the age after which the report of a prober that is gone is unknown.
	ReportBound time.Duration
	// LoadUpdatesPerSecond bounds the load changes that the whole fleet passes on.
	LoadUpdatesPerSecond float64
}

const (
	defaultProbersPerTarget = 2
	// Two probers that take turns see a drain signal within 1 s, which leaves
	// 2 s to spread it, for about 140 bytes per second and target.
	defaultInterval            = 2 * time.Second
	defaultRetryInterval       = 500 * time.Millisecond
	defaultFailuresToUnhealthy = 3
	defaultSuccessesToHealthy  = 2
	defaultLoadBound           = 90 * time.Second
	defaultReportBound         = 10 * time.Second
	// One probe takes about 250 bytes. At the design scale of 12.5 targets per
	// balancer and prober this gives 5 s, so that two probers see a drain within 2.5 s.
	defaultChecksPerSecond = 2.5
	// One update costs each member about 300 bytes, sent and received.
	defaultLoadUpdates = 0.5
)

// A load change below loadStep is not reported. Lower loads than loadFloor
// change no weight, so they all count as 0. With few slots a single sample
// says little, so loads are smoothed by loadShare per sample.
const (
	loadStep  = 150
	loadFloor = 500
	loadShare = 0.25
)

func (c *Config) setDefaults() {
	c.FirstVersion = cmp.Or(c.FirstVersion, 1)
	c.ProbersPerTarget = cmp.Or(c.ProbersPerTarget, defaultProbersPerTarget)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.ChecksPerSecond = cmp.Or(c.ChecksPerSecond, defaultChecksPerSecond)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRetryInterval)
	c.FailuresToUnhealthy = cmp.Or(c.FailuresToUnhealthy, defaultFailuresToUnhealthy)
	c.SuccessesToHealthy = cmp.Or(c.SuccessesToHealthy, defaultSuccessesToHealthy)
	c.LoadBound = cmp.Or(c.LoadBound, defaultLoadBound)
	c.ReportBound = cmp.Or(c.ReportBound, defaultReportBound)
	c.LoadUpdatesPerSecond = cmp.Or(c.LoadUpdatesPerSecond, defaultLoadUpdates)
}

// Check asks the shell to probe one target.
type Check struct {
	Target string
	// Address is the address:port of the target's health endpoint.
	Address string
}

// Result is the answer of a target's health endpoint. OK is false when there
// was no usable answer.
type Result struct {
	OK        bool
	Healthy   bool
	Draining  bool
	Shedding  bool
	BusySlots int
	Slots     int
}

// target is one target with its reports by prober.
type target struct {
	objects.Target
	probers []string // by rank
	reports map[string]*report
	own     *probing // nil when this balancer does not probe it
}

// report is what one prober last said.
type report struct {
	*wire.TargetHealth
	received time.Time
	goneAt   time.Time // when the prober ceased to be one; zero while it is one
}

// vouched reports whether the prober still probes the target.
func (r *report) vouched() bool { return r.goneAt.IsZero() }

// setVouched starts or stops the age of a report.
func (r *report) setVouched(now time.Time, vouched bool) {
	switch {
	case vouched:
		r.goneAt = time.Time{}
	case r.goneAt.IsZero():
		r.goneAt = now
	}
}

// Machine holds the health view of one balancer. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	members    int                    // in the view
	eligible   map[string][]candidate // by place
	targets    map[string]*target
	names      []string  // in order
	duties     []*target // probed by this balancer, in order
	nextExpiry time.Time
	queue      *gossip.Queue[*wire.TargetHealth]
	version    uint64
	tokens     float64 // load updates that may be sent now
	refill     time.Time
	changed    bool
	urgent     bool
}

// New returns an empty health view.
func New(cfg Config) *Machine {
	cfg.setDefaults()
	return &Machine{
		cfg:     cfg,
		targets: map[string]*target{},
		queue:   gossip.NewQueue[*wire.TargetHealth](),
		version: cfg.FirstVersion,
	}
}

// SetTargets takes the targets of the configuration in force.
func (m *Machine) SetTargets(now time.Time, targets []objects.Target) {
	old := m.targets
	m.targets = map[string]*target{}
	m.names = m.names[:0]
	for _, o := range targets {
		t := &target{Target: o, reports: map[string]*report{}}
		if before := old[o.Name]; before != nil && before.Health == o.Health {
			t.reports, t.own = before.reports, before.own
		}
		m.targets[o.Name] = t
		m.names = append(m.names, o.Name)
	}
	slices.Sort(m.names)
	m.assign(now)
	m.changed = true
}

// SetView takes the live members, from which the probers are chosen.
func (m *Machine) SetView(now time.Time, view coordination.View) {
	m.members = len(view.Members)
	m.eligible = map[string][]candidate{}
	for _, member := range view.Members {
		if member.Leaving {
			continue
		}
		c := candidate{vm: member.VM, hash: xxhash.Sum64String(member.VM)}
		m.eligible[member.Place] = append(m.eligible[member.Place], c)
		m.eligible[anyPlace] = append(m.eligible[anyPlace], c)
	}
	m.assign(now)
}

// anyPlace is the key of all members; no place has an empty name.
const anyPlace = ""

// candidate is a member that can probe targets.
type candidate struct {
	vm   string
	hash uint64
}

// assign chooses the probers of each target. Reports of others age from now on.
func (m *Machine) assign(now time.Time) {
	m.duties = m.duties[:0]
	for _, name := range m.names {
		t := m.targets[name]
		t.probers = m.choose(t)
		for vm, r := range t.reports {
			r.setVouched(now, slices.Contains(t.probers, vm))
		}
		rank := slices.Index(t.probers, m.cfg.VM)
		if rank < 0 || t.Health == "" {
			t.own = nil
			continue
		}
		if t.own == nil {
			t.own = &probing{next: now}
		}
		t.own.rank = rank
		m.duties = append(m.duties, t)
	}
}

// choose returns the first members of the target's place in rendezvous order.
// A place without members is probed from the other places.
func (m *Machine) choose(t *target) []string {
	eligible := m.eligible[t.Place]
	if len(eligible) == 0 {
		eligible = m.eligible[anyPlace]
	}
	own := xxhash.Sum64String(t.Name)
	var probers []string
	var weights []uint64
	for _, c := range eligible {
		weight := state.Mix(own^c.hash, 0)
		i, _ := slices.BinarySearchFunc(weights, weight, func(a, b uint64) int { return cmp.Compare(b, a) })
		if i >= m.cfg.ProbersPerTarget {
			continue
		}
		weights = slices.Insert(weights, i, weight)
		probers = slices.Insert(probers, i, c.vm)
		weights = weights[:min(len(weights), m.cfg.ProbersPerTarget)]
		probers = probers[:len(weights)]
	}
	return probers
}

// Changed reports whether Reports changed since the last call.
func (m *Machine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Urgent reports whether news since the last call must not wait for the next probe.
func (m *Machine) Urgent() bool {
	urgent := m.urgent
	m.urgent = false
	return urgent
}
