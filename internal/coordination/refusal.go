package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// blocked reports whether this balancer was frozen and has no view yet. Without
// a peer no view arrives, so the hold-off ends it too.
func (d *Dispatcher) blocked(now time.Time) bool {
	return d.frozen && now.Before(d.holdUntil)
}

// holdsOff reports whether a former owner may have forwarded an opener that is unknown here.
func (d *Dispatcher) holdsOff(c *packetContext) bool {
	if c.acting || c.now.Before(d.holdUntil) {
		return true
	}
	gained := c.shard.gainedAt
	return !gained.IsZero() && c.now.Sub(gained) < d.options.HoldOff
}

// refuse tells the caller that its opener did not run. The refusal is
// remembered, so that a late duplicate of the opener is not admitted. A plain
// UDP datagram may be a request, and nothing identifies a late copy of it that
// could still run, so it is dropped instead.
func (d *Dispatcher) refuse(c *packetContext, r Reason) Decision {
	if c.service.Protocol == objects.ProtocolUDP {
		return drop(ReasonNoTargetUDP)
	}
	if d.holdsOff(c) {
		return drop(ReasonHoldOff)
	}
	if c.entry.Has(state.FlagRefused) {
		d.save(c)
		return Decision{Action: ActionRefuse, Reason: r}
	}
	p := &c.in.Packet
	c.entry = state.Entry{Flags: state.FlagRefused, Created: c.stamp, OpenerTag: c.openerTag(), Epoch: c.shard.epoch}
	if p.HasTag {
		c.entry.Set(state.FlagOpenerTag)
	}
	if !d.save(c) {
		return drop(ReasonTableFull)
	}
	d.note(c, ActionRefuse, protocol.Endpoint{}, r)
	return Decision{Action: ActionRefuse, Reason: r}
}

// repeatOpener decides about another copy of an opener that its target has not
// answered. No packet beyond the opener was forwarded, so nothing ran there.
func (d *Dispatcher) repeatOpener(c *packetContext) Decision {
	e := &c.entry
	a := d.attempt(c)
	// The earlier copy may be lost, so this one may be new work for a leaving target.
	leaving := d.leaving(c.service, e.Target)
	failed := leaving || e.Has(state.FlagOpenerFailed)
	if !failed && c.now.Before(a.deadline) {
		d.save(c)
		return d.forward(c, e.Target, ReasonRepeated)
	}
	if !failed {
		d.fail(c, e.Target)
	}
	return d.retry(c, a)
}

// retry sends an opener to the next candidate within the retry budget and
// resets the half-open connection at the target that was given up.
func (d *Dispatcher) retry(c *packetContext, a *attempt) Decision {
	e := &c.entry
	given := e.Target
	next := d.choose(c, append(a.tried, given))
	if next == nil || !d.serviceState(c.service.Address).retries.AllowN(c.now, 1) {
		if d.leaving(c.service, given) {
			return drop(ReasonLeavingTarget)
		}
		a.deadline = c.now.Add(c.service.OpenTimeout)
		e.Clear(state.FlagOpenerFailed)
		d.save(c)
		return d.forward(c, given, ReasonRepeated)
	}
	tried := append(a.tried, given)
	d.uncount(c.service, c.flow, e)
	e.Clear(state.FlagOpenerFailed)
	if !d.bind(c, next.Endpoint) {
		return drop(ReasonTableFull)
	}
	d.attempt(c).tried = tried
	d.note(c, ActionForward, next.Endpoint, ReasonRetried)
	decision := d.forward(c, next.Endpoint, ReasonRetried)
	decision.Cancel = given
	return decision
}

// attempt returns the record of an unanswered opener; it comes into being on first use.
func (d *Dispatcher) attempt(c *packetContext) *attempt {
	attempts := d.serviceState(c.service.Address).attempts
	a, ok := attempts[c.flow]
	if !ok {
		a = &attempt{deadline: c.now.Add(c.service.OpenTimeout)}
		attempts[c.flow] = a
	}
	return a
}

// fail notes that the target of the entry left an opener unanswered or reset it.
func (d *Dispatcher) fail(c *packetContext, target protocol.Endpoint) {
	c.entry.Set(state.FlagOpenerFailed)
	d.counts(c).Load(target).RecordOpenerFailure(c.now)
}
