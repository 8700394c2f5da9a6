package publish

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a publish that reverts that of another operator without a conflict, because the platform
// returned from an older copy and gave out the revision of the head again. The copy has the snapshot
// of the lost head, since that was a rollback.
func TestReusedRevisionOfHeadIsAConflict(t *testing.T) {
	store := newFakeStore()
	p := newTestPublisher(store)
	for _, set := range [][]string{{"a:1"}, {"a:1", "a:2"}} {
		assert.Equal(t, publish(t, p, twoServices(set...), Fleet{}).Outcome, OutcomeAccepted)
	}
	c := maps.Clone(store.records)
	base := uint64(2)
	rollback, err := p.Plan(ctx, Request{Set: twoServices("a:1"), BaseGeneration: &base}, Fleet{})
	assert.NilError(t, err)
	assert.Equal(t, p.Commit(ctx, rollback).Outcome, OutcomeAccepted)
	plan, err := p.Plan(ctx, Request{Set: twoServices("a:1", "a:3")}, Fleet{})
	assert.NilError(t, err)
	store.records = c
	assert.Equal(t, publish(t, p, twoServices("a:1", "a:2", "b:4"), Fleet{}).Outcome, OutcomeAccepted)
	head := readHead(t, store)
	assert.Equal(t, store.records[HeadKey].Revision, plan.headRevision, "the revision is not given out again")
	assert.Equal(t, p.Commit(ctx, plan).Outcome, OutcomeConflict)
	assert.DeepEqual(t, readHead(t, store), head)
}
