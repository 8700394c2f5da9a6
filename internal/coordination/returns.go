package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// youngTime is how long the return packets of a flow pass through the owner,
	// which infers from them when the request is done.
	youngTime = 5 * time.Second
	// burstGap is the silence at a balancer after which a packet of a young flow
	// passes through the owner. The others of a burst tell it nothing new.
	burstGap = 3 * time.Millisecond
)

// fromTarget decides about a packet of a target. The address of the service
// follows from the target alone, so any balancer can return it.
func (d *Dispatcher) fromTarget(c *packetContext) Decision {
	if d.options.Variant == VariantHash {
		return d.giveBack(c)
	}
	d.find(c)
	owner := c.shard.owner()
	if c.shard.role != roleOwner && c.mayRelay(owner) && d.needsOwner(c) {
		d.learnOnTheWay(c)
		return relay(owner, ReasonToOwner)
	}
	stale := c.shard.role != roleNone && (!c.strong() || c.entry.Epoch != c.shard.epoch)
	if c.isOwner() && c.strong() && !c.entry.Has(state.FlagClosed) && c.maybeOther() {
		if c.service.Protocol == objects.ProtocolTCP && c.isAnswer() {
			d.noteRival(c)
		}
		return d.giveBack(c)
	}
	before := c.entry
	r := d.judge(c)
	decision := d.passBack(c, r, stale)
	if c.isOwner() {
		decision.Cancel = c.loser(&before, r)
	}
	return decision
}

// passBack sends a judged return packet through the backup, or to the caller.
func (d *Dispatcher) passBack(c *packetContext, r Reason, stale bool) Decision {
	if r != "" {
		return drop(r)
	}
	backup := c.shard.backup()
	through := c.isAnswer() || isEnd(c.in.Packet.Kind) || stale
	if c.shard.role == roleOwner && through && d.replicates() && c.mayRelay(backup) {
		return relay(backup, ReasonToBackup)
	}
	if third := c.shard.rank(2); c.needsThird() && d.replicates() && c.mayRelay(third) {
		return relay(third, ReasonToThird)
	}
	return d.giveBack(c)
}

// needsThird reports whether owner and backup alone have seen an answer, because
// one of them received it. Both may fail at once, so a third balancer learns it.
func (c *packetContext) needsThird() bool {
	owner, backup := c.shard.owner(), c.shard.backup()
	if !c.isAnswer() || owner == nil || backup == nil {
		return false
	}
	if c.shard.role == roleOwner {
		return c.in.From == backup.Data
	}
	return c.shard.role == roleBackup && c.in.From == owner.Data
}

func (d *Dispatcher) giveBack(c *packetContext) Decision {
	return Decision{Action: ActionReturn, Endpoint: c.service.Address.Endpoint, Reason: ReasonReturn}
}

// needsOwner reports whether a return packet passes through the owner: opener
// answers, ends, bursts of young flows, and the next packet of a flow after a
// change of owner or backup.
func (d *Dispatcher) needsOwner(c *packetContext) bool {
	if c.isAnswer() || isEnd(c.in.Packet.Kind) {
		return true
	}
	if d.options.Variant == VariantBounded {
		return false
	}
	if !c.known || c.entry.Has(state.FlagUnverified) || c.entry.Epoch != c.shard.epoch {
		return true
	}
	young := c.stamp.Since(c.entry.Created) < youngTime
	return young && c.in.Packet.PayloadBytes > 0 && c.stamp.Since(c.entry.LastSeen) >= burstGap
}

// learnOnTheWay learns from a packet that is relayed to the owner. Answers and
// ends are judged by the owner first.
func (d *Dispatcher) learnOnTheWay(c *packetContext) {
	if c.shard.role == roleBackup {
		d.judge(c)
		return
	}
	if c.isAnswer() {
		d.learnHint(c)
		return
	}
	if isAbort(c.in.Packet.Kind) {
		return
	}
	if c.in.Packet.Kind == protocol.KindFin {
		if c.known && c.entry.Target == c.in.Packet.Source {
			d.markEnd(c, state.FlagTargetFin)
			d.save(c)
		}
		return
	}
	d.learnWeak(c)
}

