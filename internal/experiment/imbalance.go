package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// ImbalanceOptions are the parameters of one run of the imbalance measure.
type ImbalanceOptions struct {
	Options
	Protocol            objects.Protocol
	Preference          objects.Preference
	SlotsPerTarget      uint32
	SlotUtilization     float64
	Feeds               int
	MeanRequestDuration time.Duration
	// Length is the measured time after the feeds are open.
	MeasurementTime time.Duration
}

// ImbalanceResult is what one run of the imbalance measure saw. The ratios are
// means over samples of one a second.
type ImbalanceResult struct {
	Result
	// OpenFlows is highest over mean of open flows per target.
	OpenFlowsMaxToMean float64
	// BusySlots is highest over mean of busy slots per target, from the running requests
	// averaged over windows of 100 mean service times, without the first window.
	BusySlotsMaxToMean float64
	// BusyAfterOpening is the same for the first window, which begins when the last feed
	// opens. The young feeds still look like running requests then.
	FirstWindowBusySlotsMaxToMean float64
	BrokenFlows                   int
	// Feeds and OffChoice are the open feeds and those whose target is not the choice of the table.
	Feeds         int
	OffRendezvous int
}

const (
	imbalanceWarmUpTime = 5 * time.Second
	feedStartPeriod     = 10 * time.Second
	sampleInterval      = 10 * time.Millisecond
	// windowServiceTimes is the length of a window in mean service times.
	windowRequestDurations = 100
)

// Imbalance measures how evenly mixed long and short flows spread over the targets.
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
	r := ImbalanceResult{Result: n.result, OpenFlowsMaxToMean: s.openFlowsRatio.mean(), BusySlotsMaxToMean: s.busySlotsRatio.mean(), FirstWindowBusySlotsMaxToMean: s.firstWindowRatio}
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

// sampler collects highest over mean of open flows and of busy slots.
type sampler struct {
	net              *network
	hosts            []*host
	samplesPerWindow int // samples in one window
	sampleCount      int
	runningSums      []float64
	openFlowsRatio   average
	busySlotsRatio   average
	// afterOpening is the ratio of busy slots in the first window.
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
