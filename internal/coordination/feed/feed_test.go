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

var baseTime = time.Unix(1_000_000, 0)

func newMembers(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{VM: fmt.Sprintf("vm-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)}
	}
	return list
}

// Guards against balancers that follow each other in a circle, and against a
// tree that differs with the order in which the members were listed.
func TestTreeHasOneRootAndAtMostFourLevels(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		list := newMembers(rapid.IntRange(1, 200).Draw(r, "members"))
		roots := 0
		followers := map[string]int{}
		for _, m := range list {
			path := treeAncestors(m.VM, list)
			shuffled := append([]Member(nil), list...)
			rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			assert.DeepEqual(t, fmt.Sprint(treeAncestors(m.VM, shuffled)), fmt.Sprint(path))
			assert.Assert(t, len(path) <= 3, "200 members stand in four levels")
			for _, a := range path {
				assert.Assert(t, a.VM != m.VM)
			}
			if len(path) == 0 {
				roots++
				continue
			}
			followers[path[0].VM]++
		}
		assert.Equal(t, roots, 1)
		for vm, n := range followers {
			assert.Assert(t, n <= Fanout, "%s has %d followers", vm, n)
		}
	})
}

// follower returns a balancer with at least two above it, which has just heard its parent.
func newFollowerWithParent(t *testing.T) (f *Follower, parent Member) {
	list := newMembers(60)
	for _, m := range list {
		if len(treeAncestors(m.VM, list)) == 2 {
			f = NewFollower(m.VM, 2*time.Second)
			break
		}
	}
	f.SetMembers(list)
	parent, ok := f.Parent(baseTime)
	assert.Assert(t, ok)
	f.RecordProbe(baseTime, parent)
	f.RecordAnswer(parent, baseTime)
	return f, parent
}

// Guards against a balancer that relies on data of a parent that are too old,
// because the parent is dead, cut off from the store or follows a dead one itself.
func TestReadsPlatformWhenDataAreOld(t *testing.T) {
	f, parent := newFollowerWithParent(t)
	assert.Assert(t, !f.MustReadPlatform(baseTime.Add(2*time.Second)))
	assert.Assert(t, f.MustReadPlatform(baseTime.Add(2*time.Second+1)))
	f.RecordAnswer(parent, baseTime.Add(-time.Second))
	assert.Assert(t, f.MustReadPlatform(baseTime.Add(2*time.Second+1)), "older data than before change nothing")
	f.RecordAnswer(parent, baseTime.Add(time.Second))
	assert.Assert(t, !f.MustReadPlatform(baseTime.Add(2*time.Second+1)))
}

// Guards against followers of a dead balancer that read the store for as long as it is listed.
func TestUnresponsiveParentIsSkipped(t *testing.T) {
	f, parent := newFollowerWithParent(t)
	for range maxUnansweredProbes + 1 {
		f.RecordProbe(baseTime, parent)
	}
	next, ok := f.Parent(baseTime)
	assert.Assert(t, ok && next != parent)
	again, _ := f.Parent(baseTime.Add(parentRetryDelay))
	assert.Equal(t, again, parent, "it is asked again")
}

// Guards against a balancer that is not listed, or alone, and waits for a parent.
func TestReadsPlatformWithoutParent(t *testing.T) {
	f := NewFollower("vm-x", 2*time.Second)
	assert.Assert(t, f.MustReadPlatform(baseTime))
	f.SetMembers(newMembers(5))
	assert.Assert(t, f.MustReadPlatform(baseTime))
	alone := NewFollower("vm-0", 2*time.Second)
	alone.SetMembers(newMembers(1))
	assert.Assert(t, alone.MustReadPlatform(baseTime))
}
