package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// BrokenOptions are the parameters of one run of the experiment on broken flows.
// A feed is a long-lived flow on which the target sends updates.
type BrokenOptions struct {
	Options
	Protocol   objects.Protocol
	Preference objects.Preference
	Flows      int
	// IdleFeedShare is the fraction of the feeds that are idle: they carry only a
	// keep-alive of the caller every 20 s.
	IdleFeedShare float64
	// Schedule names the changes and failures; see Schedules.
	Schedule string
	// KillBalancers are the indexes of balancers that are all killed at the time of the first change.
	KillBalancers []int
}

// BrokenResult is the result of one run of the experiment on broken flows.
type BrokenResult struct {
	Result
	Active       int
	BrokenActive int
	Idle         int
	BrokenIdle   int
	// OffRendezvous is the number of established flows at a target other than their rendezvous target.
	OffRendezvous int
	// NotEstablished is the number of flows that were not established before the first change.
	NotEstablished int
}

// BrokenPerTenThousand returns the number of broken flows per 10,000 established flows.
func (r BrokenResult) BrokenPerTenThousand() float64 {
	if r.Active+r.Idle == 0 {
		return 0
	}
	return float64(r.BrokenActive+r.BrokenIdle) * 10000 / float64(r.Active+r.Idle)
}

const (
	activeFeedInterval = time.Second
	idleFeedInterval   = 20 * time.Second
	// firstChangeTime is late enough for all feeds to be established.
	firstChangeTime = 15 * time.Second
	// settleTime is how long a run continues after the last change. Within it each idle
	// feed sends at least one keep-alive, and a broken one exhausts its retries.
	settleTime = 40 * time.Second
)

// scheduleStep is a change or failure. It happens at firstChangeTime plus after.
type scheduleStep struct {
	after time.Duration
	apply func(*network) error
}

// Schedules maps the name of each schedule to its changes and failures.
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
	// kill-deciders is used by the table of load bounds only. The kill-two row of the
	// table of broken flows covers it.
	"kill-deciders": {{0, killOwnerAndBackup}},
	"mixed": {
		{0, drainOneTarget}, {2 * time.Second, removeOneBalancer}, {6 * time.Second, joinOneBalancer}, {10 * time.Second, addTwoTargets},
		{10 * time.Second, changeOneWeight}, {16 * time.Second, killBusiestOwner}, {24 * time.Second, joinOneBalancer},
		{30 * time.Second, killFirstBalancer}, {30 * time.Second, addTwoTargets},
	},
}

// ScheduleNames are the names of the schedules in the order of the table rows.
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

// killOwnerAndBackup kills the owner and the backup of most flows at the same time.
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

// liveBalancer returns the balancer with index i among those that are neither dead nor leaving.
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
	panic("experiment: too few live balancers for the requested index")
}

// Broken counts the established flows that break during a schedule of changes and failures.
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

// BrokenWorstPair runs the experiment once for each pair of balancers, with both
// killed at the same time, and returns the result with the most broken flows.
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
