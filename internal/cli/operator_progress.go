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
const progressInterval = 300 * time.Millisecond

// maxNamed bounds the balancers that one line names.
const maxNamed = 10

// progressWatcher follows a generation until every live balancer has it in force.
type progressWatcher struct {
	out        io.Writer
	dial       operatorDial
	addresses  []string
	generation uint64
	// last is the most recent line about the progress.
	last string
}

// run returns true once every live balancer has the generation or a higher one.
func (w *progressWatcher) run(ctx context.Context) bool {
	for {
		if w.look(ctx) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(progressInterval):
		}
	}
}

func (w *progressWatcher) look(ctx context.Context) bool {
	status, err := askFirst(ctx, w.dial, w.addresses)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		w.say(fmt.Sprintf("no balancer answers: %v", err))
		return false
	}
	asked := refresh(ctx, w.dial, status.Members, w.generation)
	if ctx.Err() != nil {
		return false
	}
	total := 0
	for _, m := range status.Members {
		if live(m) {
			total++
		}
	}
	late := behind(status.Members, w.generation)
	text := fmt.Sprintf("in force at %d of %d live balancers", total-len(late), total)
	if len(late) > 0 {
		text += "; missing: " + whyLate(late, asked)
	}
	if gone := notLive(status.Members, w.generation); gone != "" {
		text += "; not live: " + gone
	}
	w.say(text)
	return total > 0 && len(late) == 0
}

// say prints a line about the progress when it changed.
func (w *progressWatcher) say(text string) {
	if text != w.last {
		fmt.Fprintln(w.out, text)
	}
	w.last = text
}

// whyLate names the balancers without the generation, with what they or others tell about the cause.
func whyLate(late []*wire.Member, asked others) string {
	var words []string
	for _, m := range late {
		why := fmt.Sprintf("%s has generation %d", m.Vm, m.Generation)
		if m.State != wire.MemberState_MEMBER_STATE_ALIVE {
			why += " and is " + stateName(m.State)
		}
		if err := asked.failures[m.Vm]; err != nil {
			why += fmt.Sprintf(" and does not answer (%v)", err)
		}
		if alarms := asked.answers[m.Vm].GetAlarms(); len(alarms) > 0 {
			why += " (" + strings.Join(alarms, "; ") + ")"
		}
		words = append(words, why)
	}
	return named(words)
}

// notLive lists the dead members that have not reported a generation; members that left are done.
func notLive(members []*wire.Member, generation uint64) string {
	var words []string
	for _, m := range members {
		if m.State == wire.MemberState_MEMBER_STATE_DEAD && m.Generation < generation {
			words = append(words, fmt.Sprintf("%s (dead, last seen with generation %d)", m.Vm, m.Generation))
		}
	}
	return named(words)
}

// named joins the first words and counts the rest.
func named(words []string) string {
	if len(words) <= maxNamed {
		return strings.Join(words, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(words[:maxNamed], ", "), len(words)-maxNamed)
}
