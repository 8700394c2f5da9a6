package state

import (
	"math"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// failuresToSkip is how many openers in a row a target leaves unanswered or
	// resets before it is skipped. One may be a lost packet.
	failuresToSkip = 2
	// skipTime is how long a failing target is skipped before it is tried again.
	skipTime = 10 * time.Second
	// coldShare is the share of its weight that a target gets when its ramp starts.
	coldShare = 0.1
	// loadFloor bounds how far a reported load lowers a weight.
	loadFloor = 0.5
	// loadKnee is the reported load, in permille, above which a weight is lowered.
	loadKnee = 700
	// workMemory is the decay time of the recent work of a target. With 10 s, busy
	// slots took longer to even out after a surge of streams that look like requests.
	workMemory = 5 * time.Second
)

// Condition is what reports and the view say about a target.
type Condition struct {
	Unhealthy    bool
	Shedding     bool
	Draining     bool
	Unreachable  bool
	LoadPermille uint32
}

// Load holds an owner's counts for one target.
type Load struct {
	// Open is the number of open flows.
	Open int
	// Runs is the number of flows that look like a running request.
	Runs      int
	Condition Condition

	// waiting is the number of running requests whose response did not begin.
	waiting int
	// work is the decayed sum of the lengths of ended requests, in seconds, at workAt.
	work   float64
	workAt time.Time

	failures  int
	failedAt  time.Time
	rampFrom  time.Time
	ramping   bool
	rampWhole time.Duration
}

// addWork counts a request that ended.
func (l *Load) addWork(now time.Time, length time.Duration) {
	l.work = l.recentWork(now) + length.Seconds()
	l.workAt = now
}

// recentWork is the decayed sum of the lengths of ended requests, in seconds.
func (l *Load) recentWork(now time.Time) float64 {
	if l.work == 0 {
		return 0
	}
	return l.work * math.Exp(-now.Sub(l.workAt).Seconds()/workMemory.Seconds())
}

// Failed notes an opener that the target left unanswered or reset.
func (l *Load) Failed(now time.Time) {
	l.failures++
	l.failedAt = now
}

// Answered notes an answered opener. A target that was skipped starts its ramp.
func (l *Load) Answered(now time.Time) {
	if l.failures >= failuresToSkip {
		l.startRamp(now)
	}
	l.failures = 0
}

// Failing reports whether the target is skipped because of unanswered or reset openers.
func (l *Load) Failing(now time.Time) bool {
	return l.failures >= failuresToSkip && now.Sub(l.failedAt) < skipTime
}

func (l *Load) startRamp(now time.Time) {
	l.ramping = l.rampWhole > 0
	l.rampFrom = now
}

// Cold reports whether the target is in its ramp.
func (l *Load) Cold(now time.Time) bool {
	return l.ramping && now.Sub(l.rampFrom) < l.rampWhole
}

// share is the part of its weight that a target gets now.
func (l *Load) share(now time.Time) float64 {
	share := 1.0
	if l.Cold(now) {
		share = max(coldShare, float64(now.Sub(l.rampFrom))/float64(l.rampWhole))
	}
	if load := min(l.Condition.LoadPermille, 1000); load > loadKnee {
		share *= 1 - (1-loadFloor)*float64(load-loadKnee)/(1000-loadKnee)
	}
	return share
}

// State returns the state of the target and why it receives fewer or no new flows.
func (l *Load) State(now time.Time) (name, reason string) {
	switch {
	case l.Failing(now):
		return "unhealthy", "openers were reset or left unanswered"
	case l.Condition.Unhealthy:
		return "unhealthy", "health check fails"
	case l.Condition.Shedding:
		return "shedding", "target reports that it sheds load"
	case l.Condition.Unreachable:
		return "unhealthy", "its place is cut off"
	case l.Cold(now):
		return "cold", "ramp after its start"
	}
	return "serving", ""
}

// Counts holds what the owner of a service knows about its targets and running requests.
type Counts struct {
	loads map[protocol.Endpoint]*Load
	runs  map[protocol.FlowKey]*run
	// meanRun is the running mean of the length of inferred requests; 0 until one was seen.
	meanRun time.Duration
	// handshakeBytes is the usual payload that a target sends at the end of the handshake.
	handshakeBytes float64
	nextDue        time.Time
}

// NewCounts makes empty counts.
func NewCounts() *Counts {
	return &Counts{
		loads: make(map[protocol.Endpoint]*Load),
		runs:  make(map[protocol.FlowKey]*run),
	}
}

// Load returns the counts of a target; they come into being on first use.
func (c *Counts) Load(target protocol.Endpoint) *Load {
	l, ok := c.loads[target]
	if !ok {
		l = &Load{}
		c.loads[target] = l
	}
	return l
}

// Adopt takes the targets of a new table. Targets that the former table did not
// have, or that were drained in it, start their ramp.
func (c *Counts) Adopt(now time.Time, former, next *Service) {
	serving := make(map[protocol.Endpoint]bool)
	if former != nil {
		for _, t := range former.Targets {
			serving[t.Endpoint] = !t.Drain
		}
	}
	for _, t := range next.Targets {
		l := c.Load(t.Endpoint)
		l.rampWhole = time.Duration(next.Pool.RampSeconds) * time.Second
		if former != nil && !t.Drain && !serving[t.Endpoint] {
			l.startRamp(now)
		}
	}
}

// SetCondition stores what reports and the view say about a target. A target
// that becomes healthy again starts its ramp.
func (c *Counts) SetCondition(now time.Time, target protocol.Endpoint, next Condition) {
	l := c.Load(target)
	if l.Condition.Unhealthy && !next.Unhealthy {
		l.startRamp(now)
	}
	l.Condition = next
}

// Open counts a flow for a target.
func (c *Counts) Open(target protocol.Endpoint) {
	c.Load(target).Open++
}

// Close ends the count of a flow.
func (c *Counts) Close(flow protocol.FlowKey, target protocol.Endpoint) {
	c.EndRun(flow)
	if l := c.Load(target); l.Open > 0 {
		l.Open--
	}
}

// Reset sets the counts of open flows to zero before a recount.
func (c *Counts) Reset() {
	for _, l := range c.loads {
		l.Open = 0
	}
}

// KeepRuns ends the running requests of the flows for which keep is false.
func (c *Counts) KeepRuns(keep func(protocol.FlowKey) bool) {
	for flow := range c.runs {
		if !keep(flow) {
			c.EndRun(flow)
		}
	}
}
