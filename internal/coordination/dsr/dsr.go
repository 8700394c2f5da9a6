// Package dsr makes the forwarding decisions for direct server return: targets
// answer callers directly, so a balancer sees only the packets that callers send.
// The binding of a flow is carried in its packets. The balancer that admits the
// opener writes a token that identifies the target, both ends repeat the token, and
// any balancer can route later packets of the flow by the token alone.
//
// The package does no I/O and reads no clock: time, packets, routes and targets are
// passed in.
package dsr

import (
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Options configure a dispatcher.
type Options struct {
	// Place is the failure domain of this balancer, PlaceCount the number of failure
	// domains.
	Place      string
	PlaceCount int
	// CrossPlace is set if flows may leave the place when its targets have too little capacity.
	CrossPlace bool
	// MaxFlowLifetime is the longest lifetime of a flow.
	MaxFlowLifetime time.Duration
	// FlowCapacity is the maximum number of entries in the flow table.
	FlowCapacity int
	// FailureHoldTime is how long a target counts as dead after its last failure. It
	// must be shorter than the time after which an outage counts as over, so that idle
	// flows survive a network partition that has ended.
	FailureHoldTime time.Duration
	// LearnsFromRejections limits the admission of flows to services whose targets reject
	// requests.
	LearnsFromRejections bool
	// ColdOverage and ColdSlack limit the openers to a target in warm-up to ColdOverage times the requests a
	// second that it can handle then, plus ColdSlack. There is no limit if ColdOverage is 0.
	ColdOverage, ColdSlack float64
}

// defaultFlowCapacity is six times the number of flows per balancer at the fleet size
// planned for two years from now.
const defaultFlowCapacity = 1 << 16

// Dispatcher makes the forwarding decisions. Its methods may be called concurrently.
type Dispatcher struct {
	mu      sync.Mutex
	options Options
	routes  *routeTable
	targets *registry
	flows   map[protocol.FlowKey]*flow
	// unroutedFlows holds flows of removed routes that packets were seen of since.
	unroutedFlows map[protocol.FlowKey]*unroutedFlow
	events        []Event
	// latestAnsweredSentAt is the latest send time among the packets that any target
	// has answered.
	latestAnsweredSentAt time.Time
	loss                 lossEstimator
	// loads holds the load of each service that has answered, by service name.
	loads map[string]Load
	// sharing holds the placement across places by service, empty without Options.CrossPlace.
	sharing map[string]*placeSharing
	// pressures holds the rejections of each service, by service name.
	pressures map[string]*pressure
	// placeBalancerCount is the number of balancers in this balancer's place, 0 while unknown.
	placeBalancerCount int
	// members holds the balancers of the place, nil while unknown.
	members *placeMembers
	// coldVersion counts the changes of routes and members on which the limits of cold targets depend, from 1.
	coldVersion uint64
	lastTickAt  time.Time
	// readyCh is closed once routes and targets are known.
	readyCh chan struct{}
	// resumedAt is when the process last resumed after a freeze. Packets sent before
	// are not evaluated, because the process was not running to see their answers.
	resumedAt time.Time
}

// NewDispatcher returns a dispatcher without routes or targets.
func NewDispatcher(o Options) *Dispatcher {
	if o.FlowCapacity == 0 {
		o.FlowCapacity = defaultFlowCapacity
	}
	if o.FailureHoldTime == 0 {
		o.FailureHoldTime = defaultFailureHoldTime
	}
	routes := newRouteTable()
	d := &Dispatcher{
		options:       o,
		routes:        routes,
		targets:       newRegistry(o.Place, o.MaxFlowLifetime, routes.namesService),
		loads:         make(map[string]Load),
		sharing:       make(map[string]*placeSharing),
		pressures:     make(map[string]*pressure),
		flows:         make(map[protocol.FlowKey]*flow),
		unroutedFlows: make(map[protocol.FlowKey]*unroutedFlow),
		readyCh:       make(chan struct{}),
		coldVersion:   1,
	}
	d.targets.replicatesWarmup = o.limitsColdTargets()
	return d
}

// Ready returns a channel that is closed once routes and targets are known.
func (d *Dispatcher) Ready() <-chan struct{} { return d.readyCh }

func (d *Dispatcher) ready() bool { return d.routes.version > 0 && d.targets.hasListing }

// signalReady closes the channel returned by Ready once both routes and targets are known.
func (d *Dispatcher) signalReady() {
	select {
	case <-d.readyCh:
	default:
		if d.ready() {
			close(d.readyCh)
		}
	}
}

// SetRoutes applies a version of the configuration that was read from the store and reports
// whether it did. It ignores a version that is not newer than the current one, unless the
// current routes are other ones of the same version that another balancer sent.
func (d *Dispatcher) SetRoutes(set RouteSet) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.setRoutes(set, true)
}

