package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// progressInterval is the time between two looks at the fleet.
const progressPollInterval = 300 * time.Millisecond

// maxNamed bounds the balancers that one line names.
const maxNamedBalancers = 10

// progressWatcher follows a generation until every live balancer has it in force.
type progressWatcher struct {
	out        io.Writer
	dial       operatorDialer
	addresses  []string
	generation uint64
	// last is the most recent line about the progress.
	lastLine string
}

// run returns true once every live balancer has the generation or a higher one.
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

// say prints a line about the progress when it changed.
func (w *progressWatcher) printIfChanged(text string) {
	if text != w.lastLine {
		fmt.Fprintln(w.out, text)
	}
	w.lastLine = text
}

// whyLate names the balancers without the generation, with what they or others tell about the cause.
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

// notLive lists the dead members that have not reported a generation; members that left are done.
func describeDead(members []*wire.Member, generation uint64) string {
	var descriptions []string
	for _, m := range members {
		if m.State == wire.MemberState_MEMBER_STATE_DEAD && m.Generation < generation {
			descriptions = append(descriptions, fmt.Sprintf("%s (dead, last seen with generation %d)", m.Vm, m.Generation))
		}
	}
	return joinLimited(descriptions)
}

// named joins the first words and counts the rest.
func joinLimited(items []string) string {
	if len(items) <= maxNamedBalancers {
		return strings.Join(items, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(items[:maxNamedBalancers], ", "), len(items)-maxNamedBalancers)
}
