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

// Guards against balancers that follow each other in a cycle, against a tree that
// depends on the order of the member list, and against one that is too deep or exceeds
// the fanout.
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
			assert.Assert(t, len(path) <= 3, "200 members form at most four levels")
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

// newFollowerWithParent returns a balancer with two ancestors, whose parent has just
// answered a probe.
func newFollowerWithParent(t *testing.T) (f *Follower, parent Member) {
	list := newMembers(60)
	for _, m := range list {
		if len(treeAncestors(m.VM, list)) == 2 {
			f = NewFollower(m.VM, 2*time.Second, baseTime)
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

// Guards against a balancer that relies on outdated data of its parent. They become
// outdated when the parent is dead, cannot reach the platform, or follows a dead balancer
// itself.
func TestReadsPlatformWhenDataAreOld(t *testing.T) {
	f, parent := newFollowerWithParent(t)
	assert.Assert(t, !f.MustReadPlatform(baseTime.Add(2*time.Second)))
	assert.Assert(t, f.MustReadPlatform(baseTime.Add(2*time.Second+1)))
	f.RecordAnswer(parent, baseTime.Add(-time.Second))
	assert.Assert(t, f.MustReadPlatform(baseTime.Add(2*time.Second+1)), "an answer with older data must change nothing")
	f.RecordAnswer(parent, baseTime.Add(time.Second))
	assert.Assert(t, !f.MustReadPlatform(baseTime.Add(2*time.Second+1)))
}

// Guards against followers of a dead balancer that read the platform for as long as the
// dead one is still in the member list.
func TestUnresponsiveParentIsSkipped(t *testing.T) {
	f, parent := newFollowerWithParent(t)
	for range maxUnansweredProbes + 1 {
		f.RecordProbe(baseTime, parent)
	}
	next, ok := f.Parent(baseTime)
	assert.Assert(t, ok && next != parent)
	again, _ := f.Parent(baseTime.Add(parentRetryDelay))
	assert.Equal(t, again, parent, "the parent must be retried after the delay")
}

// Guards against a balancer that waits for a parent although it is the only member, the
// member list cannot be read, or no ancestor answers, and against one that never reads the
// platform because it is not in the member list.
func TestReadsPlatformWithoutParent(t *testing.T) {
	alone := NewFollower("vm-0", 2*time.Second, baseTime)
	alone.SetMembers(newMembers(1))
	assert.Assert(t, alone.MustReadPlatform(baseTime))
	first := NewFollower("vm-x", 2*time.Second, baseTime)
	first.SetMembers(nil)
	assert.Assert(t, first.MustReadPlatform(baseTime))
	unlisted := NewFollower("vm-x", 2*time.Second, baseTime)
	assert.Assert(t, !unlisted.MustReadPlatform(baseTime))
	assert.Assert(t, unlisted.MustReadPlatform(baseTime.Add(startTimeout)))
	failed := NewFollower("vm-x", 2*time.Second, baseTime)
	failed.EndStart()
	assert.Assert(t, failed.MustReadPlatform(baseTime))
	dead := NewFollower("vm-x", 2*time.Second, baseTime)
	dead.SetMembers(newMembers(200))
	for !dead.MustReadPlatform(baseTime) {
		parent, ok := dead.Parent(baseTime)
		assert.Assert(t, ok)
		dead.RecordProbe(baseTime, parent)
	}
}

// Guards against a balancer that reads the platform at its start although its parent has
// the data, and against one that waits for a parent without data for too long.
func TestStartWaitsForParent(t *testing.T) {
	f := NewFollower("vm-x", 2*time.Second, baseTime)
	f.SetMembers(newMembers(200))
	parent, ok := f.Parent(baseTime)
	assert.Assert(t, ok)
	for range 10 * maxUnansweredProbes {
		f.RecordProbe(baseTime, parent)
		f.RecordAnswer(parent, time.Time{})
	}
	again, _ := f.Parent(baseTime)
	assert.Equal(t, again, parent, "a parent without data is alive")
	assert.Assert(t, !f.MustReadPlatform(baseTime))
	assert.Assert(t, f.MustReadPlatform(baseTime.Add(startTimeout)))
	f.RecordAnswer(parent, baseTime)
	assert.Assert(t, !f.MustReadPlatform(baseTime.Add(startTimeout)))
}

// Guards against a balancer that goes on reading the platform after it has read everything,
// while it waits for the first answer of its parent, and against one that uses what it has
// read for too long.
func TestOwnReadReplacesParent(t *testing.T) {
	f := NewFollower("vm-x", 2*time.Second, baseTime)
	f.SetMembers(newMembers(200))
	f.EndStart()
	assert.Assert(t, f.MustReadPlatform(baseTime))
	f.RecordRead(baseTime)
	assert.Assert(t, !f.MustReadPlatform(baseTime.Add(2*time.Second)))
	assert.Assert(t, f.MustReadPlatform(baseTime.Add(2*time.Second+1)))
	root := NewFollower("vm-0", 2*time.Second, baseTime)
	root.SetMembers(newMembers(1))
	root.RecordRead(baseTime)
	assert.Assert(t, root.MustReadPlatform(baseTime), "nobody else reads for the root")
}

// Guards against relying on a parent that does not answer.
func TestResponsiveParentAnswersProbes(t *testing.T) {
	f, parent := newFollowerWithParent(t)
	assert.Assert(t, f.HasResponsiveParent(baseTime))
	f.RecordProbe(baseTime, parent)
	f.RecordProbe(baseTime, parent)
	assert.Assert(t, !f.HasResponsiveParent(baseTime))
	fresh := NewFollower("vm-x", 2*time.Second, baseTime)
	fresh.SetMembers(newMembers(200))
	assert.Assert(t, !fresh.HasResponsiveParent(baseTime))
}
