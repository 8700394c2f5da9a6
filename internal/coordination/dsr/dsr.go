// Package dsr decides about packets where targets answer callers directly
// (direct server return), so that a balancer sees only the callers' side of a
// flow. The binding of a flow travels in the packets: the balancer that takes the
// opener writes a token that names the target, both ends repeat it, and any
// balancer can route the packets that follow by the token alone.
//
// The package is pure code: time, packets, routes and targets are passed in.
package dsr

import (
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Options are the fixed parameters of a dispatcher.
type Options struct {
	// Place is the failure domain of this balancer, Places the number of all.
	Place      string
	PlaceCount int
	// FlowLife is the longest life of a flow.
	MaxFlowLifetime time.Duration
	// FlowCapacity bounds the flow table.
	FlowCapacity int
	// DeadTime is how long after its last unanswered packet a target is taken for
	// dead. It must be shorter than the time after which a disturbance counts as
	// over, so that idle flows survive a cut that has healed.
	FailureHoldTime time.Duration
}

// defaultFlowCapacity holds six times the flows of one balancer at the size of two years.
const defaultFlowCapacity = 1 << 16

// Dispatcher decides about packets. Its methods may be called concurrently.
type Dispatcher struct {
	mu      sync.Mutex
	options Options
	routes  *routeTable
	targets *registry
	flows   map[protocol.FlowKey]*flow
	events  []Event
	// answeredTo is when the latest packet was forwarded that a target has answered.
	latestAnsweredSentAt time.Time
	loss                 lossEstimate
	// loads are the loads of the services that have answered, by service.
	loads map[string]Load
	// peers is the number of balancers of the place, 0 while it is not known.
	peers      int
	lastTickAt time.Time
	// readyC is closed once routes and targets are known.
	readyCh chan struct{}
	// evidenceFrom is the time before which packets prove nothing, because the process did not run.
	resumedAt time.Time
}

// NewDispatcher makes a dispatcher without routes and targets.
func NewDispatcher(o Options) *Dispatcher {
	if o.FlowCapacity == 0 {
		o.FlowCapacity = defaultFlowCapacity
	}
	if o.FailureHoldTime == 0 {
		o.FailureHoldTime = defaultDeadTime
	}
	return &Dispatcher{
		options: o,
		routes:  newRouteTable(),
		targets: newRegistry(o.MaxFlowLifetime),
		loads:   make(map[string]Load),
		flows:   make(map[protocol.FlowKey]*flow),
		readyCh: make(chan struct{}),
	}
}

// Ready returns a channel that is closed once routes and targets are known.
func (d *Dispatcher) Ready() <-chan struct{} { return d.readyCh }

func (d *Dispatcher) ready() bool { return d.routes.version > 0 && d.targets.hasListing }

// noteReady closes the channel of Ready when the last missing part has arrived.
func (d *Dispatcher) signalReady() {
	select {
	case <-d.readyCh:
	default:
		if d.ready() {
			close(d.readyCh)
		}
	}
}

// SetRoutes puts a version of the configuration in force, unless it is not newer than the present one.
func (d *Dispatcher) SetRoutes(set RouteSet) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := d.routes.apply(set)
	kind := EventRoutesAdopted
	if !applied {
		kind = EventRoutesIgnored
	}
	d.events = append(d.events, Event{Kind: kind, Revision: set.Version})
	d.signalReady()
	return applied
}

// Observe takes a complete reading of the announcements.
func (d *Dispatcher) ApplyListing(now time.Time, l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, d.targets.applyListing(now, l)...)
	d.signalReady()
}

// StoreLost tells that the store does not answer.
func (d *Dispatcher) MarkStoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets.markStoreUnavailable()
}

// StoreBack tells that the store answers.
func (d *Dispatcher) MarkStoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets.markStoreAvailable(now)
}

// Freeze tells that the process did not run until now. Silence before proves nothing.
func (d *Dispatcher) RecordFreeze(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumedAt = now
	d.events = append(d.events, Event{Kind: EventFreeze})
}

// TakeEvents returns the changes since the last call.
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

// Gauges are the sizes of the dispatcher's state.
type Gauges struct {
	Flows, Targets, Suspected int
	RoutesVersion, Revision   uint64
	// LossShare is the estimated share of packets that are lost.
	LossShare float64
}

// Gauges returns the sizes of the state.
func (d *Dispatcher) Gauges() Gauges {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := Gauges{Flows: len(d.flows), RoutesVersion: d.routes.version, Revision: d.targets.revision, LossShare: d.loss.share()}
	for _, targets := range d.targets.byService {
		for _, t := range targets {
			g.Targets++
			if t.health.suspected() {
				g.Suspected++
			}
		}
	}
	return g
}

// Handle decides about one packet.
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
	decision.RoutesVersion = d.routes.version
	decision.ListingAge = now.Sub(d.targets.asOf)
	if t := decision.target; t != nil {
		decision.Target, decision.Token = t.Announcement, t.Token
	}
	return decision
}

