package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// newFlowTime is how long after its start the return packets of a flow pass
	// through the owner, which infers from them when the request is finished.
	newFlowTime = 5 * time.Second
	// burstGap is the gap between packets of a new flow at a balancer after which
	// the next packet passes through the owner. Further packets of the same burst
	// carry no additional information for the owner and are returned directly.
	burstGap = 3 * time.Millisecond
)

// handleTargetPacket handles a packet from a target to a caller. The target alone
// determines the address of the service, so any balancer can return the packet.
func (d *Dispatcher) handleTargetPacket(c *packetContext) Decision {
	if d.options.Variant == VariantHash {
		return d.returnToCaller(c)
	}
	d.loadEntry(c)
	owner := c.shard.owner()
	if c.shard.role != roleOwner && c.mayRelay(owner) && d.needsOwner(c) {
		d.learnBeforeRelay(c)
		return relay(owner, ReasonToOwner)
	}
	staleBinding := c.shard.role != roleNone && (!c.isAuthoritative() || c.entry.Epoch != c.shard.epoch)
	if c.isOwner() && c.isAuthoritative() && !c.entry.Has(state.FlagClosed) && c.mayAnswerOtherOpener() {
		if c.service.Protocol == objects.ProtocolTCP && c.isOpenerAnswer() {
			d.recordCompetingAnswer(c)
		}
		return d.returnToCaller(c)
	}
	before := c.entry
	r := d.processReturn(c)
	decision := d.routeReturn(c, r, staleBinding)
	if c.isOwner() {
		decision.ResetTarget = c.targetToReset(&before, r)
	}
	return decision
}

// routeReturn decides where a return packet goes after processReturn. If r is not
// empty, the packet is dropped for that reason; otherwise it is relayed to the backup
// or a third balancer, or returned to the caller. staleBinding is set when this owner
// or backup had no entry from the time since the latest change of owner or backup.
func (d *Dispatcher) routeReturn(c *packetContext, r Reason, staleBinding bool) Decision {
	if r != "" {
		return drop(r)
	}
	backup := c.shard.backup()
	needsBackup := c.isOpenerAnswer() || isEnd(c.in.Packet.Kind) || staleBinding
	if c.shard.role == roleOwner && needsBackup && d.usesBackup() && c.mayRelay(backup) {
		return relay(backup, ReasonToBackup)
	}
	if third := c.shard.memberAt(2); c.needsThirdReplica() && d.usesBackup() && c.mayRelay(third) {
		return relay(third, ReasonToThird)
	}
	return d.returnToCaller(c)
}

// needsThirdReplica reports whether only owner and backup have seen an answer,
// because it arrived at one of them from the fabric. Both may fail at once, so a
// third balancer must learn the flow as well.
func (c *packetContext) needsThirdReplica() bool {
	owner, backup := c.shard.owner(), c.shard.backup()
	if !c.isOpenerAnswer() || owner == nil || backup == nil {
		return false
	}
	if c.shard.role == roleOwner {
		return c.in.From == backup.DataAddress
	}
	return c.shard.role == roleBackup && c.in.From == owner.DataAddress
}

// returnToCaller returns the decision to send the packet to the caller, with the
// address of the service as its source.
func (d *Dispatcher) returnToCaller(c *packetContext) Decision {
	return Decision{Action: ActionReturn, Endpoint: c.service.Address.Endpoint, Reason: ReasonReturn}
}

// needsOwner reports whether a return packet must pass through the owner: opener
// answers, FINs and aborts, the first packet of each burst of a new flow, and the
// first packet of a flow after a change of owner or backup.
func (d *Dispatcher) needsOwner(c *packetContext) bool {
	if c.isOpenerAnswer() || isEnd(c.in.Packet.Kind) {
		return true
	}
	if d.options.Variant == VariantBounded {
		return false
	}
	if !c.known || c.entry.Has(state.FlagUnverified) || c.entry.Epoch != c.shard.epoch {
		return true
	}
	isNew := c.stamp.Since(c.entry.Created) < newFlowTime
	return isNew && c.in.Packet.PayloadBytes > 0 && c.stamp.Since(c.entry.LastSeen) >= burstGap
}

// learnBeforeRelay learns from a packet that is about to be relayed to the owner.
// The backup processes it in full. At any other balancer an answer creates only an
// unverified binding and an abort has no effect, because the owner processes it first.
func (d *Dispatcher) learnBeforeRelay(c *packetContext) {
	if c.shard.role == roleBackup {
		d.processReturn(c)
		return
	}
	if c.isOpenerAnswer() {
		d.learnUnverified(c)
		return
	}
	if isAbort(c.in.Packet.Kind) {
		return
	}
	if c.in.Packet.Kind == protocol.KindFIN {
		if c.known && c.entry.Target == c.in.Packet.Source {
			d.recordEnd(c, state.FlagTargetFin)
			d.storeEntry(c)
		}
		return
	}
	d.learnWeak(c)
}

