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
	// A flow with a hidden close is counted until it is silent for silentGaps
	// times the usual gap between its packets at the owner, which sees a sample
	// of them, within these bounds.
	silentGaps    = 4
	minSilentTime = 5 * time.Second
	maxSilentTime = 2 * time.Minute
	// halfOpenTime is how long an unanswered opener is remembered.
	halfOpenTime = time.Minute
)

// Tick expires flows and pending decisions.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, s := range d.services {
		d.sweep(now, a, s)
		d.expireAttempts(now, a, s)
	}
	stamp := state.NewTimestamp(now)
	d.flows.SweepMaps(tickMaps, func(flow protocol.FlowKey, e *state.Entry) bool {
		silent := stamp.Since(e.LastSeen)
		expired := silent > d.lifetime(e)
		hidden := flow.Transport != protocol.TransportTCP
		if e.Has(state.FlagCounted) && (expired || hidden && silent > presumedLife(e)) {
			e.Clear(state.FlagCounted)
			a := state.Address{Endpoint: flow.Service, Transport: flow.Transport}
			d.serviceState(a).counts.RemoveFlow(flow, e.Target)
		}
		return expired
	})
	for a, r := range d.retired {
		if now.Sub(r.since) > 2*d.options.IdleTimeout {
			delete(d.retired, a)
		}
	}
}

// sweep ends the requests that are due. A flow that fell silent after its
// request is kept but not counted, until its target sends again.
func (d *Dispatcher) sweep(now time.Time, a state.Address, s *serviceState) {
	s.counts.ExpireRequests(now, func(flow protocol.FlowKey) {
		e, ok := d.flows.Get(flow)
		if !ok || !e.Has(state.FlagCounted) {
			return
		}
		e.Clear(state.FlagCounted)
		d.flows.Put(flow, e)
		s.counts.RemoveFlow(flow, e.Target)
	})
}

// presumedLife is how long a silent flow with a hidden close is taken to be open.
func presumedLife(e *state.Entry) time.Duration {
	if e.MeanInterArrival() == 0 {
		return maxSilentTime
	}
	return min(max(silentGaps*e.MeanInterArrival(), minSilentTime), maxSilentTime)
}

func (d *Dispatcher) lifetime(e *state.Entry) time.Duration {
	switch {
	case e.Has(state.FlagClosed | state.FlagRefused):
		return min(closedTime, d.options.IdleTimeout)
	case e.Has(state.FlagLookupPending):
		return min(askingTime, d.options.IdleTimeout)
	case halfOpen(e):
		return min(halfOpenTime, d.options.IdleTimeout)
	case isLearned(e):
		return d.learnedLifetime()
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
		if ok && halfOpen(&e) && !e.Has(state.FlagOpenerFailed) {
			e.Set(state.FlagOpenerFailed)
			d.flows.Put(flow, e)
			s.counts.Load(e.Target).RecordOpenerFailure(now)
		}
		if !ok || now.Sub(one.deadline) > closedTime || one.answered && len(one.tried) == 0 && one.rival.target.IsZero() {
			delete(s.attempts, flow)
		}
	}
}
