package experiment

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// ImbalanceOptions are the parameters of one run of the imbalance measure.
type ImbalanceOptions struct {
	Options
	Protocol   objects.Protocol
	Preference objects.Preference
	Slots      uint32
	Busy       float64
	Feeds      int
	Work       time.Duration
	// Length is the measured time after the feeds are open.
	Length time.Duration
}

// ImbalanceResult is what one run of the imbalance measure saw. The ratios are
// means over samples of one a second.
type ImbalanceResult struct {
	Result
	// OpenFlows is highest over mean of open flows per target.
	OpenFlows float64
	// BusySlots is highest over mean of busy slots per target, from the running requests
	// averaged over windows of 100 mean service times, without the first window.
	BusySlots float64
	// BusyAfterOpening is the same for the first window, which begins when the last feed
	// opens. The young feeds still look like running requests then.
	BusyAfterOpening float64
	Broken           int
	// Feeds and OffChoice are the open feeds and those whose target is not the choice of the table.
	Feeds     int
	OffChoice int
}

const (
	imbalanceWarmUp = 5 * time.Second
	feedSpread      = 10 * time.Second
	sampleInterval  = 10 * time.Millisecond
	// windowServiceTimes is the length of a window in mean service times.
	windowServiceTimes = 100
)

// Imbalance measures how evenly mixed long and short flows spread over the targets.
func Imbalance(o ImbalanceOptions) (ImbalanceResult, error) {
	set := newSet(workload{protocol: o.Protocol, preference: o.Preference, slots: o.Slots})
	n, err := newNetwork(o.Options, set)
	if err != nil {
		return ImbalanceResult{}, err
	}
	for range o.Feeds {
		n.after(n.within(imbalanceWarmUp, imbalanceWarmUp+feedSpread), func() {
			n.startFeed(serviceName, 2*time.Second, n.random.IntN(5) == 0)
		})
	}
	gap := time.Duration(float64(o.Work) / (o.Busy * hostCount * float64(o.Slots)))
	var next func()
	next = func() {
		n.startRequest(serviceName, n.exponential(o.Work))
		n.after(n.exponential(gap), next)
	}
	n.after(imbalanceWarmUp, next)
	begin := imbalanceWarmUp + feedSpread
	s := newSampler(n, windowServiceTimes*o.Work)
	n.after(begin, func() { n.every(sampleInterval, s.sample) })
	n.runUntil(begin + o.Length)
	r := ImbalanceResult{Result: n.result, OpenFlows: s.open.mean(), BusySlots: s.busy.mean(), BusyAfterOpening: s.afterOpening}
	r.OffChoice = n.offChoice()
	for _, c := range n.callers {
		r.Broken += count(c.broken)
		r.Feeds += count(c.feed && c.established && !c.broken)
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
	net     *network
	hosts   []*host
	window  int // samples in one window
	samples int
	busySum []float64
	open    average
	busy    average
	// afterOpening is the ratio of busy slots in the first window.
	afterOpening float64
}

func newSampler(n *network, window time.Duration) *sampler {
	hosts := n.hostsOf(n.service[serviceName])
	return &sampler{
		net: n, hosts: hosts, window: max(1, int(window/sampleInterval)), busySum: make([]float64, len(hosts)),
	}
}

func (s *sampler) sample() {
	s.samples++
	for i, h := range s.hosts {
		s.busySum[i] += float64(h.running)
	}
	if s.samples%int(time.Second/sampleInterval) == 0 {
		s.open.add(highestOverMean(s.openFlows()))
	}
	if s.samples%s.window != 0 {
		return
	}
	if s.samples == s.window {
		s.afterOpening = highestOverMean(s.busySum)
	} else {
		s.busy.add(highestOverMean(s.busySum))
	}
	clear(s.busySum)
}

func (s *sampler) openFlows() []float64 {
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

func highestOverMean(values []float64) float64 {
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
