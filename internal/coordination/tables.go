package coordination

import (
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxTableHistory is how many generations of the service table are kept. Packets of an
// established flow that no balancer has a binding for are forwarded to the targets that
// these tables select by hash.
const maxTableHistory = 4

// placeState is the reachability of a place, judged by its balancers in the view.
type placeState struct {
	liveMembers int
	// unreachable is set when all balancers of the place disappeared from the view
	// although none of them was leaving.
	unreachable bool
}

// AdoptTable replaces the service table by one of a higher generation. A table of
// the same or a lower generation is ignored.
func (d *Dispatcher) AdoptTable(now time.Time, table *state.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil && table.Generation <= d.table.Generation {
		return
	}
	d.startHoldOff(now)
	previous := d.table
	d.table = table
	d.recentTables = slices.Insert(d.recentTables, 0, table)
	d.recentTables = d.recentTables[:min(len(d.recentTables), maxTableHistory)]
	d.updateRetiredAddresses(now, previous)
	changed := false
	table.ForEachService(func(s *state.Service) {
		var oldService *state.Service
		if previous != nil {
			oldService = previous.Service(s.Address)
		}
		changed = d.updateShards(now, oldService, s) || changed
		d.serviceState(s.Address).loadCounts.ApplyService(now, oldService, s)
	})
	if changed {
		d.recountFlows()
	}
	d.applyTargetConditions(now)
}

// updateShards creates the missing shards of a service. If their number changed,
// flows have other owners, so it starts a new epoch in each shard and returns true.
func (d *Dispatcher) updateShards(now time.Time, oldService, newService *state.Service) bool {
	changed := oldService != nil && d.shardCount(oldService) != d.shardCount(newService)
	for i := range d.shardCount(newService) {
		key := shardKey{serviceHash: newService.Hash, index: i}
		s, ok := d.shards[key]
		if !ok {
			s = d.addShard(key)
		}
		if changed {
			s.epoch++
			s.roleEpoch = s.epoch
			s.ownerSince = now
			s.changedAt = state.NewTimestamp(now)
		}
	}
	return changed
}

// updateRetiredAddresses records the addresses that the new table no longer has, and
// deletes those that it has again.
func (d *Dispatcher) updateRetiredAddresses(now time.Time, previous *state.Table) {
	for a := range d.retiredAddresses {
		if d.table.Target(a) != nil || d.table.Service(a) != nil {
			delete(d.retiredAddresses, a)
		}
	}
	if previous == nil {
		return
	}
	previous.ForEachService(func(s *state.Service) {
		if d.table.Service(s.Address) == nil {
			d.retiredAddresses[s.Address] = retiredAddress{service: s, retiredAt: now}
		}
		for _, t := range s.Targets {
			a := state.Address{Endpoint: t.Endpoint, Transport: s.Address.Transport}
			if d.table.Target(a) == nil {
				d.retiredAddresses[a] = retiredAddress{service: s, retiredAt: now}
			}
		}
	})
}

// serviceAt returns the service at an address, and whether it was removed from
// the configuration.
func (d *Dispatcher) serviceAt(a state.Address) (service *state.Service, removed bool) {
	if s := d.table.Service(a); s != nil {
		return s, false
	}
	if r, ok := d.retiredAddresses[a]; ok && r.service.Address == a {
		return r.service, true
	}
	return nil, false
}

// serviceOfTarget returns the service of the target at an address, or nil.
func (d *Dispatcher) serviceOfTarget(a state.Address) *state.Service {
	if t := d.table.Target(a); t != nil {
		return t.Service
	}
	r, ok := d.retiredAddresses[a]
	if !ok || r.service.Address == a {
		return nil
	}
	if s, _ := d.serviceAt(r.service.Address); s != nil {
		return s
	}
	return nil
}

// belongsToService reports whether a target belongs to a service, in the current
// or, if it was removed since, in an earlier configuration.
func (d *Dispatcher) belongsToService(s *state.Service, target protocol.Endpoint) bool {
	targetService := d.serviceOfTarget(state.Address{Endpoint: target, Transport: s.Address.Transport})
	return targetService != nil && targetService.Address == s.Address
}

// isLeaving reports whether a target takes no new flows because it is draining
// or was removed.
func (d *Dispatcher) isLeaving(s *state.Service, target protocol.Endpoint) bool {
	t := d.table.Target(state.Address{Endpoint: target, Transport: s.Address.Transport})
	return t == nil || t.Drain || d.reports[t.Name].Draining
}

// SetView replaces the view of the live members.
func (d *Dispatcher) SetView(now time.Time, view View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startHoldOff(now)
	d.viewUnconfirmed = false
	d.updatePlaces(view)
	d.ranking = newRendezvousRanking(view)
	d.members = make(map[string]*Member, len(view.Members))
	for i := range view.Members {
		m := view.Members[i]
		d.members[m.VM] = &m
	}
	changed := false
	var changes ownershipChanges
	for _, s := range d.shards {
		oldReplicas, oldRole := s.replicas(), s.role
		changed = d.reassignShard(now, s) || changed
		changes.add(oldReplicas, oldRole, s)
	}
	d.recordOwnershipChanges(now, changes)
	if changed {
		d.recountFlows()
	}
	d.applyTargetConditions(now)
}

// updatePlaces derives the reachability of each place from a new view. A place
// whose balancers all disappeared counts as unreachable, unless one of them was
// leaving.
func (d *Dispatcher) updatePlaces(view View) {
	hasLeavingMember := make(map[string]bool)
	for _, m := range d.members {
		hasLeavingMember[m.Place] = hasLeavingMember[m.Place] || m.Leaving
	}
	next := make(map[string]placeState)
	for _, m := range view.Members {
		p := next[m.Place]
		p.liveMembers++
		next[m.Place] = p
	}
	for name, old := range d.places {
		if next[name].liveMembers == 0 {
			unreachable := old.unreachable || old.liveMembers > 0 && !hasLeavingMember[name]
			next[name] = placeState{unreachable: unreachable}
		}
	}
	d.places = next
}

// SetReports replaces the health and load reports of the targets.
func (d *Dispatcher) SetReports(now time.Time, reports []TargetReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports = make(map[string]TargetReport, len(reports))
	for _, r := range reports {
		d.reports[r.Target] = r
	}
	d.applyTargetConditions(now)
}

// applyTargetConditions sets the condition of each target from its report and the
// reachability of its place. Target selection uses it.
func (d *Dispatcher) applyTargetConditions(now time.Time) {
	if d.table == nil {
		return
	}
	d.table.ForEachService(func(s *state.Service) {
		counts := d.serviceState(s.Address).loadCounts
		for _, t := range s.Targets {
			r, reported := d.reports[t.Name]
			counts.SetCondition(now, t.Endpoint, state.Condition{
				Unhealthy:    reported && !r.Healthy,
				Shedding:     r.Shedding,
				Draining:     r.Draining,
				Unreachable:  d.places[t.Place].unreachable && t.Place != d.options.Place,
				LoadPermille: r.LoadPermille,
			})
		}
	})
}

// recountFlows counts the open flows of the shards that this balancer owns or
// backs up, and drops the running requests of all other flows.
func (d *Dispatcher) recountFlows() {
	for _, s := range d.services {
		s.loadCounts.ResetOpenFlows()
	}
	d.flows.UpdateAll(func(flow protocol.FlowKey, e *state.Entry) {
		e.Clear(state.FlagCounted)
		s, _ := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
		if s == nil || !e.HasTarget() || e.Has(state.FlagClosed) || !d.shardOf(s, flow).isAuthoritative(e) {
			return
		}
		e.Set(state.FlagCounted)
		d.serviceState(s.Address).loadCounts.AddFlow(e.Target)
	})
	for _, s := range d.services {
		s.loadCounts.RetainRequests(func(flow protocol.FlowKey) bool {
			e, ok := d.flows.Get(flow)
			return ok && e.Has(state.FlagCounted)
		})
	}
}
