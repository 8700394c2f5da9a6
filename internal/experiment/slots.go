package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// SlotsOptions are the parameters of one run of the slots experiment.
type SlotsOptions struct {
	Options
	Protocol objects.Protocol
	// Preference defaults to evenness.
	Preference     objects.Preference
	SlotsPerTarget uint32
	// SlotUtilization is the offered load as a fraction of all slots.
	SlotUtilization float64
	Requests        int
	// MeanRequestDuration is the mean time that a request holds a slot. The durations
	// are exponentially distributed.
	MeanRequestDuration time.Duration
	// KillOwner kills the balancer that admitted the most flows, in the middle of the run.
	KillOwner bool
	// ReportDelay, unless 0, enables load reports of the targets, which reach the
	// balancers after this delay.
	ReportDelay time.Duration
}

// SlotsResult is the result of one run of the slots experiment.
type SlotsResult struct {
	Result
	Requests int
	// AvoidableWaits is the number of requests that were queued at a target without a
	// free slot although another target had one.
	AvoidableWaits int
	Unanswered     int
	// RequestsMaxToMean is the ratio of maximum to mean requests per target.
	RequestsMaxToMean float64
}

const loadReportInterval = 500 * time.Millisecond

// Slots measures how often a request is sent to a target without a free slot although
// another target has one.
func Slots(o SlotsOptions) (SlotsResult, error) {
	if o.Preference == "" {
		o.Preference = objects.PreferenceEvenness
	}
	set := newSet(workload{protocol: o.Protocol, preference: o.Preference, slotsPerTarget: o.SlotsPerTarget})
	n, err := newNetwork(o.Options, set)
	if err != nil {
		return SlotsResult{}, err
	}
	requestRate := o.SlotUtilization * hostCount * float64(o.SlotsPerTarget) / o.MeanRequestDuration.Seconds()
	meanInterarrivalTime := time.Duration(float64(time.Second) / requestRate)
	started := 0
	var startNext func()
	startNext = func() {
		if started == o.Requests {
			return
		}
		started++
		n.startRequest(serviceName, n.exponential(o.MeanRequestDuration))
		n.after(n.exponential(meanInterarrivalTime), startNext)
	}
	// The load starts after the hold-off period at the start of the fleet, in which
	// balancers refuse no opener.
	const warmUpTime = 5 * time.Second
	n.after(warmUpTime, startNext)
	loadDuration := meanInterarrivalTime * time.Duration(o.Requests)
	if o.KillOwner {
		n.after(warmUpTime+loadDuration/2, func() { n.kill(n.busiestOwner()) })
	}
	if o.ReportDelay > 0 {
		n.every(loadReportInterval, func() { n.sendLoadReports(o.ReportDelay) })
	}
	n.runUntil(warmUpTime + loadDuration + 30*time.Second)
	return n.slotsResult(), nil
}

func (n *network) slotsResult() SlotsResult {
	r := SlotsResult{Result: n.result}
	busiest := 0
	for _, h := range n.hostsOf(n.serviceEndpoints[serviceName]) {
		r.Requests += h.requestCount
		r.AvoidableWaits += h.avoidableWaits
		busiest = max(busiest, h.requestCount)
	}
	for _, c := range n.callers {
		if !c.answered && !c.wasRefused {
			r.Unanswered++
		}
	}
	if r.Requests > 0 {
		r.RequestsMaxToMean = float64(busiest) * hostCount / float64(r.Requests)
	}
	return r
}

// busiestOwner returns the live balancer that admitted the most flows.
func (n *network) busiestOwner() *balancer {
	return n.busiest(func(b *balancer) int { return b.admittedFlows })
}

// busiestBackup returns the live balancer that received the most packets as a backup.
func (n *network) busiestBackup() *balancer {
	return n.busiest(func(b *balancer) int { return b.packetsAsBackup })
}

func (n *network) busiest(loadOf func(*balancer) int) *balancer {
	var most *balancer
	for _, b := range n.balancers {
		if b.alive && (most == nil || loadOf(b) > loadOf(most)) {
			most = b
		}
	}
	return most
}

// sendLoadReports delivers the current load of the targets to every live balancer after the delay.
func (n *network) sendLoadReports(delay time.Duration) {
	var reports []coordination.TargetReport
	for i, h := range n.hostsOf(n.serviceEndpoints[serviceName]) {
		reports = append(reports, coordination.TargetReport{
			Target: n.set.Targets[i].Name, Healthy: true,
			LoadPermille: uint32(1000 * h.runningRequests / h.slots),
		})
	}
	n.after(delay, func() {
		for _, b := range n.balancers {
			if b.alive {
				b.dispatcher.SetReports(n.now, reports)
			}
		}
	})
}
