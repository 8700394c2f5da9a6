package dsr

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Placement of new flows across places, see docs/design/cross-place.md. For each service, a
// balancer estimates the load of the targets of its place, and sends a share of its new flows to
// other places when the load is high and requests there are answered sooner than in its own.

const (
	// localLoadFloor is the number of requests in progress per slot of a place below which all its
	// flows stay: a further request finds a free slot there.
	localLoadFloor = 1.0
	// localLoadCeiling is the load at which every flow may leave, by load alone. The share grows
	// linearly in between.
	localLoadCeiling = 2.0
	// Requests in progress include the time on the network and until the caller acknowledges, so the
	// load of short requests is overestimated. Flows therefore leave only where requests also wait:
	// none while responses at home take less than waitFloor times as long as without a queue, all that
	// the load allows from waitCeiling on.
	waitFloor   = 1.5
	waitCeiling = 3.0
	// loadSamplesPerSlot determines the time over which the load is smoothed: this many seconds
	// divided by the balancer's share of the slots. The standard deviation of the estimate is then
	// about a quarter of its value for requests of 55 ms.
	loadSamplesPerSlot = 2.7
	minLoadSmoothing   = 250 * time.Millisecond
	maxLoadSmoothing   = 8 * time.Second
	// gainFloor is the relative saving of response time, including the network, up to which a
	// place gets no flows. Averages of twenty responses differ by a tenth without cause.
	// From gainCeiling on, the place gets its full part.
	gainFloor   = 0.1
	gainCeiling = 0.35
	// minGain keeps a few flows going to a place that does not save time at present, because its
	// load cannot be seen otherwise.
	minGain = 0.02
	// A place gets its full part while responses from there take less than fullHeadroom times as long as
	// without a queue, and none from noHeadroom on: its slots are all in use then, however long the local queues are.
	fullHeadroom = 2
	noHeadroom   = 3
	// responseMaxAge is the age from which the response times of a place say nothing about it.
	responseMaxAge = 10 * time.Second
	// responseMemory limits the weight of earlier responses where there are few.
	responseMemory = 2 * time.Second
	// unloadedSmoothingFactor is the weight of one response in the average whose minimum is the
	// response time without a queue. The minimum of a faster average would be too low by chance.
	unloadedSmoothingFactor = 0.01
	// minUnloadedSamples is the number of responses from which that average counts. A single one may be
	// half as long as the mean.
	minUnloadedSamples = 20
	// unloadedDrift is the time in which that minimum approaches a response time that has become longer.
	unloadedDrift = 10 * time.Minute
	// unansweredSmoothingFactor is the weight of one opener in remotePlace.unansweredShare. Above
	// maxUnansweredShare, after four unanswered openers in a row, the place counts as cut off.
	unansweredSmoothingFactor = 0.1
	maxUnansweredShare        = 0.3
	// placeTrialInterval is the time between two flows to a place that counts as cut off.
	placeTrialInterval = 2 * time.Second
	// sharingBeganShare and sharingEndedShare are the shares of flows at which the events are recorded,
	// the second one once the share has stayed below it for sharingEndDelay.
	sharingBeganShare = 0.02
	sharingEndedShare = 0.005
	sharingEndDelay   = 5 * time.Second
	// minExcessGain is the gain of a place from which it gets flows that the limit of this place does
	// not admit. A place with a lower one is about as loaded.
	minExcessGain = 0.5
	// otherPlacePenalty exceeds the load of any target of the place that was selected for a flow.
	// It is lower than unprovenLoadPenalty.
	otherPlacePenalty = 1e5
)

// Reasons why flows leave the place.
const (
	ShareReasonLoad      = "place-load"
	ShareReasonNoTargets = "no-local-targets"
)

// PlaceShare is the share of the new flows of a service that leaves the place.
type PlaceShare struct {
	Share float64
	// Load is the expected number of requests per slot of the place.
	Load   float64
	Reason string
}

// placeSharing determines which new flows of one service leave the place.
type placeSharing struct {
	load      float64
	hasLoad   bool
	localTime responseAverage
	// slowLocalTime is a slow average of the local response times in seconds, unloadedTime its recent minimum.
	slowLocalTime float64
	unloadedTime  float64
	localSamples  int
	remote        []*remotePlace // in order of names
	share         float64
	reason        string
	isAnnounced   bool // EventSharingBegan was recorded
	lowSince      time.Time
}

