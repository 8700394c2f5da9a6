package dsr

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// openTime is how long a flow is kept whose opener was not answered. Callers give
	// up after 1.4 s.
	openTime = 2 * time.Second
	// closedTime is how long a closed flow is kept to recognise late copies of its packets.
	closedTime = 5 * time.Second
	// defaultIdle is used until a configuration gives the idle timeout.
	defaultIdle = 15 * time.Second
	// defaultTimeout bounds a request of a route that states no timeout.
	defaultTimeout = 5 * time.Second
	// windowBytes is what an end may have in flight: 16 packets of 1,200 bytes. A
	// caller that sends beyond has received acknowledgements.
	windowBytes = 16 * 1200
	// activityWeight is the weight of one tick in the moving average of a route's activity.
	activityWeight = 0.05
)

// flow is what this balancer has seen of a flow.
type flow struct {
	route  *Route
	target *Target
	// tried are the targets that left the opener unanswered.
	tried     []*Target
	openerSeq uint32
	openedAt  time.Time
	lastSeen  time.Time
	refused   Reason // empty unless the opener was refused
	confirmed bool
	closed    bool

	// sent is the sequence number after the last byte that the caller sent,
	// sentAt the time of the latest new bytes.
	sent   uint32
	sentAt time.Time
	// struckAt is when an unanswered packet of the flow last counted against its target.
	struckAt time.Time
	// requestFrom is the sequence number at which the request in progress began.
	requestFrom uint32
	// copied is set when the caller sent its opener again.
	copied      bool
	acked       uint32
	running     bool
	runningFrom time.Time
	// progressed is set by note when the packet proves that the target lives,
	// answered when it acknowledges an answer.
	progressed bool
	answered   bool
}

// open adds a flow for an opener that is forwarded.
func (d *Dispatcher) open(now time.Time, p Packet, route *Route, t *Target) {
	f := &flow{route: route, openerSeq: p.Seq, sent: p.Seq + 1, sentAt: now}
	d.loss.sent()
	if d.add(now, p.Flow, f) {
		f.move(t)
		f.start(now, p.Seq+1)
	}
}

// join adds a flow that another balancer opened. It returns nil when the table is full.
func (d *Dispatcher) join(now time.Time, p Packet, route *Route, t *Target) *flow {
	f := &flow{route: route, confirmed: true, sent: p.Seq, sentAt: now, acked: p.Ack}
	if !d.add(now, p.Flow, f) {
		return nil
	}
	f.move(t)
	return f
}

// add puts a flow into the table and reports whether it fits. Other flows are
// routed by their tokens but not followed.
func (d *Dispatcher) add(now time.Time, key protocol.FlowKey, f *flow) bool {
	f.openedAt, f.lastSeen = now, now
	if old := d.flows[key]; old != nil {
		d.remove(key, old)
	}
	if len(d.flows) >= d.options.FlowCapacity {
		return false
	}
	d.flows[key] = f
	return true
}

func (d *Dispatcher) removeKey(key protocol.FlowKey) {
	if f := d.flows[key]; f != nil {
		d.remove(key, f)
	}
}

// remove takes a flow from the table and from the counts.
func (d *Dispatcher) remove(key protocol.FlowKey, f *flow) {
	f.finish()
	f.move(nil)
	if d.flows[key] == f {
		delete(d.flows, key)
	}
}

// move counts the flow at another target.
func (f *flow) move(t *Target) {
	if f.target == t {
		return
	}
	if f.target != nil {
		f.target.openFlows--
		f.route.usage.openFlows--
		if f.closed {
			f.target.closedFlows--
		}
		if f.running {
			f.target.inFlight--
		}
	}
	if t != nil {
		t.openFlows++
		f.route.usage.openFlows++
		if f.closed {
			t.closedFlows++
		}
		if f.running {
			t.inFlight++
		}
	}
	f.target = t
}

// start counts a request in progress.
func (f *flow) start(now time.Time, from uint32) {
	f.requestFrom = from
	f.runningFrom = now
	if f.running || f.target == nil {
		return
	}
	f.running = true
	f.target.inFlight++
	f.route.usage.inFlight++
}

// finish ends the request in progress.
func (f *flow) finish() {
	if !f.running {
		return
	}
	f.running = false
	f.route.usage.inFlight--
	if f.target != nil {
		f.target.inFlight--
	}
}

// close notes that the caller has closed the flow.
func (f *flow) close() {
	f.finish()
	if f.closed {
		return
	}
	f.closed = true
	if f.target != nil {
		f.target.closedFlows++
	}
}

// note takes the sequence numbers of a packet. It reports whether the packet
// repeats bytes that the caller sent before.
func (f *flow) note(now time.Time, p Packet) (repeated bool) {
	f.progressed, f.answered = false, false
	switch {
	case !f.confirmed:
		f.confirmed, f.progressed = true, true
		f.acked = p.Ack
	case seqAfter(p.Ack, f.acked):
		f.acked, f.progressed, f.answered = p.Ack, true, true
		f.finish()
	}
	end := p.endSeq()
	if !seqAfter(end, f.sent) {
		return p.Bytes > 0 && !f.progressed
	}
	if !f.running && p.Bytes > 0 {
		f.start(now, p.Seq)
	}
	if f.sent == f.openerSeq+1 && p.Bytes > 0 {
		f.runningFrom = now // the handshake is no part of the first request
	}
	if seqAfter(end, f.requestFrom+windowBytes) && f.running {
		f.progressed = true
		f.requestFrom = end - windowBytes
	}
	f.sent, f.sentAt = end, now
	return false
}

// Tick expires flows and updates the moving averages.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := now.Sub(d.lastTickAt)
	d.lastTickAt = now
	d.loss.fade(elapsed)
	d.adjustLimits(elapsed)
	idle := d.routes.idleTimeout
	if idle == 0 {
		idle = defaultIdle
	}
	for _, t := range d.targets.byID {
		t.idleFlowLoad = 0
	}
	for key, f := range d.flows {
		limit := f.route.Timeout
		if limit == 0 {
			limit = defaultTimeout
		}
		if f.running && now.Sub(f.runningFrom) > limit {
			f.finish()
		}
		quiet := now.Sub(f.lastSeen)
		unopened := !f.confirmed && f.refused == "" && now.Sub(f.openedAt) > openTime
		if unopened || quiet > idle || (f.closed || f.refused != "") && quiet > closedTime || now.Sub(f.openedAt) > d.options.MaxFlowLifetime+idle {
			d.remove(key, f)
			continue
		}
		if !f.running && !f.closed && f.target != nil {
			f.target.idleFlowLoad += f.route.usage.activeRatio
		}
	}
	for _, r := range d.routes.current {
		if r.usage.openFlows > 0 {
			r.usage.activeRatio += activityWeight * (float64(r.usage.inFlight)/float64(r.usage.openFlows) - r.usage.activeRatio)
		}
	}
}
