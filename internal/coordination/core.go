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

	// retryRate and retryBurst bound the openers of a service that are sent to a
	// second target, so that a failing pool is not loaded with repeated openers.
	retryRate  = rate.Limit(10) // per second
	retryBurst = 20
)

// Dispatcher decides about packets. Its methods may be called concurrently.
type Dispatcher struct {
	mu      sync.Mutex
	options Options

	table *state.Table
	// history are the present table and those before it, latest first.
	history []*state.Table
	// retired holds the addresses that earlier tables had and the present one
	// has not; established flows keep them.
	retired map[state.Address]retiredAddress

	ring    *ring
	members map[string]*Member
	shards  map[shardKey]*shardState
	places  map[string]placeState
	handoff handoffQueue

	flows    *state.FlowTable
	services map[state.Address]*serviceState
	reports  map[string]TargetReport

	// holdUntil is the end of the hold-off after a start or a freeze.
	holdUntil time.Time
	// frozen is set after a freeze until a view arrives or is confirmed, or the hold-off ends.
	frozen bool
	record decisionRecord
	// passed tells why the last choice of a target passed over the others.
	passed state.SelectionRecord
	// repairs are the recent changes of ownership.
	repairs journal.Log
}

// serviceState is what this balancer knows about a service beside its flows.
type serviceState struct {
	counts  *state.LoadCounts
	retries *rate.Limiter
	// attempts are the openers that wait for an answer.
	attempts map[protocol.FlowKey]*attempt
}

// attempt is an opener that waits for an answer.
type attempt struct {
	deadline time.Time
	// tried are the targets that were given up; they were sent a reset.
	tried []protocol.Endpoint
	// answered attempts are kept for a while to recognise late answers of tried targets.
	answered bool
	// tag is the QUIC connection id that the opener was sent to, 0 when unknown.
	tag uint32
	// rival is set when another target answered too.
	rival rival
}

type retiredAddress struct {
	service *state.Service
	since   time.Time
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
		options:  o,
		retired:  make(map[state.Address]retiredAddress),
		ring:     newRing(View{}),
		members:  make(map[string]*Member),
		shards:   make(map[shardKey]*shardState),
		places:   make(map[string]placeState),
		flows:    state.NewFlowTable(o.FlowCapacity),
		services: make(map[state.Address]*serviceState),
		reports:  make(map[string]TargetReport),
	}
}

func (d *Dispatcher) serviceState(a state.Address) *serviceState {
	s, ok := d.services[a]
	if !ok {
		s = &serviceState{
			counts:   state.NewLoadCounts(),
			retries:  rate.NewLimiter(retryRate, retryBurst),
			attempts: make(map[protocol.FlowKey]*attempt),
		}
		d.services[a] = s
	}
	return s
}

// start begins the hold-off of a balancer that starts.
func (d *Dispatcher) start(now time.Time) {
	if d.holdUntil.IsZero() {
		d.holdUntil = now.Add(d.options.HoldOff)
	}
}

// Freeze tells that this balancer was frozen until now. It neither admits nor
// refuses until it has a view, and refuses nothing during the hold-off.
func (d *Dispatcher) Freeze(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = true
	d.holdUntil = now.Add(d.options.HoldOff)
}

// ConfirmView ends the wait for a view after a freeze. A view that did not
// change during the freeze is not set again, so the wait would otherwise last
// as long as the hold-off. Refusals stay held off.
func (d *Dispatcher) ConfirmView() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = false
}

// Flows returns the number of flow table entries.
func (d *Dispatcher) Flows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flows.Len()
}
