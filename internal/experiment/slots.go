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
	Preference     objects.Preference
	SlotsPerTarget uint32
	// Busy is the offered load as a share of all slots.
	SlotUtilization float64
	Requests        int
	// Work is the mean time that a request holds a slot; times are exponential.
	MeanRequestDuration time.Duration
	// KillDecider stops the balancer that admitted most flows in the middle of the run.
	KillOwner bool
	// ReportLag, unless 0, gives the balancers load reports of that age.
	ReportDelay time.Duration
}

// SlotsResult is what one run of the slots measure saw.
type SlotsResult struct {
	Result
	Requests int
	// FullHits are requests that met a target with all slots busy while another had one free.
	AvoidableWaits int
	Unanswered     int
	// BusiestOverMean compares the requests of the busiest target with the mean.
	RequestsMaxToMean float64
}

const loadReportInterval = 500 * time.Millisecond

// Slots measures how often a request meets a full target while another has a free slot.
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
	// Starts after the hold-off that follows the start of the fleet.
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

// busiestDecider returns the live balancer that admitted most flows.
func (n *network) busiestOwner() *balancer {
	return n.busiest(func(b *balancer) int { return b.admittedFlows })
}

// busiestBackup returns the live balancer that received most packets as a backup.
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

// report gives every balancer the present load of the targets after lag.
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
