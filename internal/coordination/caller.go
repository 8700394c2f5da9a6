package coordination

import (
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// tagWindow bounds how far, in bytes, the acknowledgement number of a TCP caller
// may move between two packets that a balancer sees. Two unrelated connections
// lie within the window by chance with a probability of 1/128.
const tagWindow = 1 << 24

// handleCallerPacket handles a packet from a caller to a service.
func (d *Dispatcher) handleCallerPacket(c *packetContext) Decision {
	p := &c.in.Packet
	// An opener must not carry a request: it may reach two targets, so that the
	// request runs twice, or be refused after the request ran.
	if p.HasSYNData {
		return drop(ReasonSynData)
	}
	if p.ZeroRTTOnly && c.service.Protocol == objects.ProtocolQUIC {
		return drop(ReasonZeroRTT)
	}
	if d.options.Variant == VariantHash {
		return d.forwardByHash(c)
	}
	d.loadEntry(c)
	if target, ok := d.competingTarget(c); ok {
		return d.forward(c, target, ReasonKnownFlow)
	}
	switch {
	case d.mayOpenConnection(c):
		return d.handleOpener(c)
	case p.Kind == protocol.KindSYNACK:
		return drop(ReasonUnexpectedPacket)
	case isEnd(p.Kind):
		return d.handleCallerEnd(c)
	case d.isUndecidedInitial(c):
		return d.handleLaterInitial(c)
	case c.known && d.matchesBinding(c):
		d.storeEntry(c)
		return d.forward(c, c.entry.Target, ReasonKnownFlow)
	case p.Kind == protocol.KindPlainUDP:
		return drop(ReasonUnexpectedPacket)
	}
	return d.handleUnknownFlow(c)
}

// forwardByHash forwards a packet of the variant that keeps no flow state.
func (d *Dispatcher) forwardByHash(c *packetContext) Decision {
	target := c.service.RendezvousTarget(state.FlowHash(c.flow))
	if target == nil {
		return drop(ReasonNoTarget)
	}
	return d.forward(c, target.Endpoint, ReasonHash)
}

// mayOpenConnection reports whether a packet may open a connection. On plain UDP
// that is a packet of an unbound flow or of a flow to a leaving target.
func (d *Dispatcher) mayOpenConnection(c *packetContext) bool {
	p := &c.in.Packet
	if c.service.Protocol != objects.ProtocolUDP {
		return p.Kind == protocol.KindOpener
	}
	if isAbort(p.Kind) {
		return false
	}
	return !c.known || !c.entry.HasTarget() || d.isLeaving(c.service, c.entry.Target)
}

// matchesBinding reports whether a caller packet may go to the bound target. It
// updates the tag and the strength of the entry, and marks the binding as
// unverified when the packet contradicts it.
func (d *Dispatcher) matchesBinding(c *packetContext) bool {
	e := &c.entry
	if !e.HasTarget() || e.Has(state.FlagUnverified) {
		return false
	}
	if c.isAuthoritative() && e.Strength == state.StrengthTentative {
		return c.matchesAnswerTag()
	}
	if c.matchesEarlierTags() {
		return true
	}
	e.Set(state.FlagUnverified)
	d.storeEntry(c)
	return false
}

// matchesAnswerTag reports whether a packet on a tentative binding is consistent
// with the tag in the answer of the target. A packet that echoes the tag
// confirms the binding.
func (c *packetContext) matchesAnswerTag() bool {
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
	// A target may issue another connection ID in its first flight, and callers
	// use it from their first Handshake packet on, so a different ID does not
	// contradict the binding.
	if p.Tag == e.AnswerTag {
		e.Strength = state.StrengthConfirmed
	}
	return true
}

// matchesEarlierTags reports whether the tag of a packet follows from those of
// earlier packets of the flow, and stores it in the entry. A mismatch shows that
// the caller has reused the flow key for another connection.
func (c *packetContext) matchesEarlierTags() bool {
	e, p := &c.entry, &c.in.Packet
	if !p.HasTag || c.service.Protocol == objects.ProtocolUDP {
		return true
	}
	if c.service.Protocol == objects.ProtocolTCP {
		return c.matchesTCPSequence()
	}
	if c.isAuthoritative() {
		return true // the caller may use another connection ID of the target
	}
	if !e.Has(state.FlagAnswerTag) {
		e.AnswerTag = p.Tag
		e.Set(state.FlagAnswerTag)
		return true
	}
	return p.Tag == e.AnswerTag
}

// matchesTCPSequence reports whether the acknowledgement number of a packet lies
// within tagWindow of the highest one seen, and stores it if it is higher.
func (c *packetContext) matchesTCPSequence() bool {
	e, p := &c.entry, &c.in.Packet
	distance := int32(p.Tag - e.AnswerTag)
	if e.Has(state.FlagAnswerTag) && (distance >= tagWindow || distance <= -tagWindow) {
		return false
	}
	if distance > 0 || !e.Has(state.FlagAnswerTag) {
		e.AnswerTag = p.Tag
		e.Set(state.FlagAnswerTag)
	}
	return true
}

// handleCallerEnd handles a FIN, RST or ICMP unreachable message from a caller.
// It is relayed through owner and backup so that both record the end.
func (d *Dispatcher) handleCallerEnd(c *packetContext) Decision {
	if owner := c.shard.owner(); !c.isOwner() && c.in.Hops == 0 && c.mayRelay(owner) {
		if c.known && c.endMatchesEarlierTags() {
			d.recordEnd(c, state.FlagCallerFin)
			d.storeEntry(c)
		}
		return relay(owner, ReasonToOwner)
	}
	if !c.known || !c.entry.HasTarget() {
		return d.handleUnknownFlow(c)
	}
	if !c.endMatchesEarlierTags() || c.resetsEarlierConnection() {
		return d.forward(c, c.entry.Target, ReasonUncertainBinding)
	}
	alreadyEnded := c.entry.Has(state.FlagCallerFin | state.FlagClosed)
	d.recordEnd(c, state.FlagCallerFin)
	d.storeEntry(c)
	backup := c.shard.backup()
	replicated := c.entry.Epoch == c.shard.epoch && c.entry.Has(state.FlagAnswered)
	if c.isOwner() && replicated && !alreadyEnded && d.usesBackup() && c.mayRelay(backup) {
		return relay(backup, ReasonToBackup)
	}
	return d.forward(c, c.entry.Target, ReasonEndOfFlow)
}

// endMatchesEarlierTags reports the same as matchesEarlierTags, but does not change the entry.
func (c *packetContext) endMatchesEarlierTags() bool {
	scratch := *c
	return scratch.matchesEarlierTags()
}

// resetsEarlierConnection reports whether a TCP caller resets an earlier
// connection on the flow while its opener is unanswered. A caller does so when
// the target answers the opener with a segment of the earlier connection; it
// then retransmits the opener.
func (c *packetContext) resetsEarlierConnection() bool {
	e, p := &c.entry, &c.in.Packet
	pending := isHalfOpen(e) || e.Has(state.FlagReopened)
	return p.Kind == protocol.KindReset && pending && e.Has(state.FlagOpenerTag) && p.SourceTag != e.OpenerTag+1
}

// recordEnd records that one side has closed or that the flow has ended. A flow
// ends by a reset or by the FINs of both sides, and is then no longer counted.
func (d *Dispatcher) recordEnd(c *packetContext, fin state.Flags) {
	e, kind := &c.entry, c.in.Packet.Kind
	endedByTarget := fin == state.FlagTargetFin
	counts := d.loadCounts(c)
	if kind == protocol.KindFIN {
		e.Set(fin)
	}
	bothFins := e.Has(state.FlagCallerFin) && e.Has(state.FlagTargetFin)
	if kind == protocol.KindReset || bothFins {
		e.Set(state.FlagClosed)
	}
	// A caller that half-closes before any response may still wait for one, so
	// its request is not taken as finished.
	if isAbort(kind) || endedByTarget || e.Has(state.FlagReturnPayload) {
		counts.CompleteRequest(c.now, c.flow)
	}
	if e.Has(state.FlagClosed) {
		d.uncountFlow(c.service, c.flow, e)
	}
}

// usesBackup reports whether bindings are replicated to a backup.
func (d *Dispatcher) usesBackup() bool { return d.options.Variant != VariantBounded }
