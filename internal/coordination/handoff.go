package coordination

import (
	"bytes"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// handoffQueue finds the bindings that other balancers must learn. It goes
// through the flow table one map at a time.
type handoffQueue struct {
	active bool
	cursor int
	// found are bindings of the maps before cursor that were not yet returned.
	found []pendingBinding
}

type pendingBinding struct {
	vm      string
	binding state.Binding
}

// assignHandoff notes who must learn the flows of a shard from this balancer:
// a new owner or backup learns them from the first former one that still runs.
func (d *Dispatcher) assignHandoff(s *shardState, before, after []string) {
	if !d.replicates() {
		return
	}
	next := s.newcomers
	if len(next) > 0 || d.firstLive(before) == d.options.Self {
		for _, vm := range after {
			if !slices.Contains(before, vm) && !slices.Contains(next, vm) {
				next = append(next, vm)
			}
		}
	}
	s.newcomers = slices.DeleteFunc(next, func(vm string) bool {
		return vm == d.options.Self || !slices.Contains(after, vm)
	})
	if len(s.newcomers) > 0 {
		d.handoff = handoffQueue{active: true}
	}
}

func (d *Dispatcher) firstLive(vms []string) string {
	for _, vm := range vms {
		if d.members[vm] != nil {
			return vm
		}
	}
	return ""
}

// Handoff returns up to limit bindings that other balancers must learn: before
// this balancer leaves, and after a change of members for flows without
// packets. It returns nothing once all were returned.
func (d *Dispatcher) Handoff(now time.Time, limit int) []HandoffBatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &d.handoff
	stamp := state.NewTimestamp(now)
	for q.active && len(q.found) < limit {
		d.collect(q, stamp)
	}
	n := min(limit, len(q.found))
	batches := batchByVM(q.found[:n])
	q.found = q.found[n:]
	return batches
}

// collect adds the bindings of the next map to the queue.
func (d *Dispatcher) collect(q *handoffQueue, stamp state.Timestamp) {
	start := len(q.found)
	more := d.flows.VisitMap(q.cursor, func(flow protocol.FlowKey, e *state.Entry) {
		for _, vm := range d.handoffTo(flow, e) {
			q.found = append(q.found, pendingBinding{vm: vm, binding: newBinding(flow, e, stamp)})
		}
	})
	q.cursor++
	slices.SortFunc(q.found[start:], func(a, b pendingBinding) int {
		x, y := a.binding.Flow.Bytes(), b.binding.Flow.Bytes()
		return bytes.Compare(x[:], y[:])
	})
	if more {
		return
	}
	q.active = false
	for _, s := range d.shards {
		s.newcomers = nil
	}
}

// handoffTo returns who must learn a binding. A binding that all tables name needs no handoff.
func (d *Dispatcher) handoffTo(flow protocol.FlowKey, e *state.Entry) []string {
	if !e.HasTarget() || e.Has(state.FlagClosed) || !e.Has(state.FlagAnswered) {
		return nil
	}
	s, _ := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
	if s == nil {
		return nil
	}
	shard := d.shardOf(s, flow)
	if len(shard.newcomers) == 0 {
		return nil
	}
	choices := d.tableChoices(s, flow)
	if len(choices) == 1 && choices[0] == e.Target {
		return nil
	}
	return shard.newcomers
}

func newBinding(flow protocol.FlowKey, e *state.Entry, now state.Timestamp) state.Binding {
	return state.Binding{
		Flow:      flow,
		Target:    e.Target,
		Strength:  e.Strength,
		OpenerTag: e.OpenerTag,
		AnswerTag: e.AnswerTag,
		Idle:      now.Since(e.LastSeen),
	}
}

func batchByVM(found []pendingBinding) []HandoffBatch {
	var batches []HandoffBatch
	for _, p := range found {
		i := slices.IndexFunc(batches, func(b HandoffBatch) bool { return b.VM == p.vm })
		if i < 0 {
			i = len(batches)
			batches = append(batches, HandoffBatch{VM: p.vm})
		}
		batches[i].Bindings = append(batches[i].Bindings, p.binding)
	}
	return batches
}

// AcceptHandoff stores bindings from a peer and returns how many were new.
func (d *Dispatcher) AcceptHandoff(now time.Time, bindings []state.Binding) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		return 0
	}
	accepted := 0
	for i := range bindings {
		if d.accept(now, &bindings[i]) {
			accepted++
		}
	}
	return accepted
}

func (d *Dispatcher) accept(now time.Time, b *state.Binding) bool {
	s, _ := d.serviceAt(state.Address{Endpoint: b.Flow.Service, Transport: b.Flow.Transport})
	if s == nil || !d.admitsBinding(now, s, b.Target) {
		return false
	}
	c := packetContext{now: now, stamp: state.NewTimestamp(now), service: s, flow: b.Flow}
	d.find(&c)
	if c.known && c.entry.HasTarget() && c.strong() {
		d.noteHandedRival(&c, b)
		return false
	}
	if c.known && c.entry.HasTarget() && b.Idle > c.stamp.Since(c.entry.LastSeen) {
		return false
	}
	d.uncount(s, c.flow, &c.entry)
	c.entry = state.Entry{
		Target:    b.Target,
		Strength:  b.Strength,
		OpenerTag: b.OpenerTag,
		AnswerTag: b.AnswerTag,
		Flags:     state.FlagAnswered,
		Created:   c.stamp.Add(-b.Idle),
		Epoch:     c.shard.epoch,
	}
	if b.OpenerTag != 0 {
		c.entry.Set(state.FlagOpenerTag)
	}
	if b.AnswerTag != 0 {
		c.entry.Set(state.FlagAnswerTag)
	}
	if c.shard.role != roleNone {
		d.count(&c)
	}
	if !d.save(&c) {
		d.uncount(s, c.flow, &c.entry)
		return false
	}
	c.entry.LastSeen = c.stamp.Add(-b.Idle)
	d.flows.Put(c.flow, c.entry)
	return true
}

// admitsBinding reports whether a binding may be stored. A target that neither
// table nor memory has was removed before this balancer started.
func (d *Dispatcher) admitsBinding(now time.Time, s *state.Service, target protocol.Endpoint) bool {
	a := state.Address{Endpoint: target, Transport: s.Address.Transport}
	if d.serviceOf(a) == nil && d.table.Service(a) == nil {
		d.retired[a] = retiredAddress{service: s, since: now}
	}
	return d.mayForward(s, target)
}
