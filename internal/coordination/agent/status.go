package agent

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Alarms returns the alarms that are raised.
func (a *Agent) Alarms() []Alarm {
	alarms := a.follower.Alarms()
	if a.members.Removed() {
		alarms = append(alarms, AlarmRemoved)
	}
	if _, others := a.members.RandomReconnectAddr(); others && a.members.LiveCount() == 1 {
		alarms = append(alarms, AlarmAlone)
	}
	return alarms
}

// FillStatus adds what the control plane knows to a status.
func (a *Agent) FillStatus(now time.Time, s *wire.StatusResponse) {
	head := a.follower.InForce().Wire()
	s.Vm = a.cfg.Membership.VM
	s.Place = a.cfg.Membership.Place
	s.Generation = head.Generation
	s.Digest = head.Digest
	s.Members = a.members.StatusMembers(now)
	reachable, answered := a.follower.PlatformStatus()
	s.PlatformReachable = reachable
	s.PlatformAgeSeconds = -1
	if !answered.IsZero() {
		s.PlatformAgeSeconds = now.Sub(answered).Seconds()
	}
	for _, alarm := range a.Alarms() {
		s.Alarms = append(s.Alarms, string(alarm))
	}
}

// Counters returns the running totals by name.
func (a *Agent) Counters() map[string]uint64 {
	members, follow := a.members.Counts(), a.follower.Counts()
	return map[string]uint64{
		"membership_suspicions":   members.Suspicions,
		"membership_deaths":       members.Deaths,
		"membership_refutations":  members.Refutations,
		"membership_freezes":      members.Freezes,
		"membership_live":         uint64(a.members.LiveCount()),
		"follower_adoptions":      follow.Adoptions,
		"follower_refusals":       follow.Refusals,
		"follower_lower_heads":    follow.LowerHeads,
		"follower_platform_calls": follow.PlatformCalls,
		"follower_peer_fetches":   follow.PeerFetches,
	}
}

// ReportAge returns the seconds since the last report about a target, or -1 without one.
func (a *Agent) ReportAge(now time.Time, target string) float64 {
	age, ok := a.health.ReportAge(now, target)
	if !ok {
		return -1
	}
	return age.Seconds()
}

// Describe tells the state of the control plane, one fact a line.
func (a *Agent) Describe(now time.Time) []string {
	head := a.follower.InForce()
	lines := []string{fmt.Sprintf("generation %d with digest %s in force", head.Generation, head.Digest)}
	for _, m := range a.members.Members() {
		state := strings.ToLower(strings.TrimPrefix(m.State.String(), "MEMBER_STATE_"))
		lines = append(lines, fmt.Sprintf("member %s in place %s: %s, incarnation %d, generation %d", m.Vm, m.Place, state, m.Incarnation, m.Generation))
	}
	for _, alarm := range a.Alarms() {
		lines = append(lines, "alarm: "+string(alarm))
	}
	return lines
}

// DescribeTarget tells the reports about a target, one a line.
func (a *Agent) DescribeTarget(now time.Time, target string) []string {
	return a.health.Describe(now, target)
}