// remotePlace is what a balancer knows about a service in another place.
type remotePlace struct {
	name            string
	slots           float64
	share           float64
	responseTime    responseAverage
	unansweredShare float64
	nextTrialAt     time.Time
}

// responseAverage is a moving average of response times.
type responseAverage struct {
	seconds  float64
	latestAt time.Time
}

func (a *responseAverage) add(now time.Time, responseTime time.Duration) {
	weight := 1.0
	if !a.isStale(now) {
		weight = max(responseSmoothingFactor, 1-math.Exp(-now.Sub(a.latestAt).Seconds()/responseMemory.Seconds()))
	}
	a.seconds += weight * (responseTime.Seconds() - a.seconds)
	a.latestAt = now
}

func (a *responseAverage) isStale(now time.Time) bool { return now.Sub(a.latestAt) > responseMaxAge }

// placeCapacity is the capacity and the load of a service in one place, as this balancer sees it.
type placeCapacity struct{ slots, load float64 }

// update recomputes the shares. capacities holds the places with usable targets, balancers is the
// number of balancers of the place.
func (s *placeSharing) update(now time.Time, elapsed time.Duration, local string, capacities map[string]placeCapacity, balancers int) {
	s.updateRemote(local, capacities)
	home := capacities[local]
	s.updateLoad(elapsed, home, float64(max(balancers, 1)))
	if s.localSamples > 0 {
		s.unloadedTime += max(elapsed.Seconds(), 0) / unloadedDrift.Seconds() * (s.slowLocalTime - s.unloadedTime)
	}
	s.reason = ShareReasonLoad
	wanted := s.waitShare(now) * min(max((s.load-localLoadFloor)/(localLoadCeiling-localLoadFloor), 0), 1)
	if home.slots == 0 {
		s.reason, wanted = ShareReasonNoTargets, 1
	}
	remoteSlots := 0.0
	for _, p := range s.remote {
		remoteSlots += p.slots
	}
	s.share = 0
	for _, p := range s.remote {
		p.share = wanted * p.slots / remoteSlots
		if home.slots > 0 {
			p.share *= s.gain(now, p)
		}
		s.share += p.share
	}
}

// updateRemote updates the list of the other places.
func (s *placeSharing) updateRemote(local string, capacities map[string]placeCapacity) {
	s.remote = slices.DeleteFunc(s.remote, func(p *remotePlace) bool { return capacities[p.name].slots == 0 })
	for name, c := range capacities {
		if name == local {
			continue
		}
		i, found := slices.BinarySearchFunc(s.remote, name, func(p *remotePlace, name string) int { return cmp.Compare(p.name, name) })
		if !found {
			s.remote = slices.Insert(s.remote, i, &remotePlace{name: name})
		}
		s.remote[i].slots = c.slots
	}
}

// updateLoad updates the load of the place from the requests of this balancer. The load is
// limited, so that flows return as soon as a queue has been served.
func (s *placeSharing) updateLoad(elapsed time.Duration, home placeCapacity, balancers float64) {
	if home.slots == 0 {
		s.load, s.hasLoad = 0, false
		return
	}
	load := home.load * balancers / home.slots
	smoothing := min(max(loadSamplesPerSlot*balancers/home.slots, minLoadSmoothing.Seconds()), maxLoadSmoothing.Seconds())
	if s.hasLoad {
		load = s.load + (1-math.Exp(-max(elapsed.Seconds(), 0)/smoothing))*(load-s.load)
	}
	s.load, s.hasLoad = min(load, localLoadCeiling), true
}

// waitShare returns the share of flows that may leave by the response times at home, 1 if there are
// no recent ones.
func (s *placeSharing) waitShare(now time.Time) float64 {
	if s.localTime.isStale(now) {
		return 1
	}
	return min(max((s.localTime.seconds/s.unloadedTime-waitFloor)/(waitCeiling-waitFloor), 0), 1)
}

// gain returns the part of the wanted flows that a place gets, by the time that responses from there save.
// A place without recent responses counts as having no queue.
func (s *placeSharing) gain(now time.Time, p *remotePlace) float64 {
	if s.localTime.isStale(now) {
		return 1
	}
	remoteTime := s.unloadedTime
	if !p.responseTime.isStale(now) {
		remoteTime = p.responseTime.seconds
	}
	saving := 1 - remoteTime/s.localTime.seconds
	headroom := (noHeadroom - remoteTime/s.unloadedTime) / (noHeadroom - fullHeadroom)
	return min(max(min((saving-gainFloor)/(gainCeiling-gainFloor), headroom), minGain), 1)
}

