package dsr

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// openerTimeout is how long a flow whose opener was not answered is kept. Callers give
	// up after 1.4 s.
	openerTimeout = 2 * time.Second
	// closedFlowRetention is how long a closed flow is kept to recognize late duplicates
	// of its packets.
	closedFlowRetention = 5 * time.Second
	// defaultIdleTimeout applies until a configuration sets the idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// defaultRequestTimeout applies to routes without a timeout of their own.
	defaultRequestTimeout = 5 * time.Second
	// sendWindowBytes is the number of bytes that an endpoint may have unacknowledged: 16
	// packets of 1,200 bytes. A caller that sends more has received acknowledgements.
	sendWindowBytes = 16 * 1200
	// activeRatioSmoothingFactor is the weight of one tick in routeUsage.activeRatio.
	activeRatioSmoothingFactor = 0.05
)

// flow is the state of a flow as this balancer has seen it from the caller's packets.
type flow struct {
	route  *Route
	target *Target
	// tried holds the targets that did not answer the opener.
	tried         []*Target
	openerSeq     uint32
	openedAt      time.Time
	lastSeen      time.Time
	refusalReason Reason // empty unless the opener was refused
	established   bool
	closed        bool

	// nextSeq is the sequence number after the last byte that the caller sent,
	// lastSentAt the time of the latest new bytes.
	nextSeq    uint32
	lastSentAt time.Time
	// lastRetransmissionAt is when a packet of the flow last counted as a retransmission.
	lastRetransmissionAt time.Time
	// requestStartSeq is the sequence number of the first byte of the in-flight request.
	// During an upload it advances with the send window.
	requestStartSeq uint32
	// openerRetransmitted is set when the caller has retransmitted its opener.
	openerRetransmitted bool
	ackedSeq            uint32
	inFlight            bool
	requestStartedAt    time.Time
	// madeProgress is set by recordPacket when the packet proves that the target is
	// alive, responseAcked when it acknowledges new bytes of a response.
	madeProgress  bool
	responseAcked bool

	// caller is the address of the caller.
	caller [4]byte
	// responseStartSeq is the sequence number of the first byte of the response that is
	// being measured, if responseExpected is set. completedBytes is the size of the last
	// response, 0 if it has been recorded.
	responseStartSeq uint32
	completedBytes   uint32
	responseExpected bool
}

// openFlow adds a flow for an opener that is forwarded.
func (d *Dispatcher) openFlow(now time.Time, p Packet, route *Route, t *Target) {
	f := &flow{route: route, openerSeq: p.Seq, nextSeq: p.Seq + 1, lastSentAt: now}
	d.loss.recordSent()
	if d.insertFlow(now, p.Flow, f) {
		f.setTarget(t)
		f.startRequest(now, p.Seq+1)
	}
}

// adoptFlow adds a flow that another balancer opened. It returns nil if the table is full.
func (d *Dispatcher) adoptFlow(now time.Time, p Packet, route *Route, t *Target) *flow {
	f := &flow{route: route, established: true, nextSeq: p.Seq, lastSentAt: now, ackedSeq: p.Ack}
	if !d.insertFlow(now, p.Flow, f) {
		return nil
	}
	f.setTarget(t)
	return f
}

// insertFlow inserts a flow into the table and reports whether there was room. Flows
// that are not in the table are routed by their tokens but not tracked.
func (d *Dispatcher) insertFlow(now time.Time, key protocol.FlowKey, f *flow) bool {
	f.openedAt, f.lastSeen = now, now
	if old := d.flows[key]; old != nil {
		d.removeFlow(key, old)
	}
	if len(d.flows) >= d.options.FlowCapacity {
		return false
	}
	d.flows[key] = f
	if d.options.LearnsFromRejections {
		f.caller = key.Caller.IP
		if f.route.usage.callers == nil {
			f.route.usage.callers = &callerCounts{flows: make(map[[4]byte]int)}
		}
	}
	return true
}

// removeFlow removes a flow from the table and from the counters of its target and route.
func (d *Dispatcher) removeFlow(key protocol.FlowKey, f *flow) {
	f.finishRequest()
	f.setTarget(nil)
	if d.flows[key] == f {
		delete(d.flows, key)
	}
}

// setTarget moves the flow to another target, or to none, and updates the counters of
// both targets and of the route.
func (f *flow) setTarget(t *Target) {
	if f.target == t {
		return
	}
	f.countAtTarget(-1)
	f.target = t
	f.countAtTarget(1)
}

