package coordination

import (
	"fmt"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// recordedDecisions bounds the record of recent decisions.
const recordedDecisions = 512

type recordedDecision struct {
	at     time.Time
	flow   protocol.FlowKey
	action Action
	target protocol.Endpoint
	reason Reason
	// generation and passed are those of the choice of a target.
	generation uint64
	passed     state.SelectionRecord
}

// decisionRecord is a ring of the decisions that operators ask about:
// admissions, retries, refusals and conflicts, not packets of known flows.
type decisionRecord struct {
	ring [recordedDecisions]recordedDecision
	next int
	full bool
}

func (d *Dispatcher) note(c *packetContext, a Action, target protocol.Endpoint, r Reason) {
	k := &d.record
	one := &k.ring[k.next]
	one.at, one.flow, one.action, one.target, one.reason = c.now, c.flow, a, target, r
	one.generation = d.table.Generation
	if one.isChoice() {
		one.passed.CopyFrom(&d.passed)
	}
	k.next = (k.next + 1) % recordedDecisions
	k.full = k.full || k.next == 0
}

var actionNames = [...]string{
	ActionDrop:    "drop",
	ActionForward: "forward",
	ActionReturn:  "return",
	ActionRelay:   "relay",
	ActionRefuse:  "refuse",
}

// String returns the name of an action.
func (a Action) String() string { return actionNames[a] }

// choiceOf returns the latest recorded choice of a target for a flow, or nil.
func (k *decisionRecord) choiceOf(flow protocol.FlowKey) *recordedDecision {
	for i := range k.ring {
		one := &k.ring[(k.next+recordedDecisions-1-i)%recordedDecisions]
		if one.flow == flow && one.isChoice() {
			return one
		}
	}
	return nil
}

// isChoice reports whether the decision chose a target for an opener.
func (r *recordedDecision) isChoice() bool {
	return r.reason == ReasonAdmitted || r.reason == ReasonRetried
}

func (r *recordedDecision) String() string {
	text := fmt.Sprintf("%s %s -> %s %s %s", r.at.UTC().Format(time.RFC3339Nano),
		r.flow.Caller, r.flow.Service, r.action, r.reason)
	if !r.target.IsZero() {
		text += " target " + r.target.String()
	}
	return text
}

// Decisions returns the bounded record of recent decisions, oldest first.
func (d *Dispatcher) Decisions() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := &d.record
	var lines []string
	if k.full {
		for i := range k.ring[k.next:] {
			lines = append(lines, k.ring[k.next+i].String())
		}
	}
	for i := range k.ring[:k.next] {
		lines = append(lines, k.ring[i].String())
	}
	return lines
}
