package feed

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against loss counts that are missing from the sum of a place, are counted twice,
// or are still used when their balancer has stopped.
func TestLossCountsAreSummedAlongTheTree(t *testing.T) {
	const members = 40
	list := newMembers(members)
	aggregates := make(map[string]*LossAggregate)
	addresses := make(map[string]netip.AddrPort)
	for _, m := range list {
		aggregates[m.VM], addresses[m.VM] = &LossAggregate{}, m.Address
	}
	own := LossCounts{Packets: 10, Lost: 0.5}
	now := baseTime
	exchange := func() {
		now = now.Add(time.Second)
		for _, m := range list {
			path := treeAncestors(m.VM, list)
			if len(path) == 0 {
				continue
			}
			parent := aggregates[path[0].VM]
			parent.RecordFollower(now, addresses[m.VM], aggregates[m.VM].Subtree(now, own))
			aggregates[m.VM].RecordParent(now, parent.Place(now, own))
		}
	}
	for range 8 { // four levels up and down
		exchange()
	}
	for vm, a := range aggregates {
		assert.Equal(t, a.Place(now, own), LossCounts{Packets: 10 * members, Lost: 0.5 * members}, vm)
	}
	now = now.Add(maxLossAge + 1)
	for vm, a := range aggregates {
		assert.Equal(t, a.Place(now, own), own, vm)
	}
}