// countAtTarget adds n times the flow to the counters of its target, if there is one, and of its
// route.
func (f *flow) countAtTarget(n int) {
	if f.target == nil {
		return
	}
	f.target.openFlows += n
	f.route.usage.openFlows += n
	f.countCaller(n)
	if f.closed {
		f.target.closedFlows += n
	}
	if f.inFlight {
		f.countInFlight(n)
	}
}

// startRequest counts an in-flight request. startSeq is the sequence number of its first byte.
func (f *flow) startRequest(now time.Time, startSeq uint32) {
	f.requestStartSeq = startSeq
	f.requestStartedAt = now
	if f.inFlight || f.target == nil {
		return
	}
	f.inFlight = true
	f.route.usage.inFlight++
	f.countInFlight(1)
}

// countInFlight adds n to the in-flight requests of the flow's target, if there is one, and to
// those of the route that are elsewhere.
func (f *flow) countInFlight(n int) {
	if f.target == nil {
		return
	}
	f.target.inFlight += n
	if f.target.isElsewhere {
		f.route.usage.inFlightElsewhere += n
	}
}

// finishRequest ends the in-flight request, if there is one.
func (f *flow) finishRequest() {
	if !f.inFlight {
		return
	}
	f.inFlight = false
	f.route.usage.inFlight--
	f.countInFlight(-1)
}

// markClosed records that the caller has closed the flow.
func (f *flow) markClosed() {
	f.finishRequest()
	if f.closed {
		return
	}
	f.closed = true
	if f.target != nil {
		f.target.closedFlows++
	}
}

// recordPacket updates the flow with the sequence numbers of a packet. It reports
// whether the packet retransmits bytes that the caller sent before.
func (f *flow) recordPacket(now time.Time, p Packet) (retransmitted bool) {
	f.madeProgress, f.responseAcked = false, false
	switch {
	case !f.established:
		f.established, f.madeProgress = true, true
		f.ackedSeq = p.Ack
		f.startResponse()
	case seqAfter(p.Ack, f.ackedSeq):
		f.ackedSeq, f.madeProgress, f.responseAcked = p.Ack, true, true
		f.finishRequest()
	}
	end := p.endSeq()
	if !seqAfter(end, f.nextSeq) {
		return p.Bytes > 0 && !f.madeProgress
	}
	if !f.inFlight && p.Bytes > 0 {
		f.startRequest(now, p.Seq)
		f.startResponse()
	}
	if f.nextSeq == f.openerSeq+1 && p.Bytes > 0 {
		f.requestStartedAt = now // exclude the handshake from the time of the first request
	}
	if seqAfter(end, f.requestStartSeq+sendWindowBytes) && f.inFlight {
		f.madeProgress = true
		f.requestStartSeq = end - sendWindowBytes
	}
	f.nextSeq, f.lastSentAt = end, now
	return false
}

// Tick expires flows and in-flight requests, and updates limits and moving averages.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := now.Sub(d.lastTickAt)
	d.lastTickAt = now
	d.loss.decay(elapsed)
	d.updateLimits(elapsed)
	idleTimeout := d.routes.idleTimeout
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	d.expireUnroutedFlows(now, idleTimeout)
	for _, t := range d.targets.byID {
		t.idleFlowLoad = 0
	}
	for key, f := range d.flows {
		timeout := f.route.Timeout
		if timeout == 0 {
			timeout = defaultRequestTimeout
		}
		if f.inFlight && now.Sub(f.requestStartedAt) > timeout {
			f.finishRequest()
		}
		idleFor := now.Sub(f.lastSeen)
		if d.options.LearnsFromRejections && f.responseExpected && !f.inFlight && idleFor >= responseQuietTime {
			f.endResponse()
			d.recordResponseSize(f)
		}
		openerExpired := !f.established && f.refusalReason == "" && now.Sub(f.openedAt) > openerTimeout
		if openerExpired || idleFor > idleTimeout || (f.closed || f.refusalReason != "") && idleFor > closedFlowRetention || d.exceedsLifetime(now, f.openedAt, idleTimeout) {
			d.removeFlow(key, f)
			continue
		}
		if !f.inFlight && !f.closed && f.target != nil {
			f.target.idleFlowLoad += f.route.usage.activeRatio
		}
	}
	for _, r := range d.routes.current {
		if r.usage.openFlows > 0 {
			r.usage.activeRatio += activeRatioSmoothingFactor * (float64(r.usage.inFlight)/float64(r.usage.openFlows) - r.usage.activeRatio)
		}
	}
	d.updateSharing(now, elapsed)
}
