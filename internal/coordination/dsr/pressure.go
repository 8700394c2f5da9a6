package dsr

import (
	"math"
	"time"
)

// Limit of the in-flight requests of a service whose targets reject requests. It is
// adjusted by additive increase and multiplicative decrease, with the share of rejected
// requests as the signal.

const (
	// rejectionTimeConstant is the time after which a response counts for 1/e in the share
	// of rejections, and in-flight requests in their average. A balancer of a place of 160
	// sees ten to thirty responses in this time.
	rejectionTimeConstant = time.Second
	// rejectionEnterShare is the share of rejections from which a limit is set, if there are
	// at least minRejections within rejectionTimeConstant.
	rejectionEnterShare = 0.05
	minRejections       = 3
	// rejectionTargetShare is the share of rejections above which the limit decreases.
	// Without any, the queues would not be known to be in use.
	rejectionTargetShare = 0.02
	// rejectionDecreaseRate is the relative decrease of the limit per second and share of
	// rejections.
	rejectionDecreaseRate = 2.0
	// limitIncreasePerSlot is the increase of the limit per second and slot while openers
	// are refused.
	limitIncreasePerSlot = 0.5
	// limitReleaseTime is how long no opener may have been refused, or targets must have had
	// room, for the limit to end.
	limitReleaseTime = time.Second
	// urgentDeviations is the number of standard deviations of a Poisson distribution that
	// urgentLimit adds.
	urgentDeviations = 2
	// minRouteLimitShare is the share of the limit that every route may use, so that less
	// urgent routes are always served.
	minRouteLimitShare = 0.1
)

// pressure holds the rejections of a service and the limit that follows from them.
type pressure struct {
	// responses and rejections count since the last tick. The rejections are included in the
	// responses.
	responses  int
	rejections int
	// responseSum and rejectionSum are the counts with exponential decay.
	responseSum  float64
	rejectionSum float64
	// totalRejections counts the rejections since the first response of the service.
	totalRejections uint64
	// meanInFlight is the moving average of the in-flight requests of this balancer.
	meanInFlight float64
	// hasRoom is set while so few requests are in flight that targets reject none. It is not
	// set while a limit is in force. roomTime is how long there have been so few.
	hasRoom  bool
	roomTime time.Duration
	// newSizes and agedSizes are the sizes of responses to be learned. sizesAge is the time
	// since newSizes was empty.
	newSizes, agedSizes []pendingSize
	sizesAge            time.Duration
	// limit is the limit in force, 0 for none. refusals counts the openers over the limit
	// since the last tick, sinceRefusal is the time since the last one.
	limit        float64
	refusals     int
	sinceRefusal time.Duration
}

// rejectedShare returns the share of rejected requests.
func (p *pressure) rejectedShare() float64 {
	return p.rejectionSum / max(p.responseSum, 1)
}

// update sets, adjusts and lifts the limit. elapsed is the time since the last call,
// slots this balancer's share of the slots of the service.
func (p *pressure) update(elapsed time.Duration, inFlight int, slots float64) {
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / rejectionTimeConstant.Seconds())
	p.responseSum = decay*p.responseSum + float64(p.responses)
	p.rejectionSum = decay*p.rejectionSum + float64(p.rejections)
	p.meanInFlight = decay*p.meanInFlight + (1-decay)*float64(inFlight)
	p.sinceRefusal += elapsed
	if p.refusals > 0 {
		p.sinceRefusal = 0
	}
	p.roomTime += elapsed
	if p.meanInFlight > maxRoomInFlightPerSlot*max(slots, 1) {
		p.roomTime = 0
	}
	p.adjustLimit(elapsed, slots)
	p.hasRoom = p.limit == 0 && p.roomTime > 0
	p.learnSizes(elapsed)
	p.responses, p.rejections, p.refusals = 0, 0, 0
}

func (p *pressure) adjustLimit(elapsed time.Duration, slots float64) {
	share := p.rejectedShare()
	enter := share >= rejectionEnterShare && p.rejectionSum >= minRejections
	switch {
	case p.limit == 0 && enter:
		p.limit = p.meanInFlight
		p.sinceRefusal = 0
	case p.limit == 0:
		return
	case p.roomTime >= limitReleaseTime || share <= rejectionTargetShare && p.sinceRefusal >= limitReleaseTime:
		p.limit = 0
		return
	case share > rejectionTargetShare:
		p.limit *= math.Exp(-rejectionDecreaseRate * share * elapsed.Seconds())
	case p.refusals > 0:
		p.limit += limitIncreasePerSlot * slots * elapsed.Seconds()
	}
	p.limit = max(p.limit, minInFlightPerSlot*slots)
}

// LimitReason is what a limit of in-flight requests follows from.
type LimitReason string

// Reasons of limits.
const (
	LimitSlow     LimitReason = "slow"
	LimitRejected LimitReason = "rejected"
)

// applyPressure lowers the limit to the one that follows from rejections, if there is one.
func (l *Load) applyPressure(p *pressure) {
	l.RejectedShare = p.rejectedShare()
	if l.Limit > 0 {
		l.Reason = LimitSlow
	}
	if p.limit > 0 && (l.Limit == 0 || p.limit < l.Limit) {
		l.Limit, l.Reason = p.limit, LimitRejected
	}
}

// urgentLimit returns the limit of a route whose service has a less urgent one in use. While
// targets reject requests, the limit of one balancer among 160 is one or two requests, and the
// random fluctuation of the urgent ones must not count as too many.
func (l *Load) urgentLimit() float64 {
	limit := urgentInFlightPerSlot * l.Slots
	if l.Reason == LimitRejected {
		limit = max(limit, l.Limit)
		limit += urgentDeviations * math.Sqrt(limit)
	}
	return limit
}

// overPressureLimit reports whether a new flow of a route would exceed the limit that follows
// from rejections. l holds the in-flight requests that count against the route, limit is what
// its priority leaves of the limit. The flow hash decides on the fraction of a limit, because
// the limit of a balancer among 160 is one or two requests.
func (d *Dispatcher) overPressureLimit(l Load, limit float64, r *Route, service string, caller [4]byte, flowHash uint64) (Load, bool) {
	if float64(d.limitedInFlight(r.usage)) < minRouteLimitShare*l.Limit {
		return Load{}, false
	}
	const fractionBits = 32
	position := float64(l.InFlight) + float64(flowHash%(1<<fractionBits))/(1<<fractionBits)
	if heavyLimit := heavyCallerLimitShare * limit; position >= heavyLimit && position < limit && d.routes.holdsMoreThanShare(caller, service) {
		limit = heavyLimit
	}
	l.Limit = limit
	if position < limit {
		return l, false
	}
	d.pressures[service].refusals++
	return l, true
}
