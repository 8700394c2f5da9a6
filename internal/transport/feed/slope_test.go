package feed

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

const (
	// headerBytes are those of IP and UDP.
	ipUDPHeaderBytes = 28
	// memberBytes is about one entry of a list of members as the platform sends it.
	memberEntryBytes = 150
	// controlBudget is the bytes a second that a balancer may send and receive for control.
	controlBudgetBytesPerSecond = 2048
)

// controlBytes computes, from the encoded messages, the bytes a second that the
// busiest balancer of a place of n sends and receives without changes.
func controlBytesPerSecond(bound time.Duration, n int) float64 {
	probeBytes := ipUDPHeaderBytes + 1 + proto.Size(&wire.FeedProbe{Sequence: 1 << 20})
	stateBytes := ipUDPHeaderBytes + 1 + proto.Size(&wire.FeedState{Sequence: 1 << 20, RoutesVersion: 1 << 30, Epoch: 1 << 63, Change: 1 << 20, AgeMs: 2000})
	members := make([]feed.Member, n)
	for i := range members {
		members[i] = feed.Member{VM: fmt.Sprintf("vm-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
	}
	probesPerSecond := float64(probesPerMaxAge) / (maxAgeShareOfBound * bound.Seconds())
	linksByVM := map[string]int{}
	for _, m := range members {
		f := feed.NewFollower(m.VM, time.Second)
		f.SetMembers(members)
		if parent, ok := f.Parent(time.Time{}.Add(time.Hour)); ok {
			linksByVM[m.VM]++
			linksByVM[parent.VM]++
		}
	}
	maxLinks := 0
	for _, l := range linksByVM {
		maxLinks = max(maxLinks, l)
	}
	return float64(maxLinks)*probesPerSecond*float64(probeBytes+stateBytes) + float64(n*memberEntryBytes)/nextMembersInterval("vm-0", members).Seconds()
}

// BenchmarkSlope reports the control bytes by bound and members.
func BenchmarkSlope(b *testing.B) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 13 * time.Second} {
		for _, n := range []int{3, 20, 60, 160} {
			b.Run(fmt.Sprintf("bound=%v/members=%d", bound, n), func(b *testing.B) {
				b.ReportMetric(controlBytesPerSecond(bound, n), "bytes/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Guards against a feed that takes more than a node's share of the links for
// control, at the bounds of the platform and the sizes that are planned for.
func TestControlBytesStayInBudget(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 13 * time.Second} {
		for _, n := range []int{3, 20, 60, 160} {
			bytesPerSecond := controlBytesPerSecond(bound, n)
			assert.Check(t, bytesPerSecond <= controlBudgetBytesPerSecond, "bound %v, %d members: %.0f bytes a second", bound, n, bytesPerSecond)
		}
	}
}

// Guards against a balancer that reads the platform by itself for as long as a
// long list is kept, because the list was read before its own entry showed.
func TestMembersIntervalWithoutOwnEntry(t *testing.T) {
	var members []feed.Member
	for i := range 60 {
		members = append(members, feed.Member{VM: fmt.Sprintf("vm-%d", i)})
	}
	assert.Equal(t, nextMembersInterval("vm-0", members), 60*membersIntervalPerMember)
	assert.Equal(t, nextMembersInterval("vm-60", members), minMembersInterval)
	assert.Equal(t, nextMembersInterval("vm-0", members[:3]), minMembersInterval)
}