func (d *Dispatcher) setRoutes(set RouteSet, isFromStore bool) bool {
	applied := d.routes.replaces(set, isFromStore)
	kind := EventRoutesIgnored
	switch {
	case applied && set.Version < d.routes.version:
		kind = EventRevisionReset
	case applied && set.Version == d.routes.version:
		kind = EventRoutesCorrected
	case applied:
		kind = EventRoutesAdopted
	}
	if applied {
		d.coldVersion++
		if d.routes.apply(set, isFromStore) {
			d.targets.rebuildIndex()
		}
	} else if isFromStore && set.Version == d.routes.version {
		d.routes.isFromStore, d.routes.era = true, set.Era // the store has confirmed the routes
	}
	d.addDataEvents(d.targets.asOf, Event{Kind: kind, Revision: set.Version, RoutesDigest: d.routes.contentDigest})
	d.signalReady()
	return applied
}

// ApplyListing updates the targets from a complete listing of the announcements. If it keeps
// targets that the listing lacks, it returns the time from which a further listing can mark
// them as gone.
func (d *Dispatcher) ApplyListing(now time.Time, listing Listing) (keptUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	events, keptUntil := d.targets.applyListing(now, listing)
	d.addDataEvents(d.targets.asOf, events...)
	d.signalReady()
	return keptUntil
}

// MarkStoreUnavailable records that the store does not respond.
func (d *Dispatcher) MarkStoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets.markStoreUnavailable()
}

// MarkStoreAvailable records that the store responds.
func (d *Dispatcher) MarkStoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets.markStoreAvailable(now)
}

// HandleFreeze must be called when this balancer resumes after a freeze. Packets that
// were sent before it resumed and stay unanswered don't count as failures of their target.
func (d *Dispatcher) HandleFreeze(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumedAt = now
	d.events = append(d.events, Event{Kind: EventFreeze})
}

// PopEvents returns the events since the last call and clears them.
func (d *Dispatcher) PopEvents() []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	events := d.events
	d.events = nil
	for i := range events {
		if t := events[i].target; t != nil {
			events[i].Target = t.Announcement
		}
	}
	return events
}

// Gauges are current values of the dispatcher's state.
type Gauges struct {
	Flows, Targets, Suspected int
	RoutesVersion             uint64
	// Era and Revision are the state of the store of the targets.
	Era, Revision uint64
	// EraSince is when this balancer first had data of the era, zero if its first data were.
	EraSince time.Time `json:",omitzero"`
	// RoutesDigest is a hash of the routes in force. It differs between two balancers with
	// one version if their routes differ.
	RoutesDigest Digest
	// TargetsDigest is a hash of the targets that are not gone.
	TargetsDigest Digest
	// LossShare is the estimated loss rate of packets.
	LossShare float64
	// Sharing holds the services of which flows leave the place.
	Sharing map[string]PlaceShare `json:",omitempty"`
	// Rejections is the number of requests that targets rejected, by service. It is nil
	// unless rejections are recognized.
	Rejections map[string]uint64 `json:",omitempty"`
	// Cold counts the cold targets. It is nil unless the openers to them are limited.
	Cold *ColdTargets `json:",omitempty"`
}

// Gauges returns the current values of the dispatcher's state.
func (d *Dispatcher) Gauges() Gauges {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := Gauges{Flows: len(d.flows), RoutesVersion: d.routes.version, RoutesDigest: d.routes.contentDigest, TargetsDigest: d.targets.contentDigest, Era: d.targets.position.Era, EraSince: d.targets.eraSince, Revision: d.targets.position.Revision, LossShare: d.loss.lossRate(), Cold: d.coldTargets()}
	for service, s := range d.sharing {
		if s.isAnnounced {
			if g.Sharing == nil {
				g.Sharing = make(map[string]PlaceShare)
			}
			g.Sharing[service] = s.summary()
		}
	}
	for _, targets := range d.targets.byService {
		for _, t := range targets {
			g.Targets++
			if t.health.suspected() {
				g.Suspected++
			}
		}
	}
	for service, p := range d.pressures {
		if g.Rejections == nil {
			g.Rejections = make(map[string]uint64)
		}
		g.Rejections[service] = p.totalRejections
	}
	return g
}

