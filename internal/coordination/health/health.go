// Package health tracks the health and load of targets from this balancer's own
// health checks and from the reports of other balancers. It does no I/O and reads
// no clock: the current time, check results and reports are arguments.
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

// Config holds the parameters of a Monitor. Unset parameters get defaults.
type Config struct {
	VM    string
	Place string
	// FirstVersion is the number from which report versions count up. It must
	// exceed every version that an earlier process on the same VM published. A
	// value derived from the Unix time at process start is suitable.
	FirstVersion uint64

	// ProbersPerTarget is the number of balancers that health-check a target.
	// They are chosen from the target's place.
	ProbersPerTarget int
	// CheckInterval is the time between two checks of a target by one balancer.
	CheckInterval time.Duration
	// MaxChecksPerSecond limits the checks of one balancer. With many targets the
	// check interval grows to stay within the limit.
	MaxChecksPerSecond float64
	// RetryInterval replaces CheckInterval after a result that contradicts the
	// published health.
	RetryInterval time.Duration
	// UnhealthyThreshold and HealthyThreshold are the numbers of consecutive failed
	// and successful checks that change the published health.
	UnhealthyThreshold int
	HealthyThreshold   int
	// LoadMaxAge is the age from which a reported load is ignored.
	LoadMaxAge time.Duration
	// FormerProberRetention is how long the report of a balancer is kept after it
	// stopped being a prober of the target.
	FormerProberRetention time.Duration
	// FleetLoadUpdatesPerSecond limits the load changes that all balancers together
	// publish.
	FleetLoadUpdatesPerSecond float64
}

const (
	defaultProbersPerTarget = 2
	// Two probers that alternate detect a drain signal within 1 s, which leaves
	// 2 s to propagate it. The checks cost about 140 bytes per second and target.
	defaultCheckInterval         = 2 * time.Second
	defaultRetryInterval         = 500 * time.Millisecond
	defaultUnhealthyThreshold    = 3
	defaultHealthyThreshold      = 2
	defaultLoadMaxAge            = 90 * time.Second
	defaultFormerProberRetention = 10 * time.Second
	// One check takes about 250 bytes. At the design scale each balancer checks 12.5
	// targets on average. The limit then stretches the check interval to 5 s, so that
	// two probers detect a drain signal within 2.5 s.
	defaultMaxChecksPerSecond = 2.5
	// One update costs each member about 300 bytes, sent and received together.
	defaultFleetLoadUpdatesPerSecond = 0.5
)

const (
	// minLoadChangePermille is the smallest load change that is published.
	minLoadChangePermille = 150
	// minReportedLoadPermille is the lowest load that is reported. Lower loads do
	// not affect the weight of a target and are reported as 0.
	minReportedLoadPermille = 500
	// loadSmoothingFactor is the weight of a new sample in the exponential moving
	// average. With few slots, the load in a single sample differs widely from the average.
	loadSmoothingFactor = 0.25
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

// Check is a health check to run against one target.
type Check struct {
	Target string
	// Address is the address:port of the target's health endpoint.
	Address string
}

// Result is the outcome of a health check. OK is false when the health endpoint
// gave no usable response.
type Result struct {
	OK        bool
	Healthy   bool
	Draining  bool
	Shedding  bool
	BusySlots int
	Slots     int
}

// target is a configured target with the latest report of each prober.
type target struct {
	objects.Target
	probers []string           // VM names, ordered by rank
	reports map[string]*report // by VM name of the prober
	check   *checkState        // nil if this balancer does not check the target
}

// report is the latest report of one prober.
type report struct {
	*wire.TargetHealth
	received     time.Time
	unassignedAt time.Time // when the prober stopped being assigned to the target; zero while it is
}

// fromCurrentProber reports whether the prober is still assigned to the target.
func (r *report) fromCurrentProber() bool { return r.unassignedAt.IsZero() }

// setProberAssigned records whether the prober is assigned to the target. The
// retention of a report starts when its prober is first found unassigned.
func (r *report) setProberAssigned(now time.Time, assigned bool) {
	switch {
	case assigned:
		r.unassignedAt = time.Time{}
	case r.unassignedAt.IsZero():
		r.unassignedAt = now
	}
}

// Monitor holds the health view of one balancer. It is not safe for concurrent use.
type Monitor struct {
	cfg              Config
	memberCount      int // of the membership view
	eligibleByPlace  map[string][]candidate
	targets          map[string]*target
	targetNames      []string  // sorted
	checkedTargets   []*target // checked by this balancer, sorted by name
	nextExpiry       time.Time
	updateQueue      *gossip.Queue[*wire.TargetHealth]
	version          uint64  // of this balancer's latest report
	loadUpdateTokens float64 // token bucket: load updates that may be published now
	lastRefill       time.Time
	reportsChanged   bool
	pushNeeded       bool
}

// New returns a Monitor without targets.
func New(cfg Config) *Monitor {
	cfg.setDefaults()
	return &Monitor{
		cfg:         cfg,
		targets:     map[string]*target{},
		updateQueue: gossip.NewQueue[*wire.TargetHealth](),
		version:     cfg.FirstVersion,
	}
}

// SetTargets replaces the targets with those of the configuration in force. A
// target whose health endpoint is unchanged keeps its reports.
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

// SetView replaces the membership view from which the probers are selected.
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

// allPlaces is the key in eligibleByPlace of the members of every place. No place
// has an empty name.
const allPlaces = ""

// candidate is a member that can be selected as a prober.
type candidate struct {
	vm   string
	hash uint64
}

// assignProbers selects the probers of each target. For the reports of balancers
// that are no longer among them, FormerProberRetention starts.
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

// selectProbers returns the members of the target's place with the highest
// rendezvous hash weights. If the place has no eligible member, it selects among
// the members of all places.
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

// ConsumeReportsChanged reports whether the result of Reports changed since the
// last call, and resets the flag.
func (m *Monitor) ConsumeReportsChanged() bool {
	changed := m.reportsChanged
	m.reportsChanged = false
	return changed
}

// ConsumePushNeeded reports whether a report since the last call must be pushed
// at once rather than piggybacked on the next probe, and resets the flag.
func (m *Monitor) ConsumePushNeeded() bool {
	needed := m.pushNeeded
	m.pushNeeded = false
	return needed
}
