package dsr

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// returnStore applies the given announcements as the first listing after the store has returned from an
// older copy.
func (b *testBalancer) returnStore(era, revision uint64, targets ...Announcement) (keptUntil time.Time) {
	return b.d.ApplyListing(b.now, Listing{Targets: targets, Era: era, Revision: revision, ReadAt: b.now})
}

// accepts reports whether a target is known and takes new flows.
func (b *testBalancer) accepts(id string) bool {
	t := b.d.targets.byID[id]
	return t != nil && t.acceptsNewFlows()
}

// Guards against flows to targets that announced their leave or were gone before the store returned from
// an older copy, in which they serve.
func TestLeavingTargetsStaySoAfterReturn(t *testing.T) {
	b := newTestBalancer(t, 4)
	copied := append([]Announcement(nil), b.targets...)
	draining, gone, rewritten := copied[0].ID, copied[1].ID, copied[2].ID
	b.targets[0].Draining, b.targets[2].Draining = true, true
	b.targets = append(b.targets[:1], b.targets[2:]...)
	b.publishListing()
	assert.Assert(t, !b.accepts(draining) && !b.accepts(gone) && !b.accepts(rewritten))

	keptUntil := b.returnStore(2, 90, copied...)
	assert.Assert(t, !b.accepts(draining) && !b.accepts(gone) && !b.accepts(rewritten))
	copied[2].Revision = 95
	b.returnStore(2, 95, copied...)
	assert.Assert(t, b.accepts(rewritten), "an announcement since the return is ignored")
	assert.Assert(t, !b.accepts(draining) && !b.accepts(gone))

	assert.Equal(t, keptUntil, b.now.Add(absenceGracePeriod))
	b.now = keptUntil
	b.returnStore(2, 95, copied...)
	assert.Assert(t, b.accepts(draining) && b.accepts(gone), "the store's state is not used in the end")
}

// Guards against targets that are lost, or data that count as outdated, while hosts write again what the
// store lost: all followers would then read the store.
func TestMissingTargetsAreKeptAfterReturn(t *testing.T) {
	b := newTestBalancer(t, 2)
	copied := append([]Announcement(nil), b.targets...)
	added := newAnnouncement(7, "web", "a")
	b.targets = append(b.targets, added)
	b.publishListing()
	b.now = b.now.Add(time.Second)
	keptUntil := b.returnStore(2, 90, copied...)
	b.d.ConfirmRead(b.now)
	assert.Assert(t, b.accepts(added.ID))
	summary, _ := b.d.Summary()
	assert.Equal(t, summary.AsOf, b.now)
	b.now = keptUntil
	b.returnStore(2, 90, copied...)
	assert.Assert(t, !b.accepts(added.ID))
}

// Guards against followers that do not notice that their parent's data are of another era.
func TestEpochChangesWithEra(t *testing.T) {
	b := newTestBalancer(t, 2)
	before := b.d.Delta(0, 0)
	b.returnStore(2, 90, b.targets...)
	after := b.d.Delta(before.Epoch, before.ChangeSequence)
	assert.Assert(t, after.Epoch != before.Epoch && after.Full)
	assert.Equal(t, after.Era, uint64(2))
	assert.Equal(t, len(after.Targets), 2)
}

// Guards against targets that count as cold again because their entries are read in another era.
func TestWarmupIsNotRepeatedAfterReturn(t *testing.T) {
	b := newTestBalancer(t, 0)
	cold := newAnnouncement(0, "web", "a")
	cold.WarmupRemaining = 3 * time.Second
	b.targets = []Announcement{cold}
	b.publishListing()
	until := b.d.targets.byID[cold.ID].warmupUntil
	b.now = b.now.Add(2 * time.Second)
	b.returnStore(2, 90, cold)
	assert.Equal(t, b.d.targets.byID[cold.ID].warmupUntil, until)
}

// Guards against an evacuated place that gets flows until the operator has written the evacuation again.
func TestEvacuationsAreKeptAfterReturn(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.evacuated = []string{"a"}
	b.publishListing()
	keptUntil := b.returnStore(2, 90, b.targets...)
	assert.Equal(t, len(b.d.Evacuations()), 1)
	b.now = keptUntil
	b.returnStore(2, 90, b.targets...)
	assert.Equal(t, len(b.d.Evacuations()), 0)
}

// Guards against data of another balancer that replace those of a later era, as their revision is higher.
func TestDeltaOfFormerEraIsIgnored(t *testing.T) {
	b := newTestBalancer(t, 2)
	b.returnStore(2, 90, b.targets...)
	assert.Assert(t, !b.d.ApplyDelta(b.now, Delta{Era: 1, Revision: 500}))
	assert.Equal(t, b.d.Position(), Position{2, 90})
	b.d.ConfirmAsOf(b.now, b.now.Add(time.Second), Position{1, 500})
	assert.Equal(t, b.d.Position(), Position{2, 90})
}
