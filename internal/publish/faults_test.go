package publish

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Guards against a publish that takes effect twice or whose outcome is reported wrongly.
// Each kind of fault is injected into one call, or into that call and all later ones, for
// each position in the sequence of calls. Then the operator repeats the same command.
func TestPublishWithFaultAtEachCall(t *testing.T) {
	outcomes := map[Outcome]int{}
	for kind := faultRejected; kind < faultCount; kind++ {
		for position := range 12 {
			for _, persistent := range []bool{false, true} {
				name := fmt.Sprintf("fault %d at call %d, persistent %t", kind, position, persistent)
				outcomes[publishWithFault(t, name, kind, position, persistent)]++
			}
		}
	}
	assert.Assert(t, outcomes[OutcomeAccepted] > 0 && outcomes[OutcomeUnknown] > 0 && outcomes[OutcomeFailed] > 0, "%v", outcomes)
}

// publishWithFault publishes with a fault, checks the reported outcome and repeats the command
// without faults. It returns the first outcome.
func publishWithFault(t *testing.T, name string, kind fault, position int, persistent bool) Outcome {
	store := newFakeStore()
	p := newTestPublisher(store)
	assert.Equal(t, publish(t, p, twoServices("a:1"), Fleet{}).Outcome, OutcomeAccepted)
	calls := 0
	store.nextFault = func() fault {
		calls++
		if calls-1 == position || persistent && calls > position {
			return kind
		}
		return faultNone
	}
	first := OutcomeFailed
	if plan, err := p.Plan(ctx, Request{Set: twoServices("a:1", "a:2")}, Fleet{}); err == nil {
		first = p.Commit(ctx, plan).Outcome
	}
	written := len(store.heads) == 2
	assert.Assert(t, first != OutcomeAccepted || written, name)
	assert.Assert(t, first != OutcomeFailed || !written, name)
	// Only a stale head is indistinguishable from a head that was replaced in the meantime.
	assert.Assert(t, first != OutcomeConflict || !written && kind == faultStaleRead, name)
	store.nextFault = func() fault { return faultNone }
	assert.Equal(t, publish(t, p, twoServices("a:1", "a:2"), Fleet{}).Outcome, OutcomeAccepted, name)
	assert.Equal(t, len(store.heads), 2, name)
	return first
}

// Guards against accepted changes that are lost, wrong outcomes and a publish that creates two
// generations, when several operators publish concurrently and any call may fail.
func TestConcurrentPublishesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		p := newTestPublisher(store)
		faultGenerator := rapid.Custom(func(t *rapid.T) fault {
			if rapid.IntRange(0, 2).Draw(t, "healthy") > 0 {
				return faultNone
			}
			return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "kind"))
		})
		store.nextFault = func() fault { return faultGenerator.Draw(t, "fault") }
		type edit struct {
			name    string
			set     objects.Set
			base    uint64
			plan    *Plan
			planned bool
		}
		edits := make([]edit, 3)
		acceptedNames := map[string]bool{}
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for step := range steps {
			e := &edits[rapid.IntRange(0, len(edits)-1).Draw(t, "operator")]
			switch {
			case e.name == "": // start an edit based on the head that this operator reads
				head, _, err := ReadHead(ctx, store)
				if err != nil {
					continue
				}
				set, err := p.load(ctx, head)
				if err != nil {
					continue
				}
				*e = edit{name: fmt.Sprintf("p%d", step), base: head.Generation}
				set.Places = append(set.Places, objects.Place{Name: e.name})
				e.set = set
			case e.plan == nil:
				request := Request{Set: e.set}
				if !e.planned || rapid.Bool().Draw(t, "with base") {
					request.BaseGeneration = &e.base
				}
				if plan, err := p.Plan(ctx, request, Fleet{}); err == nil {
					e.plan, e.planned = &plan, true
				}
			default:
				r := p.Commit(ctx, *e.plan)
				id, name := e.plan.ID, e.name
				e.plan = nil // unknown and failed publishes are repeated
				generations := generationsByPublishID(store)
				switch r.Outcome {
				case OutcomeAccepted:
					assert.Assert(t, hasPlace(t, store, r.Generation, name), "reported as accepted, but not in the generation: %s", name)
					acceptedNames[name] = true
					*e = edit{}
				case OutcomeConflict:
					if !r.AlreadyPublished && generations[id] > 0 {
						t.Fatalf("conflict reported for an accepted publish")
					}
					*e = edit{}
				case OutcomeFailed:
					assert.Equal(t, generations[id], 0, "failure reported for an accepted publish")
				}
			}
		}
		store.nextFault = func() fault { return faultNone }
		for len(store.delayed) > 0 {
			store.applyDelayed()
		}
		for id, n := range generationsByPublishID(store) {
			assert.Equal(t, n, 1, "number of generations of publish %s", id)
		}
		last := readHead(t, store)
		for name := range acceptedNames {
			assert.Assert(t, hasPlace(t, store, last.Generation, name), "accepted change %s was lost", name)
		}
	})
}

// generationsByPublishID returns the number of generations that each publish created, by
// publish ID.
func generationsByPublishID(store *fakeStore) map[string]int {
	ids := map[string]int{}
	for i, value := range store.heads {
		head, err := DecodeHead(value)
		if err != nil || head.Generation != uint64(i+1) {
			panic(fmt.Sprintf("head %d: %v, %v", i, head.Generation, err))
		}
		ids[head.Recent[0].PublishID]++
	}
	return ids
}

// hasPlace reports whether a generation contains a place. It reads the records without faults.
func hasPlace(t assert.TestingT, store *fakeStore, generation uint64, name string) bool {
	head, err := DecodeHead(store.heads[generation-1])
	assert.NilError(t, err)
	faultFree := newFakeStore()
	faultFree.records = store.records
	set, err := Load(ctx, faultFree, head)
	assert.NilError(t, err)
	for _, place := range set.Places {
		if place.Name == name {
			return true
		}
	}
	return false
}