// learnWeak binds the flow to the target that a balancer without part in the shard sees.
func (d *Dispatcher) learnWeak(c *packetContext) {
	if !d.learns(c) {
		return
	}
	d.bindWeak(c)
	d.save(c)
}

// learnHint remembers the target of an answer that the owner has not judged yet.
// Caller packets do not follow it; it is used when owner and backup are gone.
// Without it, nobody else knows a flow that is silent after its handshake.
func (d *Dispatcher) learnHint(c *packetContext) {
	if c.known || !d.learns(c) {
		return
	}
	c.entry = state.Entry{Target: c.in.Packet.Source, Flags: state.FlagUnverified, Created: c.stamp, Epoch: c.shard.epoch}
	d.save(c)
}

func (d *Dispatcher) learns(c *packetContext) bool {
	return d.options.Variant != VariantNoLearn && d.options.Variant != VariantBounded && d.mayLearn(c)
}

func (d *Dispatcher) bindWeak(c *packetContext) {
	e := &c.entry
	resumed := e.Has(state.FlagClosed) && c.in.Packet.PayloadBytes > 0
	if !c.known || e.Target != c.in.Packet.Source || resumed {
		d.uncount(c.service, c.flow, e)
		c.entry = state.Entry{Target: c.in.Packet.Source, Created: c.stamp}
	}
	if e.Has(state.FlagUnverified) || !e.Has(state.FlagAnswerTag) {
		d.noteSequence(c)
	}
	if c.in.Packet.PayloadBytes > 0 {
		e.Set(state.FlagReturnPayload | state.FlagAnswered)
	}
	e.Epoch = c.shard.epoch
}

// judge learns from a return packet that this balancer sends on, and returns a
// reason when it must be dropped instead.
func (d *Dispatcher) judge(c *packetContext) Reason {
	e := &c.entry
	switch {
	case c.shard.role == roleNone:
		return d.judgeWeak(c)
	case !c.known || !e.HasTarget():
		return d.judgeUnbound(c)
	case e.Target == c.in.Packet.Source && c.answersNext():
		d.adopt(c)
		return ""
	case e.Target == c.in.Packet.Source:
		return d.judgeBound(c)
	case !c.strong() || c.passedOwner():
		return d.judgeWeak(c)
	}
	return d.judgeConflict(c)
}

// judgeWeak handles a return packet where no strong binding stands against it.
func (d *Dispatcher) judgeWeak(c *packetContext) Reason {
	if isEnd(c.in.Packet.Kind) {
		return d.judgeWeakEnd(c)
	}
	if c.shard.role == roleNone {
		d.learnWeak(c)
		return ""
	}
	d.adopt(c)
	return ""
}

func (d *Dispatcher) judgeWeakEnd(c *packetContext) Reason {
	if !c.known || !c.entry.HasTarget() {
		return ""
	}
	if c.entry.Target != c.in.Packet.Source {
		return ReasonWrongGuess
	}
	d.markEnd(c, state.FlagTargetFin)
	d.save(c)
	return ""
}

// judgeUnbound handles a return packet of a flow without a target here.
func (d *Dispatcher) judgeUnbound(c *packetContext) Reason {
	e := &c.entry
	if isAbort(c.in.Packet.Kind) {
		// An owner with another view may have admitted a later opener.
		if e.Has(state.FlagLookupPending|state.FlagRefused) && c.stamp.Since(e.Created) < askTime {
			return ReasonWrongGuess
		}
		return ""
	}
	if e.Has(state.FlagRefused) && c.isAnswer() {
		return ReasonForeignAnswer
	}
	d.adopt(c)
	return ""
}

