package coordination

import (
	"fmt"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// maxRecordedDecisions is the capacity of the log of recent decisions.
const maxRecordedDecisions = 512

type recordedDecision struct {
	at     time.Time
	flow   protocol.FlowKey
	action Action
	target protocol.Endpoint
	reason Reason
	// generation is the generation of the table.
	generation uint64
	// selection is set when the decision chose a target. It holds the reasons why
	// the other targets were rejected.
	selection state.SelectionRecord
}

// decisionLog is a ring buffer of the decisions that operators ask about:
// admissions, retries, refusals and conflicts, but not packets of known flows.
type decisionLog struct {
	entries [maxRecordedDecisions]recordedDecision
	next    int
	wrapped bool
}

// recordDecision adds a decision to the log and overwrites the oldest one when
// the log is full.
func (d *Dispatcher) recordDecision(c *packetContext, a Action, target protocol.Endpoint, r Reason) {
	log := &d.decisions
	entry := &log.entries[log.next]
	entry.at, entry.flow, entry.action, entry.target, entry.reason = c.now, c.flow, a, target, r
	entry.generation = d.table.Generation
	if entry.isTargetChoice() {
		entry.selection.CopyFrom(&d.latestSelection)
	}
	log.next = (log.next + 1) % maxRecordedDecisions
	log.wrapped = log.wrapped || log.next == 0
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

// latestChoice returns the latest decision in the log that chose a target for a
// flow, or nil.
func (l *decisionLog) latestChoice(flow protocol.FlowKey) *recordedDecision {
	for i := range l.entries {
		entry := &l.entries[(l.next+maxRecordedDecisions-1-i)%maxRecordedDecisions]
		if entry.flow == flow && entry.isTargetChoice() {
			return entry
		}
	}
	return nil
}

// isTargetChoice reports whether the decision chose a target for an opener.
func (r *recordedDecision) isTargetChoice() bool {
	return r.reason == ReasonAdmitted || r.reason == ReasonRetriedOpener
}

func (r *recordedDecision) String() string {
	text := fmt.Sprintf("%s %s -> %s %s %s", r.at.UTC().Format(time.RFC3339Nano),
		r.flow.Caller, r.flow.Service, r.action, r.reason)
	if !r.target.IsZero() {
		text += " target " + r.target.String()
	}
	return text
}

// Decisions returns the log of recent decisions, oldest first.
func (d *Dispatcher) Decisions() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	log := &d.decisions
	var lines []string
	if log.wrapped {
		for i := range log.entries[log.next:] {
			lines = append(lines, log.entries[log.next+i].String())
		}
	}
	for i := range log.entries[:log.next] {
		lines = append(lines, log.entries[i].String())
	}
	return lines
}
