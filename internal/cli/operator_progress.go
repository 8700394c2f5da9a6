package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// progressPollInterval is the time between two queries of the fleet.
const progressPollInterval = 300 * time.Millisecond

// maxNamedBalancers bounds the balancers that one line names.
const maxNamedBalancers = 10

// progressWatcher polls the fleet until every live balancer has a generation in force.
type progressWatcher struct {
	out        io.Writer
	dial       operatorDialer
	addresses  []string
	generation uint64
	// lastLine is the most recent progress line.
	lastLine string
}

// waitInForce returns true once every live balancer has the generation or a higher one, and
// false when ctx ends first.
func (w *progressWatcher) waitInForce(ctx context.Context) bool {
	for {
		if w.poll(ctx) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(progressPollInterval):
		}
	}
}

func (w *progressWatcher) poll(ctx context.Context) bool {
	status, err := queryFirst(ctx, w.dial, w.addresses)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		w.printIfChanged(fmt.Sprintf("no balancer answers: %v", err))
		return false
	}
	refreshed := refreshGenerations(ctx, w.dial, status.Members, w.generation)
	if ctx.Err() != nil {
		return false
	}
	total := 0
	for _, m := range status.Members {
		if isLive(m) {
			total++
		}
	}
	lagging := membersBehind(status.Members, w.generation)
	text := fmt.Sprintf("in force at %d of %d live balancers", total-len(lagging), total)
	if len(lagging) > 0 {
		text += "; missing: " + describeLagging(lagging, refreshed)
	}
	if dead := describeDead(status.Members, w.generation); dead != "" {
		text += "; not live: " + dead
	}
	w.printIfChanged(text)
	return total > 0 && len(lagging) == 0
}

// printIfChanged prints a progress line that differs from the last one.
func (w *progressWatcher) printIfChanged(text string) {
	if text != w.lastLine {
		fmt.Fprintln(w.out, text)
	}
	w.lastLine = text
}

// describeLagging names the balancers without the generation and what is known of the cause:
// the member state, a failed query, or alarms.
func describeLagging(lagging []*wire.Member, refreshed peerResponses) string {
	var descriptions []string
	for _, m := range lagging {
		description := fmt.Sprintf("%s has generation %d", m.Vm, m.Generation)
		if m.State != wire.MemberState_MEMBER_STATE_ALIVE {
			description += " and is " + stateName(m.State)
		}
		if err := refreshed.failures[m.Vm]; err != nil {
			description += fmt.Sprintf(" and does not answer (%v)", err)
		}
		if alarms := refreshed.responses[m.Vm].GetAlarms(); len(alarms) > 0 {
			description += " (" + strings.Join(alarms, "; ") + ")"
		}
		descriptions = append(descriptions, description)
	}
	return joinLimited(descriptions)
}

// describeDead names the dead members that have not reported a generation. Members that
// left don't count.
func describeDead(members []*wire.Member, generation uint64) string {
	var descriptions []string
	for _, m := range members {
		if m.State == wire.MemberState_MEMBER_STATE_DEAD && m.Generation < generation {
			descriptions = append(descriptions, fmt.Sprintf("%s (dead, last seen with generation %d)", m.Vm, m.Generation))
		}
	}
	return joinLimited(descriptions)
}

// joinLimited joins the first maxNamedBalancers items and counts the rest.
func joinLimited(items []string) string {
	if len(items) <= maxNamedBalancers {
		return strings.Join(items, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(items[:maxNamedBalancers], ", "), len(items)-maxNamedBalancers)
}
