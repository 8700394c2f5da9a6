package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// awaitsView reports whether this balancer was frozen and has not received or
// confirmed a view since. The end of the hold-off ends the wait too, because no
// view arrives without a peer.
func (d *Dispatcher) awaitsView(now time.Time) bool {
	return d.viewUnconfirmed && now.Before(d.holdOffUntil)
}

// inHoldOff reports whether a former owner may have forwarded an opener that is
// unknown at this balancer, so that a refusal could be false.
func (d *Dispatcher) inHoldOff(c *packetContext) bool {
	if c.actingOwner || c.now.Before(d.holdOffUntil) {
		return true
	}
	ownerSince := c.shard.ownerSince
	return !ownerSince.IsZero() && c.now.Sub(ownerSince) < d.options.HoldOff
}

// refuse returns the decision to refuse an opener, by which the caller learns
// that nothing ran. The refusal is stored, so that a late duplicate of the opener
// is not admitted. A plain UDP datagram is dropped instead: it may carry a
// request, and a late copy of it, which could still run, cannot be recognised.
// During the hold-off the opener is dropped as well.
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
	d.recordDecision(c, ActionRefuse, protocol.Endpoint{}, r)
	return Decision{Action: ActionRefuse, Reason: r}
}

// handleRepeatedOpener handles another copy of an opener that its target has not
// answered. No packet but the opener was forwarded, so no request ran at the
// target and the opener may be retried at another one.
func (d *Dispatcher) handleRepeatedOpener(c *packetContext) Decision {
	e := &c.entry
	pending := d.pendingOpener(c)
	// The earlier copy may be lost, so this one may open a new connection at a
	// leaving target.
	leaving := d.isLeaving(c.service, e.Target)
	failed := leaving || e.Has(state.FlagOpenerFailed)
	if !failed && c.now.Before(pending.deadline) {
		d.storeEntry(c)
		return d.forward(c, e.Target, ReasonRepeatedOpener)
	}
	if !failed {
		d.recordFailedOpener(c, e.Target)
	}
	return d.retryOpener(c, pending)
}

// retryOpener sends an opener to another target and resets the half-open
// connection at the failed one. Without another target or retry budget the opener
// goes to the failed target again, or is dropped if that target is leaving.
func (d *Dispatcher) retryOpener(c *packetContext, pending *pendingOpener) Decision {
	e := &c.entry
	failedTarget := e.Target
	next := d.chooseTarget(c, append(pending.triedTargets, failedTarget))
	if next == nil || !d.serviceState(c.service.Address).retryLimiter.AllowN(c.now, 1) {
		if d.isLeaving(c.service, failedTarget) {
			return drop(ReasonLeavingTarget)
		}
		pending.deadline = c.now.Add(c.service.OpenTimeout)
		e.Clear(state.FlagOpenerFailed)
		d.storeEntry(c)
		return d.forward(c, failedTarget, ReasonRepeatedOpener)
	}
	tried := append(pending.triedTargets, failedTarget)
	d.uncountFlow(c.service, c.flow, e)
	e.Clear(state.FlagOpenerFailed)
	if !d.bind(c, next.Endpoint) {
		return drop(ReasonFlowTableFull)
	}
	d.pendingOpener(c).triedTargets = tried
	d.recordDecision(c, ActionForward, next.Endpoint, ReasonRetriedOpener)
	decision := d.forward(c, next.Endpoint, ReasonRetriedOpener)
	decision.ResetTarget = failedTarget
	return decision
}

// pendingOpener returns the record of the unanswered opener of the flow and
// creates it on first use.
func (d *Dispatcher) pendingOpener(c *packetContext) *pendingOpener {
	openers := d.serviceState(c.service.Address).pendingOpeners
	pending, ok := openers[c.flow]
	if !ok {
		pending = &pendingOpener{deadline: c.now.Add(c.service.OpenTimeout)}
		openers[c.flow] = pending
	}
	return pending
}

// recordFailedOpener records that a target left the opener unanswered or reset it.
func (d *Dispatcher) recordFailedOpener(c *packetContext, target protocol.Endpoint) {
	c.entry.Set(state.FlagOpenerFailed)
	d.loadCounts(c).Load(target).RecordOpenerFailure(c.now)
}
