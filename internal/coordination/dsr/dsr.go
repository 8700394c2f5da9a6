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
	Place  string
	Places int
	// FlowLife is the longest life of a flow.
	FlowLife time.Duration
	// FlowCapacity bounds the flow table.
	FlowCapacity int
	// DeadTime is how long after its last unanswered packet a target is taken for
	// dead. It must be shorter than the time after which a disturbance counts as
	// over, so that idle flows survive a cut that has healed.
	DeadTime time.Duration
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
	answeredTo time.Time
	loss       lossEstimator
	// loads are the loads of the services that have answered, by service.
	loads map[string]Load
	// peers is the number of balancers of the place, 0 while it is not known.
	peers    int
	tickedAt time.Time
	// readyC is closed once routes and targets are known.
	readyC chan struct{}
	// evidenceFrom is the time before which packets prove nothing, because the process did not run.
	evidenceFrom time.Time
}

// NewDispatcher makes a dispatcher without routes and targets.
func NewDispatcher(o Options) *Dispatcher {
	if o.FlowCapacity == 0 {
		o.FlowCapacity = defaultFlowCapacity
	}
	if o.DeadTime == 0 {
		o.DeadTime = defaultDeadTime
	}
	return &Dispatcher{
		options: o,
		routes:  newRouteTable(),
		targets: newRegistry(o.FlowLife),
		loads:   make(map[string]Load),
		flows:   make(map[protocol.FlowKey]*flow),
		readyC:  make(chan struct{}),
	}
}

// Ready returns a channel that is closed once routes and targets are known.
func (d *Dispatcher) Ready() <-chan struct{} { return d.readyC }

func (d *Dispatcher) ready() bool { return d.routes.version > 0 && d.targets.listed }

// noteReady closes the channel of Ready when the last missing part has arrived.
func (d *Dispatcher) noteReady() {
	select {
	case <-d.readyC:
	default:
		if d.ready() {
			close(d.readyC)
		}
	}
}

// SetRoutes puts a version of the configuration in force, unless it is not newer than the present one.
func (d *Dispatcher) SetRoutes(set RouteSet) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	adopted := d.routes.adopt(set)
	kind := EventRoutesAdopted
	if !adopted {
		kind = EventRoutesIgnored
	}
	d.events = append(d.events, Event{Kind: kind, Revision: set.Version})
	d.noteReady()
	return adopted
}

// Observe takes a complete reading of the announcements.
func (d *Dispatcher) Observe(now time.Time, l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, d.targets.observe(now, l)...)
	d.noteReady()
}

// StoreLost tells that the store does not answer.
func (d *Dispatcher) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets.storeLost()
}

// StoreBack tells that the store answers.
func (d *Dispatcher) StoreBack(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets.storeBack(now)
}

// Freeze tells that the process did not run until now. Silence before proves nothing.
func (d *Dispatcher) Freeze(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evidenceFrom = now
	d.events = append(d.events, Event{Kind: EventFreeze})
}

