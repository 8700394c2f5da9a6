package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// tickMaps is how many of the 256 maps of the flow table one tick looks through.
	tickMaps = 8
	// closedTime is how long a closed or refused flow is remembered. It exceeds
	// the time that a late duplicate of an opener travels.
	closedTime = 30 * time.Second
	// askingTime is how long an unknown flow is remembered after its last packet.
	askingTime = 10 * time.Second
	// halfOpenTime is how long an unanswered opener is remembered.
	halfOpenTime = time.Minute
)

// Tick expires flows and pending decisions.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, s := range d.services {
		s.counts.Sweep(now)
		d.expireAttempts(now, a, s)
	}
	stamp := state.NewStamp(now)
	d.flows.Step(tickMaps, func(flow protocol.FlowKey, e *state.Entry) bool {
		if stamp.Since(e.Seen) <= d.lifetime(e) {
			return false
		}
		if e.Has(state.FlagCounted) {
			a := state.Address{Endpoint: flow.Service, Transport: flow.Transport}
			d.serviceState(a).counts.Close(flow, e.Target)
		}
		return true
	})
	for a, r := range d.retired {
		if now.Sub(r.since) > 2*d.options.IdleTimeout {
			delete(d.retired, a)
		}
	}
}

func (d *Dispatcher) lifetime(e *state.Entry) time.Duration {
	switch {
	case e.Has(state.FlagClosed | state.FlagRefused):
		return min(closedTime, d.options.IdleTimeout)
	case e.Has(state.FlagAsking):
		return min(askingTime, d.options.IdleTimeout)
	case halfOpen(e):
		return min(halfOpenTime, d.options.IdleTimeout)
	}
	return d.options.IdleTimeout
}

// expireAttempts marks openers that were not answered in time. The caller's
// next copy goes to another target.
func (d *Dispatcher) expireAttempts(now time.Time, a state.Address, s *serviceState) {
	for flow, one := range s.attempts {
		if now.Before(one.deadline) {
			continue
		}
		e, ok := d.flows.Get(flow)
		if ok && halfOpen(&e) && !e.Has(state.FlagFailed) {
			e.Set(state.FlagFailed)
			d.flows.Put(flow, e)
			s.counts.Load(e.Target).Failed(now)
		}
		if !ok || now.Sub(one.deadline) > closedTime || one.answered && len(one.tried) == 0 && one.rival.target.IsZero() {
			delete(s.attempts, flow)
		}
	}
}
