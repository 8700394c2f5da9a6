package state

import (
	"math"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// ejectionThreshold is the number of consecutive openers that a target resets or
	// leaves unanswered before it is ejected. A single failure may be a lost packet.
	ejectionThreshold = 2
	// ejectionTime is how long an ejected target receives no new flows before it is retried.
	ejectionTime = 10 * time.Second
	// minRampWeightFactor is the factor that a target's weight is multiplied by at the
	// start of its ramp (slow start).
	minRampWeightFactor = 0.1
	// minLoadWeightFactor is the factor that a weight is multiplied by at full reported load.
	minLoadWeightFactor = 0.5
	// loadThresholdPermille is the reported load above which the weight is lowered.
	loadThresholdPermille = 700
	// workDecayTime is the time constant of the exponential decay of recent work.
	// With 10 s, busy slots took longer to even out after a surge of streams that look
	// like requests.
	workDecayTime = 5 * time.Second
)

// Condition is the state of a target according to health reports and the membership
// view.
type Condition struct {
	Unhealthy bool
	Shedding  bool
	Draining  bool
	// Unreachable is set if all balancers of the target's place disappeared from the view
	// and none of them was leaving.
	Unreachable  bool
	LoadPermille uint32
}

// TargetLoad holds the load of one target as counted by the owner.
type TargetLoad struct {
	OpenFlows int
	// RunningRequests is the number of flows that are classified as a running request.
	RunningRequests int
	Condition       Condition

	// awaitingResponse is the number of running requests whose response has not started.
	awaitingResponse int
	// decayedWork is the decayed sum of the durations of ended requests, in seconds,
	// at workUpdatedAt.
	decayedWork   float64
	workUpdatedAt time.Time

	consecutiveFailures int
	lastFailureAt       time.Time
	rampStartedAt       time.Time
	ramping             bool
	rampDuration        time.Duration
}

// addWork adds the duration of an ended request to the recent work.
func (l *TargetLoad) addWork(now time.Time, duration time.Duration) {
	l.decayedWork = l.recentWork(now) + duration.Seconds()
	l.workUpdatedAt = now
}

// recentWork returns the decayed sum of the durations of ended requests, in seconds.
func (l *TargetLoad) recentWork(now time.Time) float64 {
	if l.decayedWork == 0 {
		return 0
	}
	return l.decayedWork * math.Exp(-now.Sub(l.workUpdatedAt).Seconds()/workDecayTime.Seconds())
}

// RecordOpenerFailure records an opener that the target reset or left unanswered.
func (l *TargetLoad) RecordOpenerFailure(now time.Time) {
	l.consecutiveFailures++
	l.lastFailureAt = now
}

// RecordOpenerSuccess records an answered opener and resets the failure count. A
// target that had reached the ejection threshold starts its ramp.
func (l *TargetLoad) RecordOpenerSuccess(now time.Time) {
	if l.consecutiveFailures >= ejectionThreshold {
		l.startRamp(now)
	}
	l.consecutiveFailures = 0
}

// Ejected reports whether the target is ejected because of reset or unanswered openers.
func (l *TargetLoad) Ejected(now time.Time) bool {
	return l.consecutiveFailures >= ejectionThreshold && now.Sub(l.lastFailureAt) < ejectionTime
}

func (l *TargetLoad) startRamp(now time.Time) {
	l.ramping = l.rampDuration > 0
	l.rampStartedAt = now
}

// Ramping reports whether the weight of the target is still ramping up.
func (l *TargetLoad) Ramping(now time.Time) bool {
	return l.ramping && now.Sub(l.rampStartedAt) < l.rampDuration
}

// weightFactor returns the factor that the weight of the target is multiplied by at now.
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

// LoadCounts holds the load of the targets of a service and its running requests, as
// counted by the owner.
type LoadCounts struct {
	loads    map[protocol.Endpoint]*TargetLoad
	requests map[protocol.FlowKey]*request
	// meanRequestDuration is the moving average of request durations; 0 before the
	// first request has ended.
	meanRequestDuration time.Duration
	// meanHandshakeBytes is the moving average of the payload that a target sends at
	// the end of the handshake.
	meanHandshakeBytes float64
	nextDeadline       time.Time
}

// NewLoadCounts returns empty counts.
func NewLoadCounts() *LoadCounts {
	return &LoadCounts{
		loads:    make(map[protocol.Endpoint]*TargetLoad),
		requests: make(map[protocol.FlowKey]*request),
	}
}

// Load returns the load of a target and creates it on first use.
func (c *LoadCounts) Load(target protocol.Endpoint) *TargetLoad {
	l, ok := c.loads[target]
	if !ok {
		l = &TargetLoad{}
		c.loads[target] = l
	}
	return l
}

// ApplyService applies the targets and the ramp time of a service in a new table.
// Targets that were absent or drained in the previous table start their ramp.
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

// SetCondition updates the condition of a target. A target that becomes healthy
// again starts its ramp.
func (c *LoadCounts) SetCondition(now time.Time, target protocol.Endpoint, next Condition) {
	l := c.Load(target)
	if l.Condition.Unhealthy && !next.Unhealthy {
		l.startRamp(now)
	}
	l.Condition = next
}

// AddFlow adds an open flow to a target.
func (c *LoadCounts) AddFlow(target protocol.Endpoint) {
	c.Load(target).OpenFlows++
}

// RemoveFlow removes an open flow from a target and ends its request.
func (c *LoadCounts) RemoveFlow(flow protocol.FlowKey, target protocol.Endpoint) {
	c.EndRequest(flow)
	if l := c.Load(target); l.OpenFlows > 0 {
		l.OpenFlows--
	}
}

// ResetOpenFlows sets the numbers of open flows to zero before a recount.
func (c *LoadCounts) ResetOpenFlows() {
	for _, l := range c.loads {
		l.OpenFlows = 0
	}
}

// RetainRequests ends the running requests of the flows for which keep returns false.
func (c *LoadCounts) RetainRequests(keep func(protocol.FlowKey) bool) {
	for flow := range c.requests {
		if !keep(flow) {
			c.EndRequest(flow)
		}
	}
}