// TakeEvents returns the changes since the last call.
func (d *Dispatcher) TakeEvents() []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	events := d.events
	d.events = nil
	for i := range events {
		if t := events[i].target; t != nil {
			events[i].About = t.Announcement
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
	g := Gauges{Flows: len(d.flows), RoutesVersion: d.routes.version, Revision: d.targets.revision, LossShare: d.loss.lossRate()}
	for _, targets := range d.targets.services {
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
	decide := d.established
	if p.Opener {
		decide = d.opener
	}
	decision := decide(now, p)
	decision.Version = d.routes.version
	decision.ListingAge = now.Sub(d.targets.listedAt)
	if t := decision.target; t != nil {
		decision.To, decision.Token = t.Announcement, t.Token
	}
	return decision
}

// opener decides about the first packet of a flow or a copy of it.
func (d *Dispatcher) opener(now time.Time, p Packet) Decision {
	if p.Bytes > 0 {
		return Decision{Reason: ReasonOpenerBytes}
	}
	route := d.routes.current[p.Flow.Service]
	if route == nil {
		return Decision{Action: ActionReset, Reason: ReasonNoRoute}
	}
	f := d.flows[p.Flow]
	if f != nil && f.openerSeq == p.Seq && f.established {
		return Decision{Action: ActionForward, Reason: ReasonRepeated, target: f.target, Route: route}
	}
	if f != nil && f.openerSeq == p.Seq {
		return d.repeated(now, p, route, f)
	}
	if f != nil {
		d.removeFlow(p.Flow, f) // the caller uses its port again
	}
	if load, over := d.overLimit(route, state.FlowHash(p.Flow)); over && p.Copy == 0 {
		refusal := d.refuse(now, p, route, ReasonOverload)
		refusal.Running, refusal.Limit = load.InFlight, load.Limit
		return refusal
	}
	t := d.choose(now, route, state.FlowHash(p.Flow), nil)
	if t == nil && p.Copy > 0 {
		// Another balancer may have forwarded the first copy, so a reset might not be true.
		return Decision{Reason: ReasonNoOtherTarget, Route: route}
	}
	if t == nil {
		return d.refuse(now, p, route, ReasonNoTarget)
	}
	running := t.running
	d.openFlow(now, p, route, t)
	return Decision{Action: ActionForward, Reason: ReasonAdmitted, target: t, Route: route, Running: running}
}

// refuse resets an opener and remembers it, so that its copies are reset too.
func (d *Dispatcher) refuse(now time.Time, p Packet, route *Route, reason Reason) Decision {
	d.insertFlow(now, p.Flow, &flow{route: route, openerSeq: p.Seq, refusalReason: reason})
	return Decision{Action: ActionReset, Reason: reason, Route: route}
}

// repeated decides about a copy of an opener that this balancer has seen before.
func (d *Dispatcher) repeated(now time.Time, p Packet, route *Route, f *flow) Decision {
	if f.refusalReason != "" {
		return Decision{Action: ActionReset, Reason: f.refusalReason, Route: route}
	}
	f.openerRetransmitted = true
	d.unansweredOpener(now, f)
	silence := f.target.health.silence(now)
	if f.target.usable() && !f.target.health.suspected() && !f.target.full(now) {
		return Decision{Action: ActionForward, Reason: ReasonRepeated, target: f.target, Route: route, Silence: silence}
	}
	f.tried = append(f.tried, f.target)
	t := d.choose(now, route, state.FlowHash(p.Flow), f.tried)
	if t == nil && !f.target.usable() {
		return Decision{Reason: ReasonNoOtherTarget, Route: route}
	}
	if t == nil {
		return Decision{Action: ActionForward, Reason: ReasonRepeated, target: f.target, Route: route, Silence: silence}
	}
	f.setTarget(t)
	return Decision{Action: ActionForward, Reason: ReasonRetried, target: t, Route: route, Silence: silence}
}

// established decides about a packet of a flow whose opener was answered.
func (d *Dispatcher) established(now time.Time, p Packet) Decision {
	route := d.routes.current[p.Flow.Service]
	if route == nil {
		if !d.routes.removed(p.Flow.Service) {
			return Decision{Reason: ReasonUnknownRoute}
		}
		d.removeFlowByKey(p.Flow)
		return Decision{Action: ActionReset, Reason: ReasonRouteRemoved}
	}
	t := d.targets.byToken[p.Token]
	f := d.flows[p.Flow]
	if t == nil && f != nil && f.refusalReason == "" {
		t = f.target // the caller has not received a packet of the target with its token
	}
	if t == nil {
		return Decision{Reason: ReasonUnknownToken, Route: route}
	}
	if !d.routes.allows(p.Flow.Service, t.Service) {
		return Decision{Reason: ReasonForeignToken, Route: route}
	}
	return d.follow(now, p, route, t, f)
}

// follow notes what a packet tells about its target, and resets the flow when the target is dead.
func (d *Dispatcher) follow(now time.Time, p Packet, route *Route, t *Target, f *flow) Decision {
	forward := Decision{Action: ActionForward, Reason: ReasonToken, target: t, Route: route}
	if f == nil || f.refusalReason != "" {
		f = d.adoptFlow(now, p, route, t)
	}
	if f == nil {
		return forward
	}
	f.setTarget(t)
	f.lastSeen = now
	if p.Abort {
		d.removeFlow(p.Flow, f)
		return forward
	}
	sent, from, running := f.lastSentAt, f.requestStartedAt, f.inFlight
	opening := !f.established && !f.openerRetransmitted
	repeated := f.recordPacket(now, p)
	if opening {
		d.recordHandshake(now, t, f.openedAt)
	}
	if p.Bytes > 0 && !repeated && !running {
		d.loss.recordSent()
	}
	if f.madeProgress {
		d.recordSuccess(now, t, sent)
	}
	if running && f.responseAcked {
		forward.Answered = now.Sub(from)
		d.recordResponse(now, t, route, from)
	}
	if repeated {
		d.recordUnanswered(now, f, t, f.lastSentAt)
	}
	if reason, reset := d.resetReason(now, t, p); reset {
		silence := t.health.silence(now)
		d.removeFlow(p.Flow, f)
		return Decision{Action: ActionReset, Reason: reason, target: t, Route: route, Silence: silence}
	}
	if p.Fin {
		f.markClosed()
	}
	return forward
}
