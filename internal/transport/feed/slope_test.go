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
	// ipUDPHeaderBytes is the length of the IPv4 and UDP headers.
	ipUDPHeaderBytes = 28
	// memberEntryBytes is the approximate size of an entry of the member list, as the
	// platform sends it.
	memberEntryBytes = 150
	// controlBudgetBytesPerSecond limits the control traffic that a balancer sends and
	// receives.
	controlBudgetBytesPerSecond = 2048
)

// controlBytesPerSecond computes, from the sizes of the encoded messages, the control
// traffic of the busiest balancer of a place with n members while no data change.
func controlBytesPerSecond(maxPropagationDelay time.Duration, n int) float64 {
	probeBytes := ipUDPHeaderBytes + 1 + proto.Size(&wire.FeedProbe{Sequence: 1 << 20})
	stateBytes := ipUDPHeaderBytes + 1 + proto.Size(&wire.FeedState{Sequence: 1 << 20, RoutesVersion: 1 << 30, Epoch: 1 << 32, Change: 1 << 20, Revision: 1 << 30, AgeMs: 2000})
	lossBytes := 2 + proto.Size(&wire.FeedLoss{Packets: 1 << 20, LostTenths: 1 << 13})
	digestBytes := proto.Size(&wire.FeedState{RoutesDigest: 1, TargetsDigest: 1})
	probeAndStateBytes := float64(probeBytes+stateBytes) + float64(2*lossBytes+digestBytes)/probesPerLossReport
	members := make([]feed.Member, n)
	for i := range members {
		members[i] = feed.Member{VM: fmt.Sprintf("vm-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
	}
	probesPerSecond := float64(probesPerMaxAge) / (MaxAgeShareOfPropagationDelay * maxPropagationDelay.Seconds())
	linksByVM := map[string]int{}
	for _, m := range members {
		f := feed.NewFollower(m.VM, time.Second, time.Time{})
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
	return float64(maxLinks)*probesPerSecond*probeAndStateBytes + float64(n*memberEntryBytes)/nextMembersInterval("vm-0", members).Seconds()
}

// BenchmarkSlope reports the control traffic by maximum propagation delay and number of
// members.
func BenchmarkSlope(b *testing.B) {
	for _, maxPropagationDelay := range []time.Duration{3 * time.Second, 5 * time.Second, 13 * time.Second} {
		for _, n := range []int{3, 20, 60, 160} {
			b.Run(fmt.Sprintf("bound=%v/members=%d", maxPropagationDelay, n), func(b *testing.B) {
				b.ReportMetric(controlBytesPerSecond(maxPropagationDelay, n), "bytes/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Guards against replication traffic that exceeds the control budget of a balancer, at
// the maximum propagation delays of the platform and the planned sizes of a place.
func TestControlBytesStayInBudget(t *testing.T) {
	for _, maxPropagationDelay := range []time.Duration{3 * time.Second, 13 * time.Second} {
		for _, n := range []int{3, 20, 60, 160} {
			bytesPerSecond := controlBytesPerSecond(maxPropagationDelay, n)
			assert.Check(t, bytesPerSecond <= controlBudgetBytesPerSecond, "maximum propagation delay %v, %d members: %.0f bytes a second", maxPropagationDelay, n, bytesPerSecond)
		}
	}
}

// Guards against a balancer that reads the platform for the whole interval of a long
// member list, because it read that list before its own entry was visible.
func TestMembersIntervalWithoutOwnEntry(t *testing.T) {
	var members []feed.Member
	for i := range 60 {
		members = append(members, feed.Member{VM: fmt.Sprintf("vm-%d", i)})
	}
	assert.Equal(t, nextMembersInterval("vm-0", members), 60*membersIntervalPerMember)
	assert.Equal(t, nextMembersInterval("vm-60", members), minMembersInterval)
	assert.Equal(t, nextMembersInterval("vm-0", members[:3]), minMembersInterval)
}