// destination returns the place for a new flow. The hash of the flow determines it, so that copies
// of the opener tend to go to the same place.
func (s *placeSharing) destination(now time.Time, local string, flowHash uint64) string {
	if s.share == 0 {
		return local
	}
	// orderBackends uses the upper bits of the hash for the service.
	position := float64(flowHash*0x9e3779b97f4a7c15>>11) / (1 << 53)
	if position >= s.share {
		return local
	}
	for i, p := range s.remote {
		if position < p.share || i == len(s.remote)-1 {
			return s.reachable(now, local, i)
		}
		position -= p.share
	}
	return local
}

// placeForExcess returns the place for a flow that the limit of its own place does not admit, empty
// if none saves enough time. The hash of the flow determines which one is asked first.
func (s *placeSharing) placeForExcess(now time.Time, flowHash uint64) string {
	for i := range s.remote {
		p := s.remote[(flowHash+uint64(i))%uint64(len(s.remote))]
		if p.unansweredShare <= maxUnansweredShare && s.gain(now, p) >= minExcessGain {
			return p.name
		}
	}
	return ""
}

// reachable returns the place with an index, or the next one that is not cut off.
func (s *placeSharing) reachable(now time.Time, local string, index int) string {
	for i := range s.remote {
		p := s.remote[(index+i)%len(s.remote)]
		if p.unansweredShare <= maxUnansweredShare {
			return p.name
		}
		if !now.Before(p.nextTrialAt) {
			p.nextTrialAt = now.Add(placeTrialInterval)
			return p.name
		}
	}
	return local
}

// recordResponse records the response time of a target in a place.
func (s *placeSharing) recordResponse(now time.Time, place, local string, responseTime time.Duration) {
	if place == local {
		s.localTime.add(now, responseTime)
		s.recordUnloaded(responseTime.Seconds())
	} else if p := s.remotePlace(place); p != nil {
		p.responseTime.add(now, responseTime)
	}
}

// recordUnloaded updates the response time without a queue from a local response.
func (s *placeSharing) recordUnloaded(seconds float64) {
	s.localSamples++
	s.slowLocalTime += max(unloadedSmoothingFactor, 1/float64(s.localSamples)) * (seconds - s.slowLocalTime)
	if s.localSamples <= minUnloadedSamples {
		s.unloadedTime = s.slowLocalTime
	}
	s.unloadedTime = min(s.unloadedTime, s.slowLocalTime)
}

// recordOpener records whether an opener was answered from another place.
func (s *placeSharing) recordOpener(now time.Time, place string, answered bool) {
	p := s.remotePlace(place)
	switch {
	case p == nil:
	case answered && p.unansweredShare > maxUnansweredShare:
		p.unansweredShare = 0
	case answered:
		p.unansweredShare *= 1 - unansweredSmoothingFactor
	default:
		wasReachable := p.unansweredShare <= maxUnansweredShare
		p.unansweredShare += unansweredSmoothingFactor * (1 - p.unansweredShare)
		if wasReachable {
			p.nextTrialAt = now.Add(placeTrialInterval)
		}
	}
}

func (s *placeSharing) remotePlace(name string) *remotePlace {
	for _, p := range s.remote {
		if p.name == name {
			return p
		}
	}
	return nil
}

// eventDue returns the kind of the event to record after an update, empty for none.
func (s *placeSharing) eventDue(now time.Time) EventKind {
	if s.share >= sharingEndedShare {
		s.lowSince = time.Time{}
	} else if s.lowSince.IsZero() {
		s.lowSince = now
	}
	switch {
	case !s.isAnnounced && s.share >= sharingBeganShare:
		s.isAnnounced = true
		return EventSharingBegan
	case s.isAnnounced && !s.lowSince.IsZero() && now.Sub(s.lowSince) >= sharingEndDelay:
		s.isAnnounced = false
		return EventSharingEnded
	}
	return ""
}

func (s *placeSharing) summary() PlaceShare {
	return PlaceShare{Share: s.share, Load: s.load, Reason: s.reason}
}
