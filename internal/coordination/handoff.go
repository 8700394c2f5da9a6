package coordination

import (
	"bytes"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// handoffQueue collects the bindings that must be copied to other balancers. It
// scans the flow table one map at a time.
type handoffQueue struct {
	scanning bool
	nextMap  int
	// pending are the bindings from the maps before nextMap that were not returned yet.
	pending []pendingBinding
}

type pendingBinding struct {
	recipient string
	binding   state.Binding
}

// scheduleHandoff determines which balancers this one must send the flows of a
// shard to, and restarts the scan of the flow table if there are any. A new owner
// or backup receives the flows from the former owner, or from the former backup if
// the former owner is no longer a member.
func (d *Dispatcher) scheduleHandoff(s *shardState, oldReplicas, newReplicas []string) {
	if !d.usesBackup() {
		return
	}
	recipients := s.handoffRecipients
	if len(recipients) > 0 || d.firstLiveVM(oldReplicas) == d.options.Self {
		for _, vm := range newReplicas {
			if !slices.Contains(oldReplicas, vm) && !slices.Contains(recipients, vm) {
				recipients = append(recipients, vm)
			}
		}
	}
	s.handoffRecipients = slices.DeleteFunc(recipients, func(vm string) bool {
		return vm == d.options.Self || !slices.Contains(newReplicas, vm)
	})
	if len(s.handoffRecipients) > 0 {
		d.handoff = handoffQueue{scanning: true}
	}
}

func (d *Dispatcher) firstLiveVM(vms []string) string {
	for _, vm := range vms {
		if d.members[vm] != nil {
			return vm
		}
	}
	return ""
}

// Handoff returns up to limit bindings to send to other balancers. They are sent
// before this balancer leaves, and after a change of members, since the new owner
// cannot learn an idle flow from its packets. Handoff returns nothing once all
// bindings were returned.
func (d *Dispatcher) Handoff(now time.Time, limit int) []HandoffBatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &d.handoff
	stamp := state.NewTimestamp(now)
	for q.scanning && len(q.pending) < limit {
		d.scanNextMap(q, stamp)
	}
	n := min(limit, len(q.pending))
	batches := batchByRecipient(q.pending[:n])
	q.pending = q.pending[n:]
	return batches
}

// scanNextMap adds the bindings of the next map of the flow table to the queue.
func (d *Dispatcher) scanNextMap(q *handoffQueue, stamp state.Timestamp) {
	scanned := len(q.pending)
	more := d.flows.VisitMap(q.nextMap, func(flow protocol.FlowKey, e *state.Entry) {
		for _, vm := range d.bindingRecipients(flow, e) {
			q.pending = append(q.pending, pendingBinding{recipient: vm, binding: newBinding(flow, e, stamp)})
		}
	})
	q.nextMap++
	slices.SortFunc(q.pending[scanned:], func(a, b pendingBinding) int {
		keyA, keyB := a.binding.Flow.Bytes(), b.binding.Flow.Bytes()
		return bytes.Compare(keyA[:], keyB[:])
	})
	if more {
		return
	}
	q.scanning = false
	for _, s := range d.shards {
		s.handoffRecipients = nil
	}
}

// bindingRecipients returns the balancers that a binding must be sent to. A
// binding to the target that all recent tables select by hash needs no handoff.
func (d *Dispatcher) bindingRecipients(flow protocol.FlowKey, e *state.Entry) []string {
	if !e.HasTarget() || e.Has(state.FlagClosed) || !e.Has(state.FlagAnswered) {
		return nil
	}
	s, _ := d.serviceAt(state.Address{Endpoint: flow.Service, Transport: flow.Transport})
	if s == nil {
		return nil
	}
	shard := d.shardOf(s, flow)
	if len(shard.handoffRecipients) == 0 {
		return nil
	}
	choices := d.tableChoices(s, flow)
	if len(choices) == 1 && choices[0] == e.Target {
		return nil
	}
	return shard.handoffRecipients
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

func batchByRecipient(pending []pendingBinding) []HandoffBatch {
	var batches []HandoffBatch
	for _, p := range pending {
		i := slices.IndexFunc(batches, func(b HandoffBatch) bool { return b.VM == p.recipient })
		if i < 0 {
			i = len(batches)
			batches = append(batches, HandoffBatch{VM: p.recipient})
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
		if d.acceptBinding(now, &bindings[i]) {
			accepted++
		}
	}
	return accepted
}

func (d *Dispatcher) acceptBinding(now time.Time, b *state.Binding) bool {
	s, _ := d.serviceAt(state.Address{Endpoint: b.Flow.Service, Transport: b.Flow.Transport})
	if s == nil || !d.acceptsBindingTo(now, s, b.Target) {
		return false
	}
	c := packetContext{now: now, stamp: state.NewTimestamp(now), service: s, flow: b.Flow}
	d.loadEntry(&c)
	if c.known && c.entry.HasTarget() && c.isAuthoritative() {
		d.recordHandedOffAnswer(&c, b)
		return false
	}
	if c.known && c.entry.HasTarget() && b.Idle > c.stamp.Since(c.entry.LastSeen) {
		return false
	}
	d.uncountFlow(s, c.flow, &c.entry)
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
		d.countFlow(&c)
	}
	if !d.storeEntry(&c) {
		d.uncountFlow(s, c.flow, &c.entry)
		return false
	}
	c.entry.LastSeen = c.stamp.Add(-b.Idle)
	d.flows.Put(c.flow, c.entry)
	return true
}

// acceptsBindingTo reports whether a binding to a target of a service may be
// stored. A target that is neither in the table nor among the retired addresses
// was removed before this balancer started; it is recorded as retired.
func (d *Dispatcher) acceptsBindingTo(now time.Time, s *state.Service, target protocol.Endpoint) bool {
	a := state.Address{Endpoint: target, Transport: s.Address.Transport}
	if d.serviceOfTarget(a) == nil && d.table.Service(a) == nil {
		d.retiredAddresses[a] = retiredAddress{service: s, retiredAt: now}
	}
	return d.belongsToService(s, target)
}
