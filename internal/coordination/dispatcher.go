package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Options are the fixed parameters of a dispatcher.
type Options struct {
	// Self is the VM name of this balancer.
	Self string
	// Place is the failure domain of this balancer.
	Place string
	// HoldOff is how long after a start, a freeze or an ownership change no opener is refused.
	HoldOff time.Duration
	// FlowCapacity bounds the number of flow table entries.
	FlowCapacity int
	// IdleTimeout is how long a flow without packets is kept.
	IdleTimeout time.Duration
	// Shards, unless 0, overrides the number of deciders per service.
	ShardsPerService int
	// Variant selects the whole design or a reduced one for experiments.
	Variant Variant
	// Bound, unless 0, replaces the bound of open flows per target for experiments;
	// infinity stands for no bound.
	OpenFlowBound float64
	// Seed seeds the random choices.
	Seed uint64
}

// TargetReport is what is known about the health and load of one target.
type TargetReport struct {
	Target       string
	Healthy      bool
	Shedding     bool
	Draining     bool
	LoadPermille uint32
}

// HandoffBatch is a group of bindings for one peer.
type HandoffBatch struct {
	VM       string
	Bindings []state.Binding
}

// Core is what the transport layer needs of the decision code. Dispatcher implements it.
type Core interface {
	// Handle decides about one packet.
	Handle(now time.Time, in Ingress) Decision
	// AdoptTable puts a service table of a higher generation in force.
	AdoptTable(now time.Time, table *state.Table)
	// SetView replaces the view of the live members.
	SetView(now time.Time, view View)
	// SetReports replaces the reports about targets.
	SetReports(now time.Time, reports []TargetReport)
	// Freeze tells that this balancer was frozen until now.
	HandleFreeze(now time.Time)
	// ConfirmView tells, after a freeze, that a peer confirmed the view or that there is no peer.
	ConfirmView()
	// Tick expires flows and pending decisions.
	Tick(now time.Time)
	// Handoff returns up to limit bindings that other balancers must learn before this one leaves.
	Handoff(now time.Time, limit int) []HandoffBatch
	// AcceptHandoff stores bindings from a peer and returns how many were new.
	AcceptHandoff(now time.Time, bindings []state.Binding) int
	// Targets reports counts and states of the targets, by name.
	Targets(now time.Time) []TargetState
	// ExplainFlow tells owner, backup, target and the reasons of the choice, one fact a line.
	ExplainFlow(now time.Time, flow protocol.FlowKey) []string
	// FlowOwner returns the VM that decides about a flow; empty without one.
	FlowOwner(flow protocol.FlowKey) string
	// TargetOwners returns the VMs that choose the target for new flows.
	TargetOwners(target string) []string
	// Repairs tells the recent changes of ownership and their causes, oldest first.
	Repairs() []string
	// Decisions returns the bounded record of recent decisions, oldest first.
	Decisions() []string
	// Flows returns the number of flow table entries.
	FlowCount() int
}

// TargetState is the state of one target as the decision code sees it.
type TargetState struct {
	Target    string
	Pool      string
	Service   string
	OpenFlows uint64
	// State is serving, draining, cold, shedding, unhealthy or full.
	State string
	// Reason tells why the target receives no new flows; empty when it does.
	Reason string
}