// learnWeak binds the flow to the sender of a return packet at a balancer that is
// neither owner nor backup.
func (d *Dispatcher) learnWeak(c *packetContext) {
	if !d.canLearn(c) {
		return
	}
	d.bindWeak(c)
	d.storeEntry(c)
}

// learnUnverified stores the target of an answer that the owner has not processed
// yet as an unverified binding. Caller packets are not sent there while the owner is
// reachable; the binding is a fallback for the loss of owner and backup. Without
// it, no other balancer would know a flow that is idle after its handshake.
func (d *Dispatcher) learnUnverified(c *packetContext) {
	if c.known || !d.canLearn(c) {
		return
	}
	c.entry = state.Entry{Target: c.in.Packet.Source, Flags: state.FlagUnverified, Created: c.stamp, Epoch: c.shard.epoch}
	d.storeEntry(c)
}

// canLearn reports whether the variant learns from return packets and the flow
// table has room for the flow.
func (d *Dispatcher) canLearn(c *packetContext) bool {
	return d.options.Variant != VariantNoLearn && d.options.Variant != VariantBounded && d.hasRoomToLearn(c)
}

// bindWeak updates the entry by a return packet without authority over the flow.
// Another target, or payload on a closed flow, starts a new entry.
func (d *Dispatcher) bindWeak(c *packetContext) {
	e := &c.entry
	resumed := e.Has(state.FlagClosed) && c.in.Packet.PayloadBytes > 0
	if !c.known || e.Target != c.in.Packet.Source || resumed {
		d.uncountFlow(c.service, c.flow, e)
		c.entry = state.Entry{Target: c.in.Packet.Source, Created: c.stamp}
	}
	if e.Has(state.FlagUnverified) || !e.Has(state.FlagAnswerTag) {
		d.updateAnswerTag(c)
	}
	if c.in.Packet.PayloadBytes > 0 {
		e.Set(state.FlagReturnPayload | state.FlagAnswered)
	}
	e.Epoch = c.shard.epoch
}

// processReturn updates the entry by a return packet. It returns the reason for
// dropping the packet, or an empty reason when the packet is sent on.
func (d *Dispatcher) processReturn(c *packetContext) Reason {
	e := &c.entry
	switch {
	case c.shard.role == roleNone:
		return d.processWeakReturn(c)
	case !c.known || !e.HasTarget():
		return d.processUnboundReturn(c)
	case e.Target == c.in.Packet.Source && c.answersNextConnection():
		d.bindToSource(c)
		return ""
	case e.Target == c.in.Packet.Source:
		return d.processBoundReturn(c)
	case !c.isAuthoritative() || c.cameViaOwner():
		return d.processWeakReturn(c)
	}
	return d.resolveConflict(c)
}

// processWeakReturn handles a return packet when this balancer has no
// authoritative binding that contradicts it.
func (d *Dispatcher) processWeakReturn(c *packetContext) Reason {
	if isEnd(c.in.Packet.Kind) {
		return d.processWeakEnd(c)
	}
	if c.shard.role == roleNone {
		d.learnWeak(c)
		return ""
	}
	d.bindToSource(c)
	return ""
}

// processWeakEnd handles the end of a flow without an authoritative binding. An
// end from a target other than the bound one is dropped.
func (d *Dispatcher) processWeakEnd(c *packetContext) Reason {
	if !c.known || !c.entry.HasTarget() {
		return ""
	}
	if c.entry.Target != c.in.Packet.Source {
		return ReasonStrayReset
	}
	d.recordEnd(c, state.FlagTargetFin)
	d.storeEntry(c)
	return ""
}

// processUnboundReturn handles a return packet of a flow that is not bound at this
// owner or backup.
func (d *Dispatcher) processUnboundReturn(c *packetContext) Reason {
	e := &c.entry
	if isAbort(c.in.Packet.Kind) {
		// The reset may be the answer to a packet that was sent to the wrong target,
		// or an owner with another view may have admitted a later opener.
		if e.Has(state.FlagLookupPending|state.FlagRefused) && c.stamp.Since(e.Created) < lookupResetTimeout {
			return ReasonStrayReset
		}
		return ""
	}
	if e.Has(state.FlagRefused) && c.isOpenerAnswer() {
		return ReasonOtherTargetAnswer
	}
	d.bindToSource(c)
	return ""
}

// bindToSource binds the flow to the target that sent a return packet. The binding
// is tentative after an opener answer. Any other packet shows that the connection
// is established, so the binding is confirmed.
func (d *Dispatcher) bindToSource(c *packetContext) {
	e := &c.entry
	d.uncountFlow(c.service, c.flow, e)
	rebound := state.Entry{Target: c.in.Packet.Source, Created: c.stamp, Epoch: c.shard.epoch}
	rebound.Set(state.FlagAnswered)
	if c.known && e.HasTarget() && e.Strength == state.StrengthTentative {
		rebound.OpenerTag = e.OpenerTag
		rebound.Set(e.Flags & state.FlagOpenerTag)
	}
	c.entry = rebound
	c.known = true
	d.countFlow(c)
	if c.isOpenerAnswer() {
		e.Strength = state.StrengthTentative
		d.recordAnswerTags(c)
		d.loadCounts(c).StartRequest(c.now, c.flow, e.Target, c.hasHiddenClose())
		d.loadCounts(c).RecordOpenerAnswer(c.now, c.flow)
	} else {
		e.Strength = state.StrengthConfirmed
		e.Set(state.FlagReturnPayload)
		d.updateAnswerTag(c)
	}
	d.storeEntry(c)
}

