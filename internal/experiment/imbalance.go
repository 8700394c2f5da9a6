package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// ImbalanceOptions are the parameters of one run of the imbalance experiment.
type ImbalanceOptions struct {
	Options
	Protocol       objects.Protocol
	Preference     objects.Preference
	SlotsPerTarget uint32
	// SlotUtilization is the offered load of requests as a fraction of all slots.
	SlotUtilization     float64
	Feeds               int
	MeanRequestDuration time.Duration
	// MeasurementTime is how long the run is measured after all feeds have been started.
	MeasurementTime time.Duration
}

// ImbalanceResult is the result of one run of the imbalance experiment.
type ImbalanceResult struct {
	Result
	// OpenFlowsMaxToMean is the ratio of maximum to mean open flows per target, averaged
	// over one sample a second.
	OpenFlowsMaxToMean float64
	// BusySlotsMaxToMean is the ratio of maximum to mean busy slots per target. The
	// running requests are averaged over windows of 100 mean request durations, and the
	// ratio over all windows but the first.
	BusySlotsMaxToMean float64
	// FirstWindowBusySlotsMaxToMean is the same ratio for the first window, which
	// begins when the last feed opens. The balancers still count new feeds as running
	// requests then.
	FirstWindowBusySlotsMaxToMean float64
	BrokenFlows                   int
	// Feeds is the number of open feeds, and OffRendezvous the number of those at a
	// target other than their rendezvous target.
	Feeds         int
	OffRendezvous int
}

const (
	imbalanceWarmUpTime = 5 * time.Second
	feedStartPeriod     = 10 * time.Second
	sampleInterval      = 10 * time.Millisecond
	// windowRequestDurations is the length of a window in mean request durations.
	windowRequestDurations = 100
)

// Imbalance measures how evenly a mix of long and short flows is distributed over the targets.
func Imbalance(o ImbalanceOptions) (ImbalanceResult, error) {
	set := newSet(workload{protocol: o.Protocol, preference: o.Preference, slotsPerTarget: o.SlotsPerTarget})
	n, err := newNetwork(o.Options, set)
	if err != nil {
		return ImbalanceResult{}, err
	}
	for range o.Feeds {
		n.after(n.uniform(imbalanceWarmUpTime, imbalanceWarmUpTime+feedStartPeriod), func() {
			n.startFeed(serviceName, 2*time.Second, n.random.IntN(5) == 0)
		})
	}
	meanInterarrivalTime := time.Duration(float64(o.MeanRequestDuration) / (o.SlotUtilization * hostCount * float64(o.SlotsPerTarget)))
	var startNext func()
	startNext = func() {
		n.startRequest(serviceName, n.exponential(o.MeanRequestDuration))
		n.after(n.exponential(meanInterarrivalTime), startNext)
	}
	n.after(imbalanceWarmUpTime, startNext)
	measurementStart := imbalanceWarmUpTime + feedStartPeriod
	s := newSampler(n, windowRequestDurations*o.MeanRequestDuration)
	n.after(measurementStart, func() { n.every(sampleInterval, s.sample) })
	n.runUntil(measurementStart + o.MeasurementTime)
	r := ImbalanceResult{
		Result: n.result, OpenFlowsMaxToMean: s.openFlowsRatio.mean(), BusySlotsMaxToMean: s.busySlotsRatio.mean(),
		FirstWindowBusySlotsMaxToMean: s.firstWindowRatio,
	}
	r.OffRendezvous = n.countOffRendezvous()
	for _, c := range n.callers {
		r.BrokenFlows += boolToInt(c.broken)
		r.Feeds += boolToInt(c.isFeed && c.established && !c.broken)
	}
	return r, nil
}

// average is a running mean.
type average struct {
	sum   float64
	count int
}

func (a *average) add(v float64) {
	a.sum += v
	a.count++
}

func (a *average) mean() float64 {
	if a.count == 0 {
		return 0
	}
	return a.sum / float64(a.count)
}

// sampler collects the ratios of maximum to mean for open flows and for busy slots.
type sampler struct {
	net              *network
	hosts            []*host
	samplesPerWindow int
	sampleCount      int
	runningSums      []float64
	openFlowsRatio   average
	busySlotsRatio   average
	// firstWindowRatio is the ratio of busy slots in the first window.
	firstWindowRatio float64
}

func newSampler(n *network, window time.Duration) *sampler {
	hosts := n.hostsOf(n.serviceEndpoints[serviceName])
	return &sampler{
		net: n, hosts: hosts, samplesPerWindow: max(1, int(window/sampleInterval)), runningSums: make([]float64, len(hosts)),
	}
}

func (s *sampler) sample() {
	s.sampleCount++
	for i, h := range s.hosts {
		s.runningSums[i] += float64(h.runningRequests)
	}
	if s.sampleCount%int(time.Second/sampleInterval) == 0 {
		s.openFlowsRatio.add(maxToMean(s.countOpenFlows()))
	}
	if s.sampleCount%s.samplesPerWindow != 0 {
		return
	}
	if s.sampleCount == s.samplesPerWindow {
		s.firstWindowRatio = maxToMean(s.runningSums)
	} else {
		s.busySlotsRatio.add(maxToMean(s.runningSums))
	}
	clear(s.runningSums)
}

func (s *sampler) countOpenFlows() []float64 {
	open := make([]float64, len(s.hosts))
	for i, h := range s.hosts {
		for _, se := range h.sessions {
			if !se.closed {
				open[i]++
			}
		}
	}
	return open
}

func maxToMean(values []float64) float64 {
	sum, highest := 0.0, 0.0
	for _, v := range values {
		sum += v
		highest = max(highest, v)
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(len(values)) / sum
}
