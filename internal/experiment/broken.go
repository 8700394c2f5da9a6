package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// BrokenOptions are the parameters of one run of the broken-flows measure.
type BrokenOptions struct {
	Options
	Protocol   objects.Protocol
	Preference objects.Preference
	Flows      int
	// IdleShare is the share of feeds that carry only a keep-alive every IdleInterval.
	IdleFeedShare float64
	// Schedule names the changes and failures; see Schedules.
	Schedule string
	// Kill lists balancers, by number, that die at once at the first change.
	KillBalancers []int
}

// BrokenResult is what one run of the broken-flows measure saw.
type BrokenResult struct {
	Result
	Active       int
	BrokenActive int
	Idle         int
	BrokenIdle   int
	// OffChoice are established flows whose target is not the choice of the table.
	OffRendezvous int
	// Unopened are flows that were never established before the first change.
	NotEstablished int
}

// PerTenThousand returns broken flows for each 10,000 established ones.
func (r BrokenResult) BrokenPerTenThousand() float64 {
	if r.Active+r.Idle == 0 {
		return 0
	}
	return float64(r.BrokenActive+r.BrokenIdle) * 10000 / float64(r.Active+r.Idle)
}

const (
	activeFeedInterval = time.Second
	idleFeedInterval   = 20 * time.Second
	// firstChange leaves time for all feeds to be established.
	firstChangeTime = 15 * time.Second
	// settle is the time after the last change in which each idle feed sends at least once and gives up if it is broken.
	settleTime = 40 * time.Second
)

// change is one step of a schedule.
type scheduleStep struct {
	after time.Duration
	apply func(*network) error
}

// Schedules are the fixed sequences of changes and failures, by name.
var Schedules = map[string][]scheduleStep{
	"none":      nil,
	"leave":     {{0, removeOneBalancer}},
	"join":      {{0, joinOneBalancer}},
	"replace":   {{0, joinOneBalancer}, {4 * time.Second, removeOneBalancer}},
	"drain":     {{0, drainOneTarget}},
	"add":       {{0, addTwoTargets}},
	"weight":    {{0, changeOneWeight}},
	"two":       {{0, removeOneBalancer}, {100 * time.Millisecond, drainOneTarget}},
	"kill-one":  {{0, killFirstBalancer}},
	"kill-busy": {{0, killBusiestOwner}},
	// kill-deciders is for the bounds table; the kill-two row of the broken table includes it.
	"kill-deciders": {{0, killOwnerAndBackup}},
	"mixed": {
		{0, drainOneTarget}, {2 * time.Second, removeOneBalancer}, {6 * time.Second, joinOneBalancer}, {10 * time.Second, addTwoTargets},
		{10 * time.Second, changeOneWeight}, {16 * time.Second, killBusiestOwner}, {24 * time.Second, joinOneBalancer},
		{30 * time.Second, killFirstBalancer}, {30 * time.Second, addTwoTargets},
	},
}

// ScheduleNames lists the schedules in the order of the tables.
var ScheduleNames = []string{
	"none", "leave", "join", "replace", "drain", "add", "weight", "two", "kill-one", "kill-busy", "mixed",
}

func removeOneBalancer(n *network) error {
	n.removeGracefully(n.liveBalancer(1))
	return nil
}

func joinOneBalancer(n *network) error {
	n.joinBalancer()
	return nil
}

func killFirstBalancer(n *network) error {
	n.kill(n.liveBalancer(0))
	return nil
}

func killBusiestOwner(n *network) error {
	n.kill(n.busiestOwner())
	return nil
}

// killDeciders kills the owner and the backup of most flows at once.
func killOwnerAndBackup(n *network) error {
	owner, backup := n.busiestOwner(), n.busiestBackup()
	n.kill(owner)
	n.kill(backup)
	return nil
}

func drainOneTarget(n *network) error {
	return n.publishConfiguration(func(s *objects.Set) { s.Targets[3].Drain = true })
}

func changeOneWeight(n *network) error {
	return n.publishConfiguration(func(s *objects.Set) { s.Targets[5].Weight = 50 })
}

func addTwoTargets(n *network) error {
	return n.publishConfiguration(func(s *objects.Set) {
		first := len(s.Targets)
		s.Targets = append(s.Targets, newTarget(*s, poolName, 1, first), newTarget(*s, poolName, 1, first+1))
	})
}

// liveBalancer returns the i-th balancer that is neither dead nor leaving.
func (n *network) liveBalancer(i int) *balancer {
	for _, b := range n.balancers {
		if !b.alive || b.leaving {
			continue
		}
		if i == 0 {
			return b
		}
		i--
	}
	panic("experiment: no live balancer is left")
}

// Broken measures established flows that break under a schedule of changes and failures.
func Broken(o BrokenOptions) (BrokenResult, error) {
	set := newSet(workload{protocol: o.Protocol, preference: o.Preference, slotsPerTarget: 3})
	n, err := newNetwork(o.Options, set)
	if err != nil {
		return BrokenResult{}, err
	}
	var feeds []*connection
	for i := range o.Flows {
		idle := float64(i) < o.IdleFeedShare*float64(o.Flows)
		interval := activeFeedInterval
		if idle {
			interval = idleFeedInterval
		}
		n.after(n.uniform(4*time.Second, 10*time.Second), func() {
			feeds = append(feeds, n.startFeed(serviceName, interval, idle))
		})
	}
	for _, i := range o.KillBalancers {
		n.after(firstChangeTime, func() { n.kill(n.balancers[i]) })
	}
	lastChange := time.Duration(0)
	var changeErr error
	for _, step := range Schedules[o.Schedule] {
		lastChange = max(lastChange, step.after)
		n.after(firstChangeTime+step.after, func() {
			if err := step.apply(n); err != nil {
				changeErr = err
			}
		})
	}
	n.runUntil(firstChangeTime - time.Millisecond)
	established := map[*connection]bool{}
	for _, c := range feeds {
		established[c] = c.established && !c.broken
	}
	offRendezvous := n.countOffRendezvous()
	n.runUntil(firstChangeTime + lastChange + settleTime)
	r := n.brokenResult(feeds, established)
	r.OffRendezvous = offRendezvous
	return r, changeErr
}

func (n *network) brokenResult(feeds []*connection, established map[*connection]bool) BrokenResult {
	r := BrokenResult{Result: n.result}
	for _, c := range feeds {
		switch {
		case !established[c]:
			r.NotEstablished++
		case c.idle:
			r.Idle++
			r.BrokenIdle += boolToInt(c.broken)
		default:
			r.Active++
			r.BrokenActive += boolToInt(c.broken)
		}
	}
	return r
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// BrokenWorstPair kills each pair of balancers at once, in runs of their own,
// and returns the run with most broken flows.
func BrokenWorstPair(o BrokenOptions) (BrokenResult, error) {
	var worst BrokenResult
	for first := range o.Balancers {
		for second := first + 1; second < o.Balancers; second++ {
			o.KillBalancers = []int{first, second}
			r, err := Broken(o)
			if err != nil {
				return BrokenResult{}, err
			}
			if first+second == 1 || r.BrokenPerTenThousand() > worst.BrokenPerTenThousand() {
				worst = r
			}
		}
	}
	return worst, nil
}