// Handle returns the forwarding decision for one packet.
func (d *Dispatcher) Handle(now time.Time, p Packet) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready() {
		return Decision{Reason: ReasonNotReady}
	}
	handle := d.handleEstablished
	if p.Opener {
		handle = d.handleOpener
	}
	decision := handle(now, p)
	if p.Opener && decision.Action == ActionForward {
		d.recordOpenerSent(now, decision.target)
	}
	decision.RoutesVersion = d.routes.version
	decision.ListingAge = now.Sub(d.targets.asOf)
	if t := decision.target; t != nil {
		decision.Target, decision.Token = t.Announcement, t.Token
	}
	return decision
}

// handleOpener returns the decision for the first packet of a flow or a
// retransmission of it.
func (d *Dispatcher) handleOpener(now time.Time, p Packet) Decision {
	if p.Bytes > 0 {
		return Decision{Reason: ReasonOpenerWithData}
	}
	route := d.routes.current[p.Flow.Service]
	if route == nil && p.Retransmits > 0 && d.routes.wasRemoved(p.Flow.Service) {
		// Another balancer may have forwarded an earlier transmission of the opener.
		return d.handleRemovedRoute(now, p)
	}
	if route == nil {
		return Decision{Action: ActionReset, Reason: ReasonNoRoute}
	}
	f := d.flows[p.Flow]
	if f != nil && f.openerSeq == p.Seq && f.established {
		if !f.target.acceptsNewFlows() || !d.maySendOpener(now, f.target) {
			return Decision{Reason: ReasonNoTargetForCopy, Route: route} // the flow does not need the copy
		}
		return Decision{Action: ActionForward, Reason: ReasonRepeatedOpener, target: f.target, Route: route}
	}
	if f != nil && f.openerSeq == p.Seq {
		return d.handleRepeatedOpener(now, p, route, f)
	}
	if f != nil {
		d.removeFlow(p.Flow, f) // the caller reused its port for a new flow
	}
	var t *Target
	if load, overloaded := d.overLimit(route, p.Flow.Caller.IP, state.FlowHash(p.Flow)); overloaded && p.Retransmits == 0 {
		if t = d.chooseElsewhere(now, route, state.FlowHash(p.Flow)); t == nil {
			refusal := d.refuse(now, p, route, ReasonOverload)
			refusal.InFlight, refusal.InFlightLimit = load.InFlight, load.Limit
			return refusal
		}
	} else {
		t = d.chooseTarget(now, route, state.FlowHash(p.Flow), nil)
	}
	if t == nil && p.Retransmits > 0 {
		// Another balancer may have forwarded an earlier transmission of the opener, so
		// the flow may be open already and must not be reset here.
		return Decision{Reason: ReasonNoTargetForCopy, Route: route}
	}
	if t == nil {
		return d.refuse(now, p, route, ReasonNoTarget)
	}
	inFlight := t.inFlight
	d.openFlow(now, p, route, t)
	return Decision{Action: ActionForward, Reason: ReasonAdmitted, target: t, Route: route, InFlight: inFlight}
}

// refuse resets an opener and records the refusal in the flow table, so that
// retransmissions of the opener are reset too.
func (d *Dispatcher) refuse(now time.Time, p Packet, route *Route, reason Reason) Decision {
	d.insertFlow(now, p.Flow, &flow{route: route, openerSeq: p.Seq, refusalReason: reason})
	return Decision{Action: ActionReset, Reason: reason, Route: route}
}

