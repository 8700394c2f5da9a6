package agent

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Alarms returns the raised alarms of the follower and the membership.
func (a *Agent) Alarms() []Alarm {
	alarms := a.follower.Alarms()
	if a.detector.Removed() {
		alarms = append(alarms, AlarmRemoved)
	}
	if _, hasReconnectAddr := a.detector.RandomReconnectAddr(); hasReconnectAddr && a.detector.LiveCount() == 1 {
		alarms = append(alarms, AlarmNoPeers)
	}
	return alarms
}

// FillStatus sets the fields of a status response that the control plane provides.
func (a *Agent) FillStatus(now time.Time, s *wire.StatusResponse) {
	head := a.follower.InForce().Wire()
	s.Vm = a.cfg.Membership.VM
	s.Place = a.cfg.Membership.Place
	s.Generation = head.Generation
	s.Digest = head.Digest
	s.Members = a.detector.StatusMembers(now)
	reachable, lastAnswer := a.follower.PlatformStatus()
	s.PlatformReachable = reachable
	s.PlatformAgeSeconds = -1
	if !lastAnswer.IsZero() {
		s.PlatformAgeSeconds = now.Sub(lastAnswer).Seconds()
	}
	for _, alarm := range a.Alarms() {
		s.Alarms = append(s.Alarms, string(alarm))
	}
}

// Counters returns the totals since the start and the count of live members, by name.
func (a *Agent) Counters() map[string]uint64 {
	memberCounts, followerCounts := a.detector.Counts(), a.follower.Counts()
	return map[string]uint64{
		"membership_suspicions":   memberCounts.Suspicions,
		"membership_deaths":       memberCounts.Deaths,
		"membership_refutations":  memberCounts.Refutations,
		"membership_freezes":      memberCounts.Freezes,
		"membership_live":         uint64(a.detector.LiveCount()),
		"follower_adoptions":      followerCounts.Adoptions,
		"follower_refusals":       followerCounts.Refusals,
		"follower_lower_heads":    followerCounts.LowerHeads,
		"follower_platform_calls": followerCounts.PlatformCalls,
		"follower_peer_fetches":   followerCounts.PeerFetches,
	}
}

// ReportAge returns the seconds since the latest report about a target, or -1 if there is none.
func (a *Agent) ReportAge(now time.Time, target string) float64 {
	age, ok := a.health.ReportAge(now, target)
	if !ok {
		return -1
	}
	return age.Seconds()
}

// Describe returns the state of the control plane as text lines: head, members and alarms.
func (a *Agent) Describe(now time.Time) []string {
	head := a.follower.InForce()
	lines := []string{fmt.Sprintf("generation %d with digest %s in force", head.Generation, head.Digest)}
	for _, m := range a.detector.Members() {
		state := strings.ToLower(strings.TrimPrefix(m.State.String(), "MEMBER_STATE_"))
		lines = append(lines, fmt.Sprintf("member %s in place %s: %s, incarnation %d, generation %d", m.Vm, m.Place, state, m.Incarnation, m.Generation))
	}
	for _, alarm := range a.Alarms() {
		lines = append(lines, "alarm: "+string(alarm))
	}
	return lines
}

// DescribeTarget returns the reports about a target as text lines.
func (a *Agent) DescribeTarget(now time.Time, target string) []string {
	return a.health.Describe(now, target)
}
