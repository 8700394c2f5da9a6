package feed

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// headerBytes are those of IP and UDP.
const headerBytes = 28

// BenchmarkSlope computes, from the encoded messages, the bytes that the busiest
// balancer of a place sends and receives without changes, and the levels of the tree.
func BenchmarkSlope(b *testing.B) {
	probe := headerBytes + 1 + proto.Size(&wire.FeedProbe{Sequence: 1 << 20})
	state := headerBytes + 1 + proto.Size(&wire.FeedState{Sequence: 1 << 20, RoutesVersion: 1 << 30, Epoch: 1 << 63, Change: 1 << 20, AgeMs: 2000})
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 13 * time.Second} {
		for _, n := range []int{3, 20, 60, 160} {
			b.Run(fmt.Sprintf("bound=%v/members=%d", bound, n), func(b *testing.B) {
				members := make([]feed.Member, n)
				for i := range members {
					members[i] = feed.Member{VM: fmt.Sprintf("vm-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
				}
				perSecond := float64(probesPerLimit) / (limitShare * bound.Seconds())
				links := map[string]int{}
				for _, m := range members {
					f := feed.NewFollower(m.VM, time.Second)
					f.SetMembers(members)
					if parent, ok := f.Parent(time.Time{}.Add(time.Hour)); ok {
						links[m.VM]++
						links[parent.VM]++
					}
				}
				most := 0
				for _, l := range links {
					most = max(most, l)
				}
				b.ReportMetric(float64(most)*perSecond*float64(probe+state), "bytes/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