// handleRepeatedOpener returns the decision for a retransmission of an opener that
// this balancer has seen before.
func (d *Dispatcher) handleRepeatedOpener(now time.Time, p Packet, route *Route, f *flow) Decision {
	if f.refusalReason != "" {
		return Decision{Action: ActionReset, Reason: f.refusalReason, Route: route}
	}
	f.openerRetransmitted = true
	d.recordPlaceOpener(now, f.target, false)
	d.recordUnansweredOpener(now, f)
	failures := f.target.health.failureSummary(now)
	accepts := f.target.acceptsNewFlows() && route.hasBackend(f.target.Service) && d.maySendOpener(now, f.target)
	if accepts && !f.target.health.suspected() && !f.target.recentlyFull(now) && f.target.health.succeededRecently(now) {
		return Decision{Action: ActionForward, Reason: ReasonRepeatedOpener, target: f.target, Route: route, Failures: failures}
	}
	f.tried = append(f.tried, f.target)
	t := d.chooseTarget(now, route, state.FlowHash(p.Flow), f.tried)
	if t == nil && !accepts {
		return Decision{Reason: ReasonNoTargetForCopy, Route: route}
	}
	if t == nil {
		return Decision{Action: ActionForward, Reason: ReasonRepeatedOpener, target: f.target, Route: route, Failures: failures}
	}
	f.setTarget(t)
	return Decision{Action: ActionForward, Reason: ReasonRetriedOpener, target: t, Route: route, Failures: failures}
}

// handleEstablished returns the decision for a packet of a flow whose opener was
// answered.
func (d *Dispatcher) handleEstablished(now time.Time, p Packet) Decision {
	route := d.routes.current[p.Flow.Service]
	if route == nil {
		if !d.routes.wasRemoved(p.Flow.Service) {
			return Decision{Reason: ReasonUnknownRoute}
		}
		return d.handleRemovedRoute(now, p)
	}
	t := d.targets.byToken[p.Token]
	f := d.flows[p.Flow]
	if t == nil && f != nil && f.refusalReason == "" {
		t = f.target // the caller has not yet received the target's token
	}
	if t == nil {
		return Decision{Reason: ReasonUnknownToken, Route: route}
	}
	if !d.routes.isAllowed(p.Flow.Service, t.Service) {
		return Decision{Reason: ReasonForeignToken, Route: route}
	}
	return d.forwardEstablished(now, p, route, t, f)
}

// forwardEstablished forwards a packet to its target, updates the flow, the load and
// the target's health from it, and resets the flow if the target has failed.
func (d *Dispatcher) forwardEstablished(now time.Time, p Packet, route *Route, t *Target, f *flow) Decision {
	forward := Decision{Action: ActionForward, Reason: ReasonToken, target: t, Route: route}
	if f == nil || f.refusalReason != "" {
		f = d.adoptFlow(now, p, route, t)
	}
	if f == nil {
		return forward
	}
	f.setTarget(t)
	f.lastSeen = now
	if p.Reset {
		d.recordEndOfFlow(f)
		d.removeFlow(p.Flow, f)
		return forward
	}
	sentAt, requestStartedAt, hadRequest := f.lastSentAt, f.requestStartedAt, f.inFlight
	completesHandshake := !f.established && !f.openerRetransmitted
	retransmitted := f.recordPacket(now, p)
	if d.options.LearnsFromRejections && f.completedBytes > 0 {
		d.recordResponseSize(f)
	}
	if completesHandshake {
		d.recordHandshake(now, t, f.openedAt)
		d.recordPlaceOpener(now, t, true)
	}
	if len(f.tried) > 0 {
		d.recordSilentTargets(now, f)
	}
	if p.Bytes > 0 && !retransmitted && !hadRequest {
		d.loss.recordSent()
	}
	if f.madeProgress {
		d.recordSuccess(now, t, sentAt)
	}
	if hadRequest && f.responseAcked {
		forward.ResponseTime = now.Sub(requestStartedAt)
		d.recordResponse(now, t, route, requestStartedAt)
		d.recordPlaceResponse(now, t, route, requestStartedAt)
	}
	if retransmitted {
		d.recordUnanswered(now, f, t, f.lastSentAt)
	}
	if reason, reset := d.resetReason(now, t, p); reset {
		failures := t.health.failureSummary(now)
		d.removeFlow(p.Flow, f)
		return Decision{Action: ActionReset, Reason: reason, target: t, Route: route, Failures: failures}
	}
	if p.Fin {
		d.recordEndOfFlow(f)
		f.markClosed()
	}
	return forward
}
