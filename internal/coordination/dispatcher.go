package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Options are the parameters of a dispatcher. They do not change while it runs.
type Options struct {
	// Self is the VM name of this balancer.
	Self string
	// Place is the failure domain of this balancer.
	Place string
	// HoldOff is how long after a start, a freeze or an ownership change no opener is refused.
	HoldOff time.Duration
	// FlowCapacity is the maximum number of flow table entries.
	FlowCapacity int
	// IdleTimeout is how long a flow without packets is kept.
	IdleTimeout time.Duration
	// ShardsPerService, unless 0, overrides the number of shards of each service.
	// Each shard has an owner of its own.
	ShardsPerService int
	// Variant selects the full design or a reduced one for experiments.
	Variant Variant
	// OpenFlowBound, unless 0, replaces the limit on open flows per target for
	// experiments; infinity means no limit.
	OpenFlowBound float64
	// Seed is the seed of random choices.
	Seed uint64
}

// TargetReport is the reported health and load of one target.
type TargetReport struct {
	Target       string
	Healthy      bool
	Shedding     bool
	Draining     bool
	LoadPermille uint32
}

// HandoffBatch is a group of bindings to send to one peer.
type HandoffBatch struct {
	VM       string
	Bindings []state.Binding
}

// Core is the interface of the decision code to the transport layer. Dispatcher implements it.
type Core interface {
	// Handle decides what happens to one packet.
	Handle(now time.Time, in Ingress) Decision
	// AdoptTable replaces the service table by one of a higher generation. A table
	// of the same or a lower generation is ignored.
	AdoptTable(now time.Time, table *state.Table)
	// SetView replaces the view of the live members.
	SetView(now time.Time, view View)
	// SetReports replaces the health and load reports of the targets.
	SetReports(now time.Time, reports []TargetReport)
	// HandleFreeze must be called when this balancer resumes after a freeze.
	HandleFreeze(now time.Time)
	// ConfirmView must be called after a freeze when a peer has confirmed the view or there is no peer.
	ConfirmView()
	// Tick expires flows, requests and unanswered openers. It must be called regularly.
	Tick(now time.Time)
	// Handoff returns up to limit bindings to send to other balancers before this one
	// leaves or after a change of members. It returns nothing once all were returned.
	Handoff(now time.Time, limit int) []HandoffBatch
	// AcceptHandoff stores bindings from a peer and returns how many were new.
	AcceptHandoff(now time.Time, bindings []state.Binding) int
	// Targets returns the flow counts and states of the targets, sorted by name.
	Targets(now time.Time) []TargetState
	// ExplainFlow describes a flow for operators, one fact per line: its owner,
	// backup and target, and why that target was chosen.
	ExplainFlow(now time.Time, flow protocol.FlowKey) []string
	// FlowOwner returns the VM that owns a flow, or an empty string if there is none.
	FlowOwner(flow protocol.FlowKey) string
	// TargetOwners returns the VMs that own shards of the target's service and
	// therefore assign new flows to the target.
	TargetOwners(target string) []string
	// OwnershipChanges returns the recent ownership changes and their causes, oldest first.
	OwnershipChanges() []string
	// Decisions returns the log of recent decisions, oldest first.
	Decisions() []string
	// FlowCount returns the number of flow table entries.
	FlowCount() int
}

// TargetState is the state of one target in the decision code.
type TargetState struct {
	Target    string
	Pool      string
	Service   string
	OpenFlows uint64
	// State is serving, draining, cold, shedding, unhealthy or full.
	State string
	// Reason is why the target receives no new flows; empty when it receives them.
	Reason string
}
