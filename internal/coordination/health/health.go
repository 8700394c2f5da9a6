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
	CheckInterval time.Duration
	// ChecksPerSecond bounds the probes of one balancer; with many targets the interval grows.
	MaxChecksPerSecond float64
	// RetryInterval is the same after a result that differs from the report.
	RetryInterval time.Duration
	// FailuresToUnhealthy and SuccessesToHealthy are the results in a row that change the report.
	UnhealthyThreshold int
	HealthyThreshold   int
	// LoadBound is the age after which a reported load is unknown.
	LoadMaxAge time.Duration
	// ReportBound is the age after which the report of a prober that is gone is unknown.
	FormerProberRetention time.Duration
	// LoadUpdatesPerSecond bounds the load changes that the whole fleet passes on.
	FleetLoadUpdatesPerSecond float64
}

const (
	defaultProbersPerTarget = 2
	// Two probers that take turns see a drain signal within 1 s, which leaves
	// 2 s to spread it, for about 140 bytes per second and target.
	defaultCheckInterval         = 2 * time.Second
	defaultRetryInterval         = 500 * time.Millisecond
	defaultUnhealthyThreshold    = 3
	defaultHealthyThreshold      = 2
	defaultLoadMaxAge            = 90 * time.Second
	defaultFormerProberRetention = 10 * time.Second
	// One probe takes about 250 bytes. At the design scale of 12.5 targets per
	// balancer and prober this gives 5 s, so that two probers see a drain within 2.5 s.
	defaultMaxChecksPerSecond = 2.5
	// One update costs each member about 300 bytes, sent and received.
	defaultFleetLoadUpdatesPerSecond = 0.5
)

// A load change below loadStep is not reported. Lower loads than loadFloor
// change no weight, so they all count as 0. With few slots a single sample
// says little, so loads are smoothed by loadShare per sample.
const (
	minLoadChangePermille   = 150
	minReportedLoadPermille = 500
	loadSmoothingFactor     = 0.25
)

func (c *Config) setDefaults() {
	c.FirstVersion = cmp.Or(c.FirstVersion, 1)
	c.ProbersPerTarget = cmp.Or(c.ProbersPerTarget, defaultProbersPerTarget)
	c.CheckInterval = cmp.Or(c.CheckInterval, defaultCheckInterval)
	c.MaxChecksPerSecond = cmp.Or(c.MaxChecksPerSecond, defaultMaxChecksPerSecond)
	c.RetryInterval = cmp.Or(c.RetryInterval, defaultRetryInterval)
	c.UnhealthyThreshold = cmp.Or(c.UnhealthyThreshold, defaultUnhealthyThreshold)
	c.HealthyThreshold = cmp.Or(c.HealthyThreshold, defaultHealthyThreshold)
	c.LoadMaxAge = cmp.Or(c.LoadMaxAge, defaultLoadMaxAge)
	c.FormerProberRetention = cmp.Or(c.FormerProberRetention, defaultFormerProberRetention)
	c.FleetLoadUpdatesPerSecond = cmp.Or(c.FleetLoadUpdatesPerSecond, defaultFleetLoadUpdatesPerSecond)
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
	check   *checkState // nil when this balancer does not probe it
}

// report is what one prober last said.
type report struct {
	*wire.TargetHealth
	received     time.Time
	unassignedAt time.Time // when the prober ceased to be one; zero while it is one
}

// vouched reports whether the prober still probes the target.
func (r *report) fromCurrentProber() bool { return r.unassignedAt.IsZero() }

// setVouched starts or stops the age of a report.
func (r *report) setProberAssigned(now time.Time, assigned bool) {
	switch {
	case assigned:
		r.unassignedAt = time.Time{}
	case r.unassignedAt.IsZero():
		r.unassignedAt = now
	}
}

// Machine holds the health view of one balancer. It is not safe for concurrent use.
type Monitor struct {
	cfg              Config
	memberCount      int                    // in the view
	eligibleByPlace  map[string][]candidate // by place
	targets          map[string]*target
	targetNames      []string  // in order
	checkedTargets   []*target // probed by this balancer, in order
	nextExpiry       time.Time
	updateQueue      *gossip.Queue[*wire.TargetHealth]
	version          uint64
	loadUpdateTokens float64 // load updates that may be sent now
	lastRefill       time.Time
	reportsChanged   bool
	pushNeeded       bool
}

// New returns an empty health view.
func New(cfg Config) *Monitor {
	cfg.setDefaults()
	return &Monitor{
		cfg:         cfg,
		targets:     map[string]*target{},
		updateQueue: gossip.NewQueue[*wire.TargetHealth](),
		version:     cfg.FirstVersion,
	}
}

// SetTargets takes the targets of the configuration in force.
func (m *Monitor) SetTargets(now time.Time, targets []objects.Target) {
	old := m.targets
	m.targets = map[string]*target{}
	m.targetNames = m.targetNames[:0]
	for _, o := range targets {
		t := &target{Target: o, reports: map[string]*report{}}
		if previous := old[o.Name]; previous != nil && previous.Health == o.Health {
			t.reports, t.check = previous.reports, previous.check
		}
		m.targets[o.Name] = t
		m.targetNames = append(m.targetNames, o.Name)
	}
	slices.Sort(m.targetNames)
	m.assignProbers(now)
	m.reportsChanged = true
}

// SetView takes the live members, from which the probers are chosen.
func (m *Monitor) SetView(now time.Time, view coordination.View) {
	m.memberCount = len(view.Members)
	m.eligibleByPlace = map[string][]candidate{}
	for _, member := range view.Members {
		if member.Leaving {
			continue
		}
		c := candidate{vm: member.VM, hash: xxhash.Sum64String(member.VM)}
		m.eligibleByPlace[member.Place] = append(m.eligibleByPlace[member.Place], c)
		m.eligibleByPlace[allPlaces] = append(m.eligibleByPlace[allPlaces], c)
	}
	m.assignProbers(now)
}

// anyPlace is the key of all members; no place has an empty name.
const allPlaces = ""

// candidate is a member that can probe targets.
type candidate struct {
	vm   string
	hash uint64
}

// assign chooses the probers of each target. Reports of others age from now on.
func (m *Monitor) assignProbers(now time.Time) {
	m.checkedTargets = m.checkedTargets[:0]
	for _, name := range m.targetNames {
		t := m.targets[name]
		t.probers = m.selectProbers(t)
		for vm, r := range t.reports {
			r.setProberAssigned(now, slices.Contains(t.probers, vm))
		}
		rank := slices.Index(t.probers, m.cfg.VM)
		if rank < 0 || t.Health == "" {
			t.check = nil
			continue
		}
		if t.check == nil {
			t.check = &checkState{nextCheck: now}
		}
		t.check.rank = rank
		m.checkedTargets = append(m.checkedTargets, t)
	}
}

// choose returns the first members of the target's place in rendezvous order.
// A place without members is probed from the other places.
func (m *Monitor) selectProbers(t *target) []string {
	candidates := m.eligibleByPlace[t.Place]
	if len(candidates) == 0 {
		candidates = m.eligibleByPlace[allPlaces]
	}
	targetHash := xxhash.Sum64String(t.Name)
	var probers []string
	var weights []uint64
	for _, c := range candidates {
		weight := state.Mix(targetHash^c.hash, 0)
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
func (m *Monitor) ConsumeReportsChanged() bool {
	changed := m.reportsChanged
	m.reportsChanged = false
	return changed
}

// Urgent reports whether news since the last call must not wait for the next probe.
func (m *Monitor) ConsumePushNeeded() bool {
	needed := m.pushNeeded
	m.pushNeeded = false
	return needed
}
