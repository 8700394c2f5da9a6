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
	IdleShare float64
	// Schedule names the changes and failures; see Schedules.
	Schedule string
	// Kill lists balancers, by number, that die at once at the first change.
	Kill []int
}

// BrokenResult is what one run of the broken-flows measure saw.
type BrokenResult struct {
	Result
	Active       int
	BrokenActive int
	Idle         int
	BrokenIdle   int
	// OffChoice are established flows whose target is not the choice of the table.
	OffChoice int
	// Unopened are flows that were never established before the first change.
	Unopened int
}

// PerTenThousand returns broken flows for each 10,000 established ones.
func (r BrokenResult) PerTenThousand() float64 {
	if r.Active+r.Idle == 0 {
		return 0
	}
	return float64(r.BrokenActive+r.BrokenIdle) * 10000 / float64(r.Active+r.Idle)
}

const (
	activeInterval = time.Second
	idleInterval   = 20 * time.Second
	// firstChange leaves time for all feeds to be established.
	firstChange = 15 * time.Second
	// settle is the time after the last change in which each idle feed sends at least once and gives up if it is broken.
	settle = 40 * time.Second
)

// change is one step of a schedule.
type change struct {
	after time.Duration
	apply func(*network) error
}

// Schedules are the fixed sequences of changes and failures, by name.
var Schedules = map[string][]change{
	"none":      nil,
	"leave":     {{0, leaveOne}},
	"join":      {{0, joinOne}},
	"replace":   {{0, joinOne}, {4 * time.Second, leaveOne}},
	"drain":     {{0, drainOne}},
	"add":       {{0, addTwo}},
	"weight":    {{0, weighOne}},
	"two":       {{0, leaveOne}, {100 * time.Millisecond, drainOne}},
	"kill-one":  {{0, killFirst}},
	"kill-busy": {{0, killBusiest}},
	// kill-deciders is for the bounds table; the kill-two row of the broken table includes it.
	"kill-deciders": {{0, killDeciders}},
	"mixed": {
		{0, drainOne}, {2 * time.Second, leaveOne}, {6 * time.Second, joinOne}, {10 * time.Second, addTwo},
		{10 * time.Second, weighOne}, {16 * time.Second, killBusiest}, {24 * time.Second, joinOne},
		{30 * time.Second, killFirst}, {30 * time.Second, addTwo},
	},
}

// ScheduleNames lists the schedules in the order of the tables.
var ScheduleNames = []string{
	"none", "leave", "join", "replace", "drain", "add", "weight", "two", "kill-one", "kill-busy", "mixed",
}

func leaveOne(n *network) error {
	n.leave(n.liveBalancer(1))
	return nil
}

func joinOne(n *network) error {
	n.join()
	return nil
}

func killFirst(n *network) error {
	n.kill(n.liveBalancer(0))
	return nil
}

func killBusiest(n *network) error {
	n.kill(n.busiestDecider())
	return nil
}

// killDeciders kills the owner and the backup of most flows at once.
func killDeciders(n *network) error {
	owner, backup := n.busiestDecider(), n.busiestBackup()
	n.kill(owner)
	n.kill(backup)
	return nil
}

func drainOne(n *network) error {
	return n.publish(func(s *objects.Set) { s.Targets[3].Drain = true })
}

func weighOne(n *network) error {
	return n.publish(func(s *objects.Set) { s.Targets[5].Weight = 50 })
}

func addTwo(n *network) error {
	return n.publish(func(s *objects.Set) {
		first := len(s.Targets)
		s.Targets = append(s.Targets, target(*s, poolName, 1, first), target(*s, poolName, 1, first+1))
	})
}

// liveBalancer returns the i-th balancer that is neither dead nor leaving.
func (n *network) liveBalancer(i int) *balancer {
	for _, b := range n.balancers {
		if !b.up || b.leaving {
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
	set := newSet(workload{protocol: o.Protocol, preference: o.Preference, slots: 3})
	n, err := newNetwork(o.Options, set)
	if err != nil {
		return BrokenResult{}, err
	}
	var feeds []*connection
	for i := range o.Flows {
		idle := float64(i) < o.IdleShare*float64(o.Flows)
		interval := activeInterval
		if idle {
			interval = idleInterval
		}
		n.after(n.within(4*time.Second, 10*time.Second), func() {
			feeds = append(feeds, n.startFeed(serviceName, interval, idle))
		})
	}
	for _, i := range o.Kill {
		n.after(firstChange, func() { n.kill(n.balancers[i]) })
	}
	last := time.Duration(0)
	var failure error
	for _, c := range Schedules[o.Schedule] {
		last = max(last, c.after)
		n.after(firstChange+c.after, func() {
			if err := c.apply(n); err != nil {
				failure = err
			}
		})
	}
	n.runUntil(firstChange - time.Millisecond)
	established := map[*connection]bool{}
	for _, c := range feeds {
		established[c] = c.established && !c.broken
	}
	offChoice := n.offChoice()
	n.runUntil(firstChange + last + settle)
	r := n.brokenResult(feeds, established)
	r.OffChoice = offChoice
	return r, failure
}

func (n *network) brokenResult(feeds []*connection, established map[*connection]bool) BrokenResult {
	r := BrokenResult{Result: n.result}
	for _, c := range feeds {
		switch {
		case !established[c]:
			r.Unopened++
		case c.idle:
			r.Idle++
			r.BrokenIdle += count(c.broken)
		default:
			r.Active++
			r.BrokenActive += count(c.broken)
		}
	}
	return r
}

func count(b bool) int {
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
			o.Kill = []int{first, second}
			r, err := Broken(o)
			if err != nil {
				return BrokenResult{}, err
			}
			if first+second == 1 || r.PerTenThousand() > worst.PerTenThousand() {
				worst = r
			}
		}
	}
	return worst, nil
}
