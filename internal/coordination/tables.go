package coordination

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// tableHistory is how many tables are kept. Their choices are tried for an
// established flow that no balancer knows.
const tableHistory = 4

// placeState tells whether balancers of a place are in the view.
type placeState struct {
	live int
	// cut is set when the balancers of the place went missing without leaving.
	cut bool
}

// AdoptTable puts a service table of a higher generation in force. A lower one is ignored.
func (d *Dispatcher) AdoptTable(now time.Time, table *state.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil && table.Generation <= d.table.Generation {
		return
	}
	d.start(now)
	former := d.table
	d.table = table
	d.history = slices.Insert(d.history, 0, table)
	d.history = d.history[:min(len(d.history), tableHistory)]
	d.retire(now, former)
	changed := false
	table.ForEachService(func(s *state.Service) {
		var before *state.Service
		if former != nil {
			before = former.Service(s.Address)
		}
		changed = d.adoptShards(now, before, s) || changed
		d.serviceState(s.Address).counts.ApplyService(now, before, s)
	})
	if changed {
		d.recount()
	}
	d.applyConditions(now)
}

// adoptShards makes the shards of a service. A change of their number changes the owners of its flows.
func (d *Dispatcher) adoptShards(now time.Time, before, next *state.Service) bool {
	changed := before != nil && d.shardCount(before) != d.shardCount(next)
	for i := range d.shardCount(next) {
		key := shardKey{service: next.Hash, shard: i}
		s, ok := d.shards[key]
		if !ok {
			s = d.addShard(key)
		}
		if changed {
			s.epoch++
			s.roleEpoch = s.epoch
			s.gainedAt = now
			s.changedAt = state.NewTimestamp(now)
		}
	}
	return changed
}

// retire remembers the addresses that left the configuration and forgets those that came back.
func (d *Dispatcher) retire(now time.Time, former *state.Table) {
	for a := range d.retired {
		if d.table.Target(a) != nil || d.table.Service(a) != nil {
			delete(d.retired, a)
		}
	}
	if former == nil {
		return
	}
	former.ForEachService(func(s *state.Service) {
		if d.table.Service(s.Address) == nil {
			d.retired[s.Address] = retiredAddress{service: s, since: now}
		}
		for _, t := range s.Targets {
			a := state.Address{Endpoint: t.Endpoint, Transport: s.Address.Transport}
			if d.table.Target(a) == nil {
				d.retired[a] = retiredAddress{service: s, since: now}
			}
		}
	})
}

// serviceAt returns the service at an address, and whether the configuration has dropped it.
func (d *Dispatcher) serviceAt(a state.Address) (service *state.Service, gone bool) {
	if s := d.table.Service(a); s != nil {
		return s, false
	}
	if r, ok := d.retired[a]; ok && r.service.Address == a {
		return r.service, true
	}
	return nil, false
}

// serviceOf returns the service of the target at an address, or nil.
func (d *Dispatcher) serviceOf(a state.Address) *state.Service {
	if t := d.table.Target(a); t != nil {
		return t.Service
	}
	r, ok := d.retired[a]
	if !ok || r.service.Address == a {
		return nil
	}
	if s, _ := d.serviceAt(r.service.Address); s != nil {
		return s
	}
	return nil
}

// mayForward reports whether a target belongs to a service, now or in an earlier configuration.
func (d *Dispatcher) mayForward(s *state.Service, target protocol.Endpoint) bool {
	owner := d.serviceOf(state.Address{Endpoint: target, Transport: s.Address.Transport})
	return owner != nil && owner.Address == s.Address
}

// leaving reports whether a target takes no new flows because it is drained or gone.
func (d *Dispatcher) leaving(s *state.Service, target protocol.Endpoint) bool {
	t := d.table.Target(state.Address{Endpoint: target, Transport: s.Address.Transport})
	return t == nil || t.Drain || d.reports[t.Name].Draining
}

// SetView replaces the view of the live members.
func (d *Dispatcher) SetView(now time.Time, view View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start(now)
	d.frozen = false
	d.setPlaces(view)
	d.ring = newRing(view)
	d.members = make(map[string]*Member, len(view.Members))
	for i := range view.Members {
		m := view.Members[i]
		d.members[m.VM] = &m
	}
	changed := false
	var moved ownershipMoves
	for _, s := range d.shards {
		before, was := s.holders(), s.role
		changed = d.move(now, s) || changed
		moved.note(before, was, s)
	}
	d.noteMoves(now, moved)
	if changed {
		d.recount()
	}
	d.applyConditions(now)
}

func (d *Dispatcher) setPlaces(view View) {
	left := make(map[string]bool)
	for _, m := range d.members {
		left[m.Place] = left[m.Place] || m.Leaving
	}
	next := make(map[string]placeState)
	for _, m := range view.Members {
		p := next[m.Place]
		p.live++
		next[m.Place] = p
	}
	for name, before := range d.places {
		if next[name].live == 0 {
			cut := before.cut || before.live > 0 && !left[name]
			next[name] = placeState{cut: cut}
		}
	}
	d.places = next
}

// SetReports replaces the reports about targets.
func (d *Dispatcher) SetReports(now time.Time, reports []TargetReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports = make(map[string]TargetReport, len(reports))
	for _, r := range reports {
		d.reports[r.Target] = r
	}
	d.applyConditions(now)
}

// applyConditions puts reports and the reachability of places in force for the choice of targets.
func (d *Dispatcher) applyConditions(now time.Time) {
	if d.table == nil {
		return
	}
	d.table.ForEachService(func(s *state.Service) {
		counts := d.serviceState(s.Address).counts
		for _, t := range s.Targets {
			r, reported := d.reports[t.Name]
			counts.SetCondition(now, t.Endpoint, state.Condition{
				Unhealthy:    reported && !r.Healthy,
				Shedding:     r.Shedding,
				Draining:     r.Draining,
				Unreachable:  d.places[t.Place].cut && t.Place != d.options.Place,
				LoadPermille: r.LoadPermille,
			})
		}
	})
}

// recount counts the flows of the shards that this balancer owns or backs up.
func (d *Dispatcher) recount() {
	for _, s := range d.services {
		s.counts.ResetOpenFlows()
	}
	d.flows.UpdateAll(func(flow protocol.FlowKey, e *state.Entry) {
		e.Clear(state.FlagCounted)
		s, _ := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
		if s == nil || !e.HasTarget() || e.Has(state.FlagClosed) || !d.shardOf(s, flow).strong(e) {
			return
		}
		e.Set(state.FlagCounted)
		d.serviceState(s.Address).counts.AddFlow(e.Target)
	})
	for _, s := range d.services {
		s.counts.RetainRequests(func(flow protocol.FlowKey) bool {
			e, ok := d.flows.Get(flow)
			return ok && e.Has(state.FlagCounted)
		})
	}
}
