package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// mapsPerTick is how many of the 256 maps of the flow table one tick scans.
	mapsPerTick = 8
	// closedFlowTTL is how long the entry of a closed or refused flow is kept. It
	// exceeds the time for which a late duplicate of an opener may be under way.
	closedFlowTTL = 30 * time.Second
	// unknownFlowTTL is how long the entry of a flow without a binding is kept after
	// its last packet.
	unknownFlowTTL = 10 * time.Second
	// A flow whose close cannot be seen (QUIC, UDP) counts as open until no packet
	// has arrived for hiddenCloseGapFactor times the mean inter-arrival time of its
	// packets at the owner, which sees only a sample of them. The timeout is limited
	// by minHiddenCloseTimeout and maxHiddenCloseTimeout.
	hiddenCloseGapFactor  = 4
	minHiddenCloseTimeout = 5 * time.Second
	maxHiddenCloseTimeout = 2 * time.Minute
	// halfOpenTTL is how long the entry of an unanswered opener is kept.
	halfOpenTTL = time.Minute
)

// Tick expires flows, requests and unanswered openers. It must be called regularly.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, s := range d.services {
		d.expireRequests(now, a, s)
		d.expirePendingOpeners(now, a, s)
	}
	stamp := state.NewTimestamp(now)
	d.flows.SweepMaps(mapsPerTick, func(flow protocol.FlowKey, e *state.Entry) bool {
		idle := stamp.Since(e.LastSeen)
		expired := idle > d.entryTTL(e)
		hiddenClose := flow.Transport != protocol.TransportTCP
		if e.Has(state.FlagCounted) && (expired || hiddenClose && idle > hiddenCloseTimeout(e)) {
			e.Clear(state.FlagCounted)
			a := state.Address{Endpoint: flow.Service, Transport: flow.Transport}
			d.serviceState(a).loadCounts.RemoveFlow(flow, e.Target)
		}
		return expired
	})
	for a, r := range d.retiredAddresses {
		if now.Sub(r.retiredAt) > 2*d.options.IdleTimeout {
			delete(d.retiredAddresses, a)
		}
	}
}

// expireRequests ends the requests that are presumed to be done. A flow that has
// been idle since its request is kept but not counted, until its target sends again.
func (d *Dispatcher) expireRequests(now time.Time, a state.Address, s *serviceState) {
	s.loadCounts.ExpireRequests(now, func(flow protocol.FlowKey) {
		e, ok := d.flows.Get(flow)
		if !ok || !e.Has(state.FlagCounted) {
			return
		}
		e.Clear(state.FlagCounted)
		d.flows.Put(flow, e)
		s.loadCounts.RemoveFlow(flow, e.Target)
	})
}

// hiddenCloseTimeout returns the idle time after which a flow whose close cannot
// be seen no longer counts as open.
func hiddenCloseTimeout(e *state.Entry) time.Duration {
	if e.MeanInterArrival() == 0 {
		return maxHiddenCloseTimeout
	}
	return min(max(hiddenCloseGapFactor*e.MeanInterArrival(), minHiddenCloseTimeout), maxHiddenCloseTimeout)
}

// entryTTL returns the idle time after which an entry is deleted.
func (d *Dispatcher) entryTTL(e *state.Entry) time.Duration {
	switch {
	case e.Has(state.FlagClosed | state.FlagRefused):
		return min(closedFlowTTL, d.options.IdleTimeout)
	case e.Has(state.FlagLookupPending):
		return min(unknownFlowTTL, d.options.IdleTimeout)
	case isHalfOpen(e):
		return min(halfOpenTTL, d.options.IdleTimeout)
	case isLearned(e):
		return d.learnedLifetime()
	}
	return d.options.IdleTimeout
}

// expirePendingOpeners marks openers that were not answered before their deadline as
// failed, so that the caller's next copy goes to another target.
func (d *Dispatcher) expirePendingOpeners(now time.Time, a state.Address, s *serviceState) {
	for flow, pending := range s.pendingOpeners {
		if now.Before(pending.deadline) {
			continue
		}
		e, ok := d.flows.Get(flow)
		if ok && isHalfOpen(&e) && !e.Has(state.FlagOpenerFailed) {
			e.Set(state.FlagOpenerFailed)
			d.flows.Put(flow, e)
			s.loadCounts.Load(e.Target).RecordOpenerFailure(now)
		}
		if !ok || now.Sub(pending.deadline) > closedFlowTTL || pending.answered && len(pending.triedTargets) == 0 && pending.competing.target.IsZero() {
			delete(s.pendingOpeners, flow)
		}
	}
}
