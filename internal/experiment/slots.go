package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// SlotsOptions are the parameters of one run of the slots measure.
type SlotsOptions struct {
	Options
	Protocol objects.Protocol
	// Preference is evenness unless it is set.
	Preference objects.Preference
	Slots      uint32
	// Busy is the offered load as a share of all slots.
	Busy     float64
	Requests int
	// Work is the mean time that a request holds a slot; times are exponential.
	Work time.Duration
	// KillDecider stops the balancer that admitted most flows in the middle of the run.
	KillDecider bool
	// ReportLag, unless 0, gives the balancers load reports of that age.
	ReportLag time.Duration
}

// SlotsResult is what one run of the slots measure saw.
type SlotsResult struct {
	Result
	Requests int
	// FullHits are requests that met a target with all slots busy while another had one free.
	FullHits   int
	Unanswered int
	// BusiestOverMean compares the requests of the busiest target with the mean.
	BusiestOverMean float64
}

const reportInterval = 500 * time.Millisecond

// Slots measures how often a request meets a full target while another has a free slot.
func Slots(o SlotsOptions) (SlotsResult, error) {
	if o.Preference == "" {
		o.Preference = objects.PreferenceEvenness
	}
	set := newSet(workload{protocol: o.Protocol, preference: o.Preference, slots: o.Slots})
	n, err := newNetwork(o.Options, set)
	if err != nil {
		return SlotsResult{}, err
	}
	rate := o.Busy * hostCount * float64(o.Slots) / o.Work.Seconds()
	gap := time.Duration(float64(time.Second) / rate)
	started := 0
	var next func()
	next = func() {
		if started == o.Requests {
			return
		}
		started++
		n.startRequest(serviceName, n.exponential(o.Work))
		n.after(n.exponential(gap), next)
	}
	// Starts after the hold-off that follows the start of the fleet.
	const warmUp = 5 * time.Second
	n.after(warmUp, next)
	length := gap * time.Duration(o.Requests)
	if o.KillDecider {
		n.after(warmUp+length/2, func() { n.kill(n.busiestDecider()) })
	}
	if o.ReportLag > 0 {
		n.every(reportInterval, func() { n.report(o.ReportLag) })
	}
	n.runUntil(warmUp + length + 30*time.Second)
	return n.slotsResult(), nil
}

func (n *network) slotsResult() SlotsResult {
	r := SlotsResult{Result: n.result}
	busiest := 0
	for _, h := range n.hostsOf(n.service[serviceName]) {
		r.Requests += h.requests
		r.FullHits += h.fullHits
		busiest = max(busiest, h.requests)
	}
	for _, c := range n.callers {
		if !c.answered && !c.notRun {
			r.Unanswered++
		}
	}
	if r.Requests > 0 {
		r.BusiestOverMean = float64(busiest) * hostCount / float64(r.Requests)
	}
	return r
}

// busiestDecider returns the live balancer that admitted most flows.
func (n *network) busiestDecider() *balancer {
	return n.busiest(func(b *balancer) int { return b.admitted })
}

// busiestBackup returns the live balancer that received most packets as a backup.
func (n *network) busiestBackup() *balancer {
	return n.busiest(func(b *balancer) int { return b.copies })
}

func (n *network) busiest(count func(*balancer) int) *balancer {
	var most *balancer
	for _, b := range n.balancers {
		if b.up && (most == nil || count(b) > count(most)) {
			most = b
		}
	}
	return most
}

// report gives every balancer the present load of the targets after lag.
func (n *network) report(lag time.Duration) {
	var reports []coordination.TargetReport
	for i, h := range n.hostsOf(n.service[serviceName]) {
		reports = append(reports, coordination.TargetReport{
			Target: n.set.Targets[i].Name, Healthy: true,
			LoadPermille: uint32(1000 * h.running / h.slots),
		})
	}
	n.after(lag, func() {
		for _, b := range n.balancers {
			if b.up {
				b.core.SetReports(n.now, reports)
			}
		}
	})
}
