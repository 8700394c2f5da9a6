package coordination

import (
	"fmt"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// recordedDecisions bounds the record of recent decisions.
const recordedDecisions = 512

type recordedDecision struct {
	at     time.Time
	flow   protocol.FlowKey
	action Action
	target protocol.Endpoint
	reason Reason
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
	k.ring[k.next] = recordedDecision{at: c.now, flow: c.flow, action: a, target: target, reason: r}
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
