package coordination

import (
	"net/netip"
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	defaultHoldOff      = 3 * time.Second
	defaultIdleTimeout  = 15 * time.Minute
	defaultFlowCapacity = 1 << 20
)

// Dispatcher decides about packets. Its methods may be called concurrently.
type Dispatcher struct {
	mu      sync.Mutex
	options Options

	table    *state.Table
	previous *state.Table
	view     View
	ring     *ring
	former   *ring
	self     netip.AddrPort

	flows *state.FlowTable
}

var _ Core = (*Dispatcher)(nil)

// NewDispatcher makes a dispatcher without a table and without members.
func NewDispatcher(o Options) *Dispatcher {
	if o.HoldOff == 0 {
		o.HoldOff = defaultHoldOff
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.FlowCapacity == 0 {
		o.FlowCapacity = defaultFlowCapacity
	}
	if o.Variant == "" {
		o.Variant = VariantFull
	}
	return &Dispatcher{
		options: o,
		flows:   state.NewFlowTable(o.FlowCapacity),
		ring:    newRing(View{}),
		former:  newRing(View{}),
	}
}

// AdoptTable puts a service table of a higher generation in force.
func (d *Dispatcher) AdoptTable(_ time.Time, table *state.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil && table.Generation <= d.table.Generation {
		return
	}
	d.previous, d.table = d.table, table
}

// SetView replaces the view of the live members.
func (d *Dispatcher) SetView(_ time.Time, view View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.former, d.ring = d.ring, newRing(view)
	d.view = view
	for _, m := range view.Members {
		if m.VM == d.options.Self {
			d.self = m.Data
		}
	}
}

// SetReports replaces the reports about targets.
func (d *Dispatcher) SetReports(time.Time, []TargetReport) {}

// Freeze tells that this balancer was frozen until now.
func (d *Dispatcher) Freeze(time.Time) {}

// Tick expires flows and pending decisions.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stamp := state.NewStamp(now)
	d.flows.Step(8, func(_ protocol.FlowKey, e *state.Entry) bool {
		return stamp.Since(e.Seen) > d.options.IdleTimeout
	})
}

// Handoff returns up to limit bindings that other balancers must learn before this one leaves.
func (d *Dispatcher) Handoff(time.Time, int) []HandoffBatch { return nil }

// AcceptHandoff stores bindings from a peer and returns how many were new.
func (d *Dispatcher) AcceptHandoff(time.Time, []state.Binding) int { return 0 }

// Targets reports counts and states of the targets, by name.
func (d *Dispatcher) Targets(time.Time) []TargetState { return nil }

// ExplainFlow tells owner, backup, target and the reasons of the choice, one fact a line.
func (d *Dispatcher) ExplainFlow(time.Time, protocol.FlowKey) []string { return nil }

// Decisions returns the bounded record of recent decisions, oldest first.
func (d *Dispatcher) Decisions() []string { return nil }

// Flows returns the number of flow table entries.
func (d *Dispatcher) Flows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flows.Len()
}