// opener decides about the first packet of a flow or a copy of it.
func (d *Dispatcher) handleOpener(now time.Time, p Packet) Decision {
	if p.Bytes > 0 {
		return Decision{Reason: ReasonOpenerWithData}
	}
	route := d.routes.current[p.Flow.Service]
	if route == nil {
		return Decision{Action: ActionReset, Reason: ReasonNoRoute}
	}
	f := d.flows[p.Flow]
	if f != nil && f.openerSeq == p.Seq && f.confirmed {
		return Decision{Action: ActionForward, Reason: ReasonRepeatedOpener, target: f.target, Route: route}
	}
	if f != nil && f.openerSeq == p.Seq {
		return d.handleRepeatedOpener(now, p, route, f)
	}
	if f != nil {
		d.remove(p.Flow, f) // the caller uses its port again
	}
	if load, overloaded := d.overLimit(route, state.FlowHash(p.Flow)); overloaded && p.Retransmits == 0 {
		refusal := d.refuse(now, p, route, ReasonOverload)
		refusal.InFlight, refusal.InFlightLimit = load.Running, load.Limit
		return refusal
	}
	t := d.chooseTarget(now, route, state.FlowHash(p.Flow), nil)
	if t == nil && p.Retransmits > 0 {
		// Another balancer may have forwarded the first copy, so a reset might not be true.
		return Decision{Reason: ReasonNoTargetForCopy, Route: route}
	}
	if t == nil {
		return d.refuse(now, p, route, ReasonNoTarget)
	}
	inFlight := t.inFlight
	d.open(now, p, route, t)
	return Decision{Action: ActionForward, Reason: ReasonAdmitted, target: t, Route: route, InFlight: inFlight}
}

// refuse resets an opener and remembers it, so that its copies are reset too.
func (d *Dispatcher) refuse(now time.Time, p Packet, route *Route, reason Reason) Decision {
	d.add(now, p.Flow, &flow{route: route, openerSeq: p.Seq, refused: reason})
	return Decision{Action: ActionReset, Reason: reason, Route: route}
}

// repeated decides about a copy of an opener that this balancer has seen before.
func (d *Dispatcher) handleRepeatedOpener(now time.Time, p Packet, route *Route, f *flow) Decision {
	if f.refused != "" {
		return Decision{Action: ActionReset, Reason: f.refused, Route: route}
	}
	f.copied = true
	d.recordUnansweredOpener(now, f)
	failures := f.target.health.silence(now)
	if f.target.acceptsNewFlows() && !f.target.health.suspected() && !f.target.recentlyFull(now) {
		return Decision{Action: ActionForward, Reason: ReasonRepeatedOpener, target: f.target, Route: route, Failures: failures}
	}
	f.tried = append(f.tried, f.target)
	t := d.chooseTarget(now, route, state.FlowHash(p.Flow), f.tried)
	if t == nil && !f.target.acceptsNewFlows() {
		return Decision{Reason: ReasonNoTargetForCopy, Route: route}
	}
	if t == nil {
		return Decision{Action: ActionForward, Reason: ReasonRepeatedOpener, target: f.target, Route: route, Failures: failures}
	}
	f.move(t)
	return Decision{Action: ActionForward, Reason: ReasonRetriedOpener, target: t, Route: route, Failures: failures}
}

// established decides about a packet of a flow whose opener was answered.
func (d *Dispatcher) handleEstablished(now time.Time, p Packet) Decision {
	route := d.routes.current[p.Flow.Service]
	if route == nil {
		if !d.routes.wasRemoved(p.Flow.Service) {
			return Decision{Reason: ReasonUnknownRoute}
		}
		d.removeKey(p.Flow)
		return Decision{Action: ActionReset, Reason: ReasonRouteRemoved}
	}
	t := d.targets.byToken[p.Token]
	f := d.flows[p.Flow]
	if t == nil && f != nil && f.refused == "" {
		t = f.target // the caller has not received a packet of the target with its token
	}
	if t == nil {
		return Decision{Reason: ReasonUnknownToken, Route: route}
	}
	if !d.routes.isAllowed(p.Flow.Service, t.Service) {
		return Decision{Reason: ReasonForeignToken, Route: route}
	}
	return d.forwardEstablished(now, p, route, t, f)
}

// follow notes what a packet tells about its target, and resets the flow when the target is dead.
func (d *Dispatcher) forwardEstablished(now time.Time, p Packet, route *Route, t *Target, f *flow) Decision {
	forward := Decision{Action: ActionForward, Reason: ReasonToken, target: t, Route: route}
	if f == nil || f.refused != "" {
		f = d.join(now, p, route, t)
	}
	if f == nil {
		return forward
	}
	f.move(t)
	f.lastSeen = now
	if p.Reset {
		d.remove(p.Flow, f)
		return forward
	}
	sentAt, requestStartedAt, hadRequest := f.sentAt, f.runningFrom, f.running
	completesHandshake := !f.confirmed && !f.copied
	retransmitted := f.note(now, p)
	if completesHandshake {
		d.noteHandshake(now, t, f.openedAt)
	}
	if p.Bytes > 0 && !retransmitted && !hadRequest {
		d.loss.sent()
	}
	if f.progressed {
		d.alive(now, t, sentAt)
	}
	if hadRequest && f.answered {
		forward.ResponseTime = now.Sub(requestStartedAt)
		d.noteAnswer(now, t, route, requestStartedAt)
	}
	if retransmitted {
		d.unanswered(now, f, t, f.sentAt)
	}
	if reason, reset := d.dead(now, t, p); reset {
		failures := t.health.silence(now)
		d.remove(p.Flow, f)
		return Decision{Action: ActionReset, Reason: reason, target: t, Route: route, Failures: failures}
	}
	if p.Fin {
		f.close()
	}
	return forward
}