// recordAnswerTags stores the tags of an opener answer in the entry.
func (d *Dispatcher) recordAnswerTags(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	if tag, ok := c.answerTag(); ok {
		e.AnswerTag = tag
		e.Set(state.FlagAnswerTag)
	}
	if c.service.Protocol == objects.ProtocolTCP && !e.Has(state.FlagOpenerTag) && p.SourceTag != 0 {
		e.OpenerTag = p.SourceTag
		e.Set(state.FlagOpenerTag)
	}
	e.Set(state.FlagAnswered)
	if e.Has(state.FlagReopened) {
		e.Clear(state.FlagCallerFin | state.FlagTargetFin | state.FlagReturnPayload)
	}
	e.Clear(state.FlagOpenerFailed | state.FlagReopened | state.FlagUnverified)
}

// processBoundReturn handles a return packet from the bound target.
func (d *Dispatcher) processBoundReturn(c *packetContext) Reason {
	e, p := &c.entry, &c.in.Packet
	switch {
	case c.isOpenerAnswer():
		d.recordAnswer(c)
	case isAbort(p.Kind):
		if r := d.handleTargetReset(c); r != "" {
			return r
		}
	case p.Kind == protocol.KindFIN:
		if !c.endsOtherConnection() {
			d.recordEnd(c, state.FlagTargetFin)
		}
	default:
		d.recordPayload(c)
	}
	if !c.isAuthoritative() && !isEnd(p.Kind) && !c.isOpenerAnswer() {
		e.Strength = state.StrengthConfirmed
	}
	if !e.Has(state.FlagClosed) {
		e.Epoch = c.shard.epoch
		d.countFlow(c)
	}
	d.storeEntry(c)
	return ""
}

// recordAnswer records that the bound target answered the opener.
func (d *Dispatcher) recordAnswer(c *packetContext) {
	e := &c.entry
	if !c.isAuthoritative() {
		e.Strength = state.StrengthTentative
	}
	first := !e.Has(state.FlagAnswered)
	counts := d.loadCounts(c)
	if first || e.Has(state.FlagReopened) {
		counts.Load(e.Target).RecordOpenerSuccess(c.now)
		counts.RecordOpenerAnswer(c.now, c.flow)
	}
	// A late duplicate of the answer must not reset the tag of an established flow.
	if e.Strength != state.StrengthConfirmed || e.Has(state.FlagReopened) {
		d.recordAnswerTags(c)
	}
	if pending, ok := d.serviceState(c.service.Address).pendingOpeners[c.flow]; ok {
		pending.answered = true
	}
}

// recordPayload records that the bound target sent payload.
func (d *Dispatcher) recordPayload(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	if p.PayloadBytes == 0 {
		return
	}
	e.Set(state.FlagReturnPayload | state.FlagAnswered)
	if e.Has(state.FlagUnverified) || !e.Has(state.FlagAnswerTag) {
		d.updateAnswerTag(c)
	}
	if c.service.Protocol != objects.ProtocolQUIC {
		e.Strength = state.StrengthConfirmed
	}
	d.loadCounts(c).RecordReturnPacket(c.now, c.flow, p.PayloadBytes)
}

// handleTargetReset handles a reset from the bound target. At the owner, a reset
// of an unanswered opener is dropped while the caller's next copy of the opener
// can be retried at another target.
func (d *Dispatcher) handleTargetReset(c *packetContext) Reason {
	e := &c.entry
	if e.Has(state.FlagUnverified) || c.endsOtherConnection() {
		return ReasonStrayReset
	}
	if c.isAuthoritative() && isHalfOpen(e) && c.shard.role == roleOwner {
		return d.handleOpenerReset(c)
	}
	d.recordEnd(c, state.FlagTargetFin)
	return ""
}

// handleOpenerReset handles the reset of an unanswered opener at the owner. It
// drops the reset if the retry budget and another target allow a retry;
// otherwise the flow is closed and the caller receives the reset.
func (d *Dispatcher) handleOpenerReset(c *packetContext) Reason {
	pending := d.pendingOpener(c)
	if !c.entry.Has(state.FlagOpenerFailed) {
		d.recordFailedOpener(c, c.entry.Target)
	}
	retries := d.serviceState(c.service.Address).retryLimiter
	if retries.TokensAt(c.now) < 1 || d.chooseTarget(c, append(pending.triedTargets, c.entry.Target)) == nil {
		c.entry.Set(state.FlagClosed)
		d.uncountFlow(c.service, c.flow, &c.entry)
		return ""
	}
	d.storeEntry(c)
	return ReasonOpenerReset
}
