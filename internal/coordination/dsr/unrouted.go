package dsr

import "time"

// Resets of flows whose route was removed. The routes here may be older than those under which
// another balancer opened a flow: the route may be in force again. A flow is therefore reset only
// if it is known to be older than the removal.

// maxUnroutedFlows limits the flows of removed routes that are tracked. It exceeds the number of
// flows per balancer that defaultFlowCapacity is derived from. Packets of further flows are dropped.
const maxUnroutedFlows = defaultFlowCapacity / 4

// unroutedFlow is a flow that is not in the flow table and whose route was removed.
type unroutedFlow struct {
	firstSeen time.Time
	lastSeen  time.Time
	position  sequencePosition
	// predatesRemoval is set once the flow is known to be older than the removal of its route.
	predatesRemoval bool
}

// sequencePosition is how far a flow has come. It distinguishes a flow from another one for which
// the caller reuses the port, because both ends choose their first sequence numbers at random.
type sequencePosition struct {
	nextSeq    uint32
	ackedSeq   uint32
	ackedKnown bool
}

// matches reports whether a packet is close enough to the position to belong to the flow. Packets
// of a flow that has come further at other balancers do not match; their reset is then delayed.
func (s sequencePosition) matches(p Packet) bool {
	return withinSendWindow(p.Seq, s.nextSeq) && (p.Opener || !s.ackedKnown || withinSendWindow(p.Ack, s.ackedSeq))
}

// withinSendWindow reports whether two sequence numbers are at most sendWindowBytes apart.
func withinSendWindow(a, b uint32) bool {
	return !seqAfter(a, b+sendWindowBytes) && !seqAfter(b, a+sendWindowBytes)
}

// advance updates the position with a packet that matches it.
func (s *sequencePosition) advance(p Packet) {
	if seqAfter(p.endSeq(), s.nextSeq) {
		s.nextSeq = p.endSeq()
	}
	if !p.Opener && (!s.ackedKnown || seqAfter(p.Ack, s.ackedSeq)) {
		s.ackedSeq, s.ackedKnown = p.Ack, true
	}
}

// includes reports whether a packet may belong to the flow, not to a later one of the same port.
func (f *flow) includes(p Packet) bool {
	if f.refusalReason != "" || f.closed && seqAfter(p.endSeq(), f.nextSeq) {
		return false
	}
	return sequencePosition{f.nextSeq, f.ackedSeq, f.established}.matches(p)
}

// handleRemovedRoute returns the decision for a packet of a flow that may be open and whose route
// was removed. The flow is older than the removal if it is in the flow table, where no flow is
// inserted while the route is missing, or if the routes, which still lack the route, matched the
// store after the flow was first seen here.
func (d *Dispatcher) handleRemovedRoute(now time.Time, p Packet) Decision {
	u := d.trackUnroutedFlow(now, p)
	if f := d.flows[p.Flow]; f != nil && f.includes(p) {
		d.removeFlow(p.Flow, f)
		u.predatesRemoval = true
	}
	if d.targets.asOf.After(u.firstSeen) {
		u.predatesRemoval = true
	}
	if !u.predatesRemoval {
		return Decision{Reason: ReasonRemovalUnconfirmed}
	}
	return Decision{Action: ActionReset, Reason: ReasonRouteRemoved}
}

// trackUnroutedFlow returns the flow of a packet, which counts as first seen now if it is not
// tracked yet. It is not added if too many flows are tracked.
func (d *Dispatcher) trackUnroutedFlow(now time.Time, p Packet) *unroutedFlow {
	u := d.unroutedFlows[p.Flow]
	isTracked := u != nil
	if !isTracked || !u.position.matches(p) {
		u = &unroutedFlow{firstSeen: now, position: sequencePosition{nextSeq: p.Seq}}
	}
	u.lastSeen = now
	u.position.advance(p)
	if isTracked || len(d.unroutedFlows) < maxUnroutedFlows {
		d.unroutedFlows[p.Flow] = u
	}
	return u
}

// expireUnroutedFlows removes the flows that must have ended by now.
func (d *Dispatcher) expireUnroutedFlows(now time.Time, idleTimeout time.Duration) {
	for key, u := range d.unroutedFlows {
		if now.Sub(u.lastSeen) > idleTimeout || d.exceedsLifetime(now, u.firstSeen, idleTimeout) {
			delete(d.unroutedFlows, key)
		}
	}
}

// exceedsLifetime reports whether a flow that was first seen at the given time must have ended.
func (d *Dispatcher) exceedsLifetime(now, firstSeen time.Time, idleTimeout time.Duration) bool {
	return now.Sub(firstSeen) > d.options.MaxFlowLifetime+idleTimeout
}
