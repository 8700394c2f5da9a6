package state

import (
	"math"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// failuresToSkip is how many openers in a row a target leaves unanswered or
	// resets before it is skipped. One may be a lost packet.
	ejectionThreshold = 2
	// skipTime is how long a failing target is skipped before it is tried again.
	ejectionTime = 10 * time.Second
	// coldShare is the share of its weight that a target gets when its ramp starts.
	minRampWeightFactor = 0.1
	// loadFloor bounds how far a reported load lowers a weight.
	minLoadWeightFactor = 0.5
	// loadKnee is the reported load, in permille, above which a weight is lowered.
	loadThresholdPermille = 700
	// workMemory is the decay time of the recent work of a target. With 10 s, busy
	// slots took longer to even out after a surge of streams that look like requests.
	workDecayTime = 5 * time.Second
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
type TargetLoad struct {
	// Open is the number of open flows.
	OpenFlows int
	// Runs is the number of flows that look like a running request.
	RunningRequests int
	Condition       Condition

	// waiting is the number of running requests whose response did not begin.
	awaitingResponse int
	// work is the decayed sum of the lengths of ended requests, in seconds, at workAt.
	decayedWork   float64
	workUpdatedAt time.Time

	consecutiveFailures int
	lastFailureAt       time.Time
	rampStartedAt       time.Time
	ramping             bool
	rampDuration        time.Duration
}

// addWork counts a request that ended.
func (l *TargetLoad) addWork(now time.Time, duration time.Duration) {
	l.decayedWork = l.recentWork(now) + duration.Seconds()
	l.workUpdatedAt = now
}

// recentWork is the decayed sum of the lengths of ended requests, in seconds.
func (l *TargetLoad) recentWork(now time.Time) float64 {
	if l.decayedWork == 0 {
		return 0
	}
	return l.decayedWork * math.Exp(-now.Sub(l.workUpdatedAt).Seconds()/workDecayTime.Seconds())
}

// Failed notes an opener that the target left unanswered or reset.
func (l *TargetLoad) RecordOpenerFailure(now time.Time) {
	l.consecutiveFailures++
	l.lastFailureAt = now
}

// Answered notes an answered opener. A target that was skipped starts its ramp.
func (l *TargetLoad) RecordOpenerSuccess(now time.Time) {
	if l.consecutiveFailures >= ejectionThreshold {
		l.startRamp(now)
	}
	l.consecutiveFailures = 0
}

// Failing reports whether the target is skipped because of unanswered or reset openers.
func (l *TargetLoad) Ejected(now time.Time) bool {
	return l.consecutiveFailures >= ejectionThreshold && now.Sub(l.lastFailureAt) < ejectionTime
}

func (l *TargetLoad) startRamp(now time.Time) {
	l.ramping = l.rampDuration > 0
	l.rampStartedAt = now
}

// Cold reports whether the target is in its ramp.
func (l *TargetLoad) Ramping(now time.Time) bool {
	return l.ramping && now.Sub(l.rampStartedAt) < l.rampDuration
}

// share is the part of its weight that a target gets now.
func (l *TargetLoad) weightFactor(now time.Time) float64 {
	factor := 1.0
	if l.Ramping(now) {
		factor = max(minRampWeightFactor, float64(now.Sub(l.rampStartedAt))/float64(l.rampDuration))
	}
	if reportedLoad := min(l.Condition.LoadPermille, 1000); reportedLoad > loadThresholdPermille {
		factor *= 1 - (1-minLoadWeightFactor)*float64(reportedLoad-loadThresholdPermille)/(1000-loadThresholdPermille)
	}
	return factor
}

// State returns the state of the target and why it receives fewer or no new flows.
func (l *TargetLoad) State(now time.Time) (name, reason string) {
	switch {
	case l.Ejected(now):
		return "unhealthy", "openers were reset or left unanswered"
	case l.Condition.Unhealthy:
		return "unhealthy", "health check fails"
	case l.Condition.Shedding:
		return "shedding", "target reports that it sheds load"
	case l.Condition.Unreachable:
		return "unhealthy", "its place is cut off"
	case l.Ramping(now):
		return "cold", "ramp after its start"
	}
	return "serving", ""
}

// Counts holds what the owner of a service knows about its targets and running requests.
type LoadCounts struct {
	loads    map[protocol.Endpoint]*TargetLoad
	requests map[protocol.FlowKey]*request
	// meanRun is the running mean of the length of inferred requests; 0 until one was seen.
	meanRequestDuration time.Duration
	// handshakeBytes is the usual payload that a target sends at the end of the handshake.
	meanHandshakeBytes float64
	nextDeadline       time.Time
}

// NewCounts makes empty counts.
func NewLoadCounts() *LoadCounts {
	return &LoadCounts{
		loads:    make(map[protocol.Endpoint]*TargetLoad),
		requests: make(map[protocol.FlowKey]*request),
	}
}

// Load returns the counts of a target; they come into being on first use.
func (c *LoadCounts) Load(target protocol.Endpoint) *TargetLoad {
	l, ok := c.loads[target]
	if !ok {
		l = &TargetLoad{}
		c.loads[target] = l
	}
	return l
}

// Adopt takes the targets of a new table. Targets that the former table did not
// have, or that were drained in it, start their ramp.
func (c *LoadCounts) ApplyService(now time.Time, previous, next *Service) {
	wasServing := make(map[protocol.Endpoint]bool)
	if previous != nil {
		for _, t := range previous.Targets {
			wasServing[t.Endpoint] = !t.Drain
		}
	}
	for _, t := range next.Targets {
		l := c.Load(t.Endpoint)
		l.rampDuration = time.Duration(next.Pool.RampSeconds) * time.Second
		if previous != nil && !t.Drain && !wasServing[t.Endpoint] {
			l.startRamp(now)
		}
	}
}

// SetCondition stores what reports and the view say about a target. A target
// that becomes healthy again starts its ramp.
func (c *LoadCounts) SetCondition(now time.Time, target protocol.Endpoint, next Condition) {
	l := c.Load(target)
	if l.Condition.Unhealthy && !next.Unhealthy {
		l.startRamp(now)
	}
	l.Condition = next
}

// Open counts a flow for a target.
func (c *LoadCounts) AddFlow(target protocol.Endpoint) {
	c.Load(target).OpenFlows++
}

// Close ends the count of a flow.
func (c *LoadCounts) RemoveFlow(flow protocol.FlowKey, target protocol.Endpoint) {
	c.EndRequest(flow)
	if l := c.Load(target); l.OpenFlows > 0 {
		l.OpenFlows--
	}
}

// Reset sets the counts of open flows to zero before a recount.
func (c *LoadCounts) ResetOpenFlows() {
	for _, l := range c.loads {
		l.OpenFlows = 0
	}
}

// KeepRuns ends the running requests of the flows for which keep is false.
func (c *LoadCounts) RetainRequests(keep func(protocol.FlowKey) bool) {
	for flow := range c.requests {
		if !keep(flow) {
			c.EndRequest(flow)
		}
	}
}
