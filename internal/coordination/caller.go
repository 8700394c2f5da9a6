package coordination

import (
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// tagWindow is how far the acknowledgement numbers of a TCP caller may move
// between two packets that a balancer sees. The acknowledgement numbers of two
// connections agree by chance in one case of 128.
const tagWindow = 1 << 24

// fromCaller decides about a packet of a caller.
func (d *Dispatcher) fromCaller(c *packetContext) Decision {
	p := &c.in.Packet
	// An opener must not carry a request, since it may reach two targets or be refused.
	if p.SynData {
		return drop(ReasonSynData)
	}
	if p.ZeroRTTOnly && c.service.Protocol == objects.ProtocolQUIC {
		return drop(ReasonZeroRTT)
	}
	if d.options.Variant == VariantHash {
		return d.byHash(c)
	}
	d.find(c)
	if target, ok := d.towardsRival(c); ok {
		return d.forward(c, target, ReasonKnownFlow)
	}
	switch {
	case d.opens(c):
		return d.opener(c)
	case p.Kind == protocol.KindOpenerAnswer:
		return drop(ReasonUnexpected)
	case isEnd(p.Kind):
		return d.callerEnd(c)
	case d.undecidedInitial(c):
		return d.laterInitial(c)
	case c.known && d.trusts(c):
		d.save(c)
		return d.forward(c, c.entry.Target, ReasonKnownFlow)
	case p.Kind == protocol.KindDatagram:
		return drop(ReasonUnexpected)
	}
	return d.unknown(c)
}

// byHash is the whole decision of the variant without flow state.
func (d *Dispatcher) byHash(c *packetContext) Decision {
	target := c.service.RendezvousTarget(state.FlowHash(c.flow))
	if target == nil {
		return drop(ReasonNoTarget)
	}
	return d.forward(c, target.Endpoint, ReasonHash)
}

// opens reports whether the packet may begin a connection.
func (d *Dispatcher) opens(c *packetContext) bool {
	p := &c.in.Packet
	if c.service.Protocol != objects.ProtocolUDP {
		return p.Kind == protocol.KindOpener
	}
	if isAbort(p.Kind) {
		return false
	}
	return !c.known || !c.entry.HasTarget() || d.leaving(c.service, c.entry.Target)
}

// trusts reports whether a caller packet may go to the bound target, and
// updates the entry by what the packet tells.
func (d *Dispatcher) trusts(c *packetContext) bool {
	e := &c.entry
	if !e.HasTarget() || e.Has(state.FlagUnverified) {
		return false
	}
	if c.strong() && e.Strength == state.StrengthTentative {
		return c.echoes()
	}
	if c.agrees() {
		return true
	}
	e.Set(state.FlagUnverified)
	d.save(c)
	return false
}

// echoes reports whether a packet on a tentative binding does not contradict
// the answer tag. A definite echo confirms the binding.
func (c *packetContext) echoes() bool {
	e, p := &c.entry, &c.in.Packet
	if c.service.Protocol == objects.ProtocolUDP {
		return true
	}
	if !e.Has(state.FlagAnswered) {
		return false
	}
	if !e.Has(state.FlagAnswerTag) || !p.HasTag {
		return true
	}
	if c.service.Protocol == objects.ProtocolTCP {
		ahead := p.Tag - e.AnswerTag
		if ahead >= tagWindow {
			return false
		}
		e.AnswerTag = p.Tag
		e.Strength = state.StrengthConfirmed
		return true
	}
	// A target may issue another connection id in its first flight, and callers
	// use it from their first Handshake packet on, so another id contradicts nothing.
	if p.Tag == e.AnswerTag {
		e.Strength = state.StrengthConfirmed
	}
	return true
}

// agrees reports whether the tag of a packet continues those seen before. A
// flow key that was used again for another connection is recognised by it.
func (c *packetContext) agrees() bool {
	e, p := &c.entry, &c.in.Packet
	if !p.HasTag || c.service.Protocol == objects.ProtocolUDP {
		return true
	}
	if c.service.Protocol == objects.ProtocolTCP {
		return c.continuesTCP()
	}
	if c.strong() {
		return true // the caller may use another connection id of the target
	}
	if !e.Has(state.FlagAnswerTag) {
		e.AnswerTag = p.Tag
		e.Set(state.FlagAnswerTag)
		return true
	}
	return p.Tag == e.AnswerTag
}

func (c *packetContext) continuesTCP() bool {
	e, p := &c.entry, &c.in.Packet
	moved := int32(p.Tag - e.AnswerTag)
	if e.Has(state.FlagAnswerTag) && (moved >= tagWindow || moved <= -tagWindow) {
		return false
	}
	if moved > 0 || !e.Has(state.FlagAnswerTag) {
		e.AnswerTag = p.Tag
		e.Set(state.FlagAnswerTag)
	}
	return true
}

// callerEnd passes FIN, RST and unreachable messages through owner and backup.
func (d *Dispatcher) callerEnd(c *packetContext) Decision {
	if owner := c.shard.owner(); !c.isOwner() && c.in.Hops == 0 && c.mayRelay(owner) {
		if c.known && c.agreesAtEnd() {
			d.markEnd(c, state.FlagCallerFin)
			d.save(c)
		}
		return relay(owner, ReasonToOwner)
	}
	if !c.known || !c.entry.HasTarget() {
		return d.unknown(c)
	}
	if !c.agreesAtEnd() || c.resetsEarlier() {
		return d.forward(c, c.entry.Target, ReasonUncertain)
	}
	repeated := c.entry.Has(state.FlagCallerFin | state.FlagClosed)
	d.markEnd(c, state.FlagCallerFin)
	d.save(c)
	backup := c.shard.backup()
	synced := c.entry.Epoch == c.shard.epoch && c.entry.Has(state.FlagAnswered)
	if c.isOwner() && synced && !repeated && d.replicates() && c.mayRelay(backup) {
		return relay(backup, ReasonToBackup)
	}
	return d.forward(c, c.entry.Target, ReasonEnd)
}

// agreesAtEnd is agrees without effects on the entry.
func (c *packetContext) agreesAtEnd() bool {
	probe := *c
	return probe.agrees()
}

// resetsEarlier reports whether a TCP caller resets an earlier connection on the
// flow while its opener is unanswered: it does so when the target answers for
// that connection, and then repeats the opener.
func (c *packetContext) resetsEarlier() bool {
	e, p := &c.entry, &c.in.Packet
	pending := halfOpen(e) || e.Has(state.FlagReopened)
	return p.Kind == protocol.KindReset && pending && e.Has(state.FlagOpenerTag) && p.SourceTag != e.OpenerTag+1
}

// markEnd notes the end of one direction, or of the flow.
func (d *Dispatcher) markEnd(c *packetContext, fin state.Flags) {
	e, kind := &c.entry, c.in.Packet.Kind
	byTarget := fin == state.FlagTargetFin
	counts := d.counts(c)
	if kind == protocol.KindFin {
		e.Set(fin)
	}
	both := e.Has(state.FlagCallerFin) && e.Has(state.FlagTargetFin)
	if kind == protocol.KindReset || both {
		e.Set(state.FlagClosed)
	}
	// A caller that closes its side before any response may still wait for one.
	if isAbort(kind) || byTarget || e.Has(state.FlagReturnPayload) {
		counts.CompleteRequest(c.now, c.flow)
	}
	if e.Has(state.FlagClosed) {
		d.uncount(c.service, c.flow, e)
	}
}

// replicates reports whether bindings pass through a backup.
func (d *Dispatcher) replicates() bool { return d.options.Variant != VariantBounded }
