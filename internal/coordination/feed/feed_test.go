package feed

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func members(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{VM: fmt.Sprintf("vm-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)}
	}
	return list
}

// Guards against balancers that follow each other in a circle, and against a
// tree that differs with the order in which the members were listed.
func TestTreeHasOneRootAndFewLevels(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		list := members(rapid.IntRange(1, 200).Draw(r, "members"))
		roots := 0
		followers := map[string]int{}
		for _, m := range list {
			above := ancestors(m.VM, list)
			shuffled := append([]Member(nil), list...)
			rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			assert.DeepEqual(t, fmt.Sprint(ancestors(m.VM, shuffled)), fmt.Sprint(above))
			assert.Assert(t, len(above) <= 3, "200 members stand in four levels")
			for _, a := range above {
				assert.Assert(t, a.VM != m.VM)
			}
			if len(above) == 0 {
				roots++
				continue
			}
			followers[above[0].VM]++
		}
		assert.Equal(t, roots, 1)
		for vm, n := range followers {
			assert.Assert(t, n <= Fanout, "%s has %d followers", vm, n)
		}
	})
}

// follower returns a balancer with at least two above it, which has just heard its parent.
func follower(t *testing.T) (f *Follower, parent Member) {
	list := members(60)
	for _, m := range list {
		if len(ancestors(m.VM, list)) == 2 {
			f = NewFollower(m.VM, 2*time.Second)
			break
		}
	}
	f.SetMembers(list)
	parent, ok := f.Parent(epoch)
	assert.Assert(t, ok)
	f.Probed(epoch, parent)
	f.Heard(parent, epoch)
	return f, parent
}

// Guards against a balancer that relies on data of a parent that are too old,
// because the parent is dead, cut off from the store or follows a dead one itself.
func TestReadsWhenTheDataAreOld(t *testing.T) {
	f, parent := follower(t)
	assert.Assert(t, !f.Reads(epoch.Add(2*time.Second)))
	assert.Assert(t, f.Reads(epoch.Add(2*time.Second+1)))
	f.Heard(parent, epoch.Add(-time.Second))
	assert.Assert(t, f.Reads(epoch.Add(2*time.Second+1)), "older data than before change nothing")
	f.Heard(parent, epoch.Add(time.Second))
	assert.Assert(t, !f.Reads(epoch.Add(2*time.Second+1)))
}

// Guards against followers of a dead balancer that read the store for as long as it is listed.
func TestSilentParentIsPassedOver(t *testing.T) {
	f, parent := follower(t)
	for range silentProbes + 1 {
		f.Probed(epoch, parent)
	}
	next, ok := f.Parent(epoch)
	assert.Assert(t, ok && next != parent)
	again, _ := f.Parent(epoch.Add(silentPause))
	assert.Equal(t, again, parent, "it is asked again")
}

// Guards against a balancer that is not listed, or alone, and waits for a parent.
func TestReadsWithoutParent(t *testing.T) {
	f := NewFollower("vm-x", 2*time.Second)
	assert.Assert(t, f.Reads(epoch))
	f.SetMembers(members(5))
	assert.Assert(t, f.Reads(epoch))
	alone := NewFollower("vm-0", 2*time.Second)
	alone.SetMembers(members(1))
	assert.Assert(t, alone.Reads(epoch))
}