// adopt binds the flow to the target of a return packet. An answer makes the
// binding tentative; payload proves an established connection.
func (d *Dispatcher) adopt(c *packetContext) {
	e := &c.entry
	d.uncount(c.service, c.flow, e)
	fresh := state.Entry{Target: c.in.Packet.Source, Created: c.stamp, Epoch: c.shard.epoch}
	fresh.Set(state.FlagAnswered)
	if c.known && e.HasTarget() && e.Strength == state.StrengthTentative {
		fresh.OpenerTag = e.OpenerTag
		fresh.Set(e.Flags & state.FlagOpenerTag)
	}
	c.entry = fresh
	c.known = true
	d.count(c)
	if c.isAnswer() {
		e.Strength = state.StrengthTentative
		d.noteAnswer(c)
		d.counts(c).StartRequest(c.now, c.flow, e.Target, c.hidden())
		d.counts(c).RecordOpenerAnswer(c.now, c.flow)
	} else {
		e.Strength = state.StrengthConfirmed
		e.Set(state.FlagReturnPayload)
		d.noteSequence(c)
	}
	d.save(c)
}

// noteAnswer takes the tags of an opener answer into the entry.
func (d *Dispatcher) noteAnswer(c *packetContext) {
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

// judgeBound handles a return packet of the bound target.
func (d *Dispatcher) judgeBound(c *packetContext) Reason {
	e, p := &c.entry, &c.in.Packet
	switch {
	case c.isAnswer():
		d.answered(c)
	case isAbort(p.Kind):
		if r := d.resetByTarget(c); r != "" {
			return r
		}
	case p.Kind == protocol.KindFin:
		if !c.endsOther() {
			d.markEnd(c, state.FlagTargetFin)
		}
	default:
		d.returned(c)
	}
	if !c.strong() && !isEnd(p.Kind) && !c.isAnswer() {
		e.Strength = state.StrengthConfirmed
	}
	if !e.Has(state.FlagClosed) {
		e.Epoch = c.shard.epoch
		d.count(c)
	}
	d.save(c)
	return ""
}

func (d *Dispatcher) answered(c *packetContext) {
	e := &c.entry
	if !c.strong() {
		e.Strength = state.StrengthTentative
	}
	first := !e.Has(state.FlagAnswered)
	counts := d.counts(c)
	if first || e.Has(state.FlagReopened) {
		counts.Load(e.Target).RecordOpenerSuccess(c.now)
		counts.RecordOpenerAnswer(c.now, c.flow)
	}
	// A late duplicate of the answer must not set back the tag of an established flow.
	if e.Strength != state.StrengthConfirmed || e.Has(state.FlagReopened) {
		d.noteAnswer(c)
	}
	if a, ok := d.serviceState(c.service.Address).attempts[c.flow]; ok {
		a.answered = true
	}
}

func (d *Dispatcher) returned(c *packetContext) {
	e, p := &c.entry, &c.in.Packet
	if p.PayloadBytes == 0 {
		return
	}
	e.Set(state.FlagReturnPayload | state.FlagAnswered)
	if e.Has(state.FlagUnverified) || !e.Has(state.FlagAnswerTag) {
		d.noteSequence(c)
	}
	if c.service.Protocol != objects.ProtocolQUIC {
		e.Strength = state.StrengthConfirmed
	}
	d.counts(c).RecordReturnPacket(c.now, c.flow, p.PayloadBytes)
}

// resetByTarget handles a reset of the bound target. A reset of an unanswered
// opener is held back while another target may take the caller's next copy.
func (d *Dispatcher) resetByTarget(c *packetContext) Reason {
	e := &c.entry
	if e.Has(state.FlagUnverified) || c.endsOther() {
		return ReasonWrongGuess
	}
	if c.strong() && halfOpen(e) && c.shard.role == roleOwner {
		return d.openerReset(c)
	}
	d.markEnd(c, state.FlagTargetFin)
	return ""
}

func (d *Dispatcher) openerReset(c *packetContext) Reason {
	a := d.attempt(c)
	if !c.entry.Has(state.FlagOpenerFailed) {
		d.fail(c, c.entry.Target)
	}
	retries := d.serviceState(c.service.Address).retries
	if retries.TokensAt(c.now) < 1 || d.choose(c, append(a.tried, c.entry.Target)) == nil {
		c.entry.Set(state.FlagClosed)
		d.uncount(c.service, c.flow, &c.entry)
		return ""
	}
	d.save(c)
	return ReasonOpenerReset
}
