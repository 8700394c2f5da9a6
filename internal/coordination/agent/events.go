package agent

import (
	"slices"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/follower"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Events returns the recent changes of members, configuration and alarms, oldest first.
func (a *Agent) Events() []string { return a.events.Lines() }

// recordViewChanges records the balancers that were added to or removed from the
// view since the last call.
func (a *Agent) recordViewChanges(now time.Time, view coordination.View) {
	before, after := vmNames(a.recordedView), vmNames(view)
	for _, m := range view.Members {
		if !before[m.VM] {
			a.events.Add(now, "%s of place %s added to the view", m.VM, m.Place)
		}
	}
	var states map[string]wire.MemberState
	for _, m := range a.recordedView.Members {
		if after[m.VM] {
			continue
		}
		if states == nil {
			states = a.memberStates()
		}
		a.events.Add(now, "%s of place %s removed from the view: %s", m.VM, m.Place, removalReason(states[m.VM]))
	}
	a.recordedView = view
}

func vmNames(view coordination.View) map[string]bool {
	names := make(map[string]bool, len(view.Members))
	for _, m := range view.Members {
		names[m.VM] = true
	}
	return names
}

func (a *Agent) memberStates() map[string]wire.MemberState {
	states := map[string]wire.MemberState{}
	for _, m := range a.detector.Members() {
		states[m.Vm] = m.State
	}
	return states
}

// removalReason describes why a member of this state is not in the view.
func removalReason(state wire.MemberState) string {
	switch state {
	case wire.MemberState_MEMBER_STATE_DEAD:
		return "dead, it answered neither this balancer's probes nor those of others"
	case wire.MemberState_MEMBER_STATE_LEFT:
		return "it left, or the VM list lacks it"
	}
	return strings.ToLower(strings.TrimPrefix(state.String(), "MEMBER_STATE_"))
}

// recordAdoption records a configuration that came into force and the source of its snapshot.
func (a *Agent) recordAdoption(now time.Time, r follower.Result, s follower.Snapshot) {
	source := "the platform"
	if r.Command.Kind == follower.FetchFromPeer {
		source = r.Command.Peer
	}
	a.events.Add(now, "generation %d came into force, read from %s", s.Head.Generation, source)
}

// recordAlarmChanges records the follower's alarms that were raised or cleared.
func (a *Agent) recordAlarmChanges(now time.Time) {
	alarms := a.follower.Alarms()
	if slices.Equal(alarms, a.recordedAlarms) {
		return
	}
	for _, alarm := range alarms {
		if !slices.Contains(a.recordedAlarms, alarm) {
			a.events.Add(now, "alarm began: %s", alarm)
		}
	}
	for _, alarm := range a.recordedAlarms {
		if !slices.Contains(alarms, alarm) {
			a.events.Add(now, "alarm ended: %s", alarm)
		}
	}
	a.recordedAlarms = alarms
}
