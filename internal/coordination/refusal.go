package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// blocked reports whether this balancer was frozen and has no view yet. Without
// a peer no view arrives, so the hold-off ends it too.
func (d *Dispatcher) awaitsView(now time.Time) bool {
	return d.frozen && now.Before(d.holdOffUntil)
}

// holdsOff reports whether a former owner may have forwarded an opener that is unknown here.
func (d *Dispatcher) inHoldOff(c *packetContext) bool {
	if c.actingOwner || c.now.Before(d.holdOffUntil) {
		return true
	}
	ownerSince := c.shard.gainedAt
	return !ownerSince.IsZero() && c.now.Sub(ownerSince) < d.options.HoldOff
}

// refuse tells the caller that its opener did not run. The refusal is
// remembered, so that a late duplicate of the opener is not admitted. A plain
// UDP datagram may be a request, and nothing identifies a late copy of it that
// could still run, so it is dropped instead.
func (d *Dispatcher) refuse(c *packetContext, r Reason) Decision {
	if c.service.Protocol == objects.ProtocolUDP {
		return drop(ReasonNoTargetUDP)
	}
	if d.inHoldOff(c) {
		return drop(ReasonHoldOff)
	}
	if c.entry.Has(state.FlagRefused) {
		d.storeEntry(c)
		return Decision{Action: ActionRefuse, Reason: r}
	}
	p := &c.in.Packet
	c.entry = state.Entry{Flags: state.FlagRefused, Created: c.stamp, OpenerTag: c.openerTag(), Epoch: c.shard.epoch}
	if p.HasTag {
		c.entry.Set(state.FlagOpenerTag)
	}
	if !d.storeEntry(c) {
		return drop(ReasonFlowTableFull)
	}
	d.note(c, ActionRefuse, protocol.Endpoint{}, r)
	return Decision{Action: ActionRefuse, Reason: r}
}

// repeatOpener decides about another copy of an opener that its target has not
// answered. No packet beyond the opener was forwarded, so nothing ran there.
func (d *Dispatcher) handleRepeatedOpener(c *packetContext) Decision {
	e := &c.entry
	a := d.pendingOpener(c)
	// The earlier copy may be lost, so this one may be new work for a leaving target.
	leaving := d.leaving(c.service, e.Target)
	failed := leaving || e.Has(state.FlagFailed)
	if !failed && c.now.Before(a.deadline) {
		d.storeEntry(c)
		return d.forward(c, e.Target, ReasonRepeatedOpener)
	}
	if !failed {
		d.recordFailedOpener(c, e.Target)
	}
	return d.retryOpener(c, a)
}

// retry sends an opener to the next candidate within the retry budget and
// resets the half-open connection at the target that was given up.
func (d *Dispatcher) retryOpener(c *packetContext, a *pendingOpener) Decision {
	e := &c.entry
	failedTarget := e.Target
	next := d.chooseTarget(c, append(a.triedTargets, failedTarget))
	if next == nil || !d.serviceState(c.service.Address).retryLimiter.AllowN(c.now, 1) {
		if d.leaving(c.service, failedTarget) {
			return drop(ReasonLeavingTarget)
		}
		a.deadline = c.now.Add(c.service.OpenTimeout)
		e.Clear(state.FlagFailed)
		d.storeEntry(c)
		return d.forward(c, failedTarget, ReasonRepeatedOpener)
	}
	tried := append(a.triedTargets, failedTarget)
	d.uncountFlow(c.service, c.flow, e)
	e.Clear(state.FlagFailed)
	if !d.bind(c, next.Endpoint) {
		return drop(ReasonFlowTableFull)
	}
	d.pendingOpener(c).triedTargets = tried
	d.note(c, ActionForward, next.Endpoint, ReasonRetriedOpener)
	decision := d.forward(c, next.Endpoint, ReasonRetriedOpener)
	decision.ResetTarget = failedTarget
	return decision
}

// attempt returns the record of an unanswered opener; it comes into being on first use.
func (d *Dispatcher) pendingOpener(c *packetContext) *pendingOpener {
	attempts := d.serviceState(c.service.Address).pendingOpeners
	a, ok := attempts[c.flow]
	if !ok {
		a = &pendingOpener{deadline: c.now.Add(c.service.OpenTimeout)}
		attempts[c.flow] = a
	}
	return a
}

// fail notes that the target of the entry left an opener unanswered or reset it.
func (d *Dispatcher) recordFailedOpener(c *packetContext, target protocol.Endpoint) {
	c.entry.Set(state.FlagFailed)
	d.counts(c).Load(target).Failed(c.now)
}
