package coordination

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/kumquatworks/kumquatworks/internal/coordination/journal"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	defaultHoldOff      = 3 * time.Second
	defaultIdleTimeout  = 15 * time.Minute
	defaultFlowCapacity = 1 << 20

	// retryRate and retryBurst are the retry budget of a service. They limit the
	// openers that are retried at another target, so that retries do not add load
	// to a failing pool.
	retryRate  = rate.Limit(10) // per second
	retryBurst = 20
)

// Dispatcher decides what happens to each packet. It is safe for concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	options Options

	table *state.Table
	// recentTables are the current table and its predecessors, latest first.
	recentTables []*state.Table
	// retiredAddresses holds the addresses of earlier tables that the current one
	// no longer has. Established flows go on using them.
	retiredAddresses map[state.Address]retiredAddress

	ranking *rendezvousRanking
	members map[string]*Member
	shards  map[shardKey]*shardState
	places  map[string]placeState
	handoff handoffQueue

	flows    *state.FlowTable
	services map[state.Address]*serviceState
	reports  map[string]TargetReport

	// holdOffUntil is the end of the hold-off after a start or a freeze. No opener
	// is refused before it.
	holdOffUntil time.Time
	// viewUnconfirmed is set by a freeze and cleared when a view arrives or is
	// confirmed. It has no effect after the hold-off.
	viewUnconfirmed bool
	decisions       decisionLog
	// latestSelection holds the reasons why the latest target selection rejected the
	// other targets.
	latestSelection state.SelectionRecord
	// ownershipLog records the recent changes of ownership.
	ownershipLog journal.Log
}

// serviceState is the state of a service at this balancer, except for its flows.
type serviceState struct {
	loadCounts   *state.LoadCounts
	retryLimiter *rate.Limiter
	// pendingOpeners are the openers that wait for an answer.
	pendingOpeners map[protocol.FlowKey]*pendingOpener
}

// pendingOpener is a forwarded opener whose target has not answered yet, or has
// answered only recently.
type pendingOpener struct {
	deadline time.Time
	// triedTargets are the earlier targets of the opener. They were sent a reset
	// when the opener was retried elsewhere.
	triedTargets []protocol.Endpoint
	// answered is set by the answer. The record is kept for a while to recognise
	// late answers from triedTargets.
	answered bool
	// originalDCID is the tag of the QUIC destination connection ID in the opener,
	// 0 when unknown.
	originalDCID uint32
	// competing is set when a target other than the bound one answered too.
	competing competingAnswer
}

// retiredAddress is the service of an address that left the configuration, and
// the time when it left.
type retiredAddress struct {
	service   *state.Service
	retiredAt time.Time
}

var _ Core = (*Dispatcher)(nil)

// NewDispatcher returns a dispatcher without a service table and without members.
// Options that are zero get their defaults.
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
		options:          o,
		retiredAddresses: make(map[state.Address]retiredAddress),
		ranking:          newRendezvousRanking(View{}),
		members:          make(map[string]*Member),
		shards:           make(map[shardKey]*shardState),
		places:           make(map[string]placeState),
		flows:            state.NewFlowTable(o.FlowCapacity),
		services:         make(map[state.Address]*serviceState),
		reports:          make(map[string]TargetReport),
	}
}

// serviceState returns the state of the service at an address and creates it on first use.
func (d *Dispatcher) serviceState(a state.Address) *serviceState {
	s, ok := d.services[a]
	if !ok {
		s = &serviceState{
			loadCounts:     state.NewLoadCounts(),
			retryLimiter:   rate.NewLimiter(retryRate, retryBurst),
			pendingOpeners: make(map[protocol.FlowKey]*pendingOpener),
		}
		d.services[a] = s
	}
	return s
}

// startHoldOff begins the hold-off at the start of the balancer. Later calls do nothing.
func (d *Dispatcher) startHoldOff(now time.Time) {
	if d.holdOffUntil.IsZero() {
		d.holdOffUntil = now.Add(d.options.HoldOff)
	}
}

// HandleFreeze must be called when this balancer resumes after a freeze, such as
// a suspension of its VM. The balancer neither admits nor refuses openers until
// it has a view, and refuses none until the hold-off ends.
func (d *Dispatcher) HandleFreeze(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.viewUnconfirmed = true
	d.holdOffUntil = now.Add(d.options.HoldOff)
}

// ConfirmView ends the wait for a view after a freeze. A view that did not
// change during the freeze is not set again, so without this call the wait would
// last as long as the hold-off. Openers are still not refused until the hold-off ends.
func (d *Dispatcher) ConfirmView() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.viewUnconfirmed = false
}

// FlowCount returns the number of flow table entries.
func (d *Dispatcher) FlowCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flows.Len()
}
