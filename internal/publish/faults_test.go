package publish

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Guards against a publish that takes effect twice or is misreported when one
// call, at any position of the sequence, or every call from there on goes wrong
// in any way, and the operator then repeats the same command.
func TestFaultAtEachPosition(t *testing.T) {
	reached := map[Outcome]int{}
	for kind := faultRefuse; kind < faultKinds; kind++ {
		for position := range 12 {
			for _, lasting := range []bool{false, true} {
				name := fmt.Sprintf("fault %d at %d, lasting %t", kind, position, lasting)
				reached[faultAt(t, name, kind, position, lasting)]++
			}
		}
	}
	assert.Assert(t, reached[OutcomeAccepted] > 0 && reached[OutcomeUnknown] > 0 && reached[OutcomeFailed] > 0, "%v", reached)
}

// faultAt publishes under a fault, checks what is reported, and repeats the command without fault.
func faultAt(t *testing.T, name string, kind fault, position int, lasting bool) Outcome {
	store := newFakeStore()
	p := newTestPublisher(store)
	assert.Equal(t, publish(t, p, twoServices("a:1"), Fleet{}).Outcome, OutcomeAccepted)
	calls := 0
	store.next = func() fault {
		calls++
		if calls-1 == position || lasting && calls > position {
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
	// An old head looks like one that was replaced since; nothing else does.
	assert.Assert(t, first != OutcomeConflict || !written && kind == faultStale, name)
	store.next = func() fault { return faultNone }
	assert.Equal(t, publish(t, p, twoServices("a:1", "a:2"), Fleet{}).Outcome, OutcomeAccepted, name)
	assert.Equal(t, len(store.heads), 2, name)
	return first
}

// Guards against lost accepted changes, false reports and two generations for
// one publish when several operators publish under faults at every position.
func TestPublishUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		p := newTestPublisher(store)
		faulty := rapid.Custom(func(t *rapid.T) fault {
			if rapid.IntRange(0, 2).Draw(t, "healthy") > 0 {
				return faultNone
			}
			return fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind"))
		})
		store.next = func() fault { return faulty.Draw(t, "fault") }
		type edit struct {
			name string
			set  objects.Set
			base uint64
			plan *Plan
			once bool
		}
		edits := make([]edit, 3)
		acceptedNames := map[string]bool{}
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for step := range steps {
			e := &edits[rapid.IntRange(0, len(edits)-1).Draw(t, "operator")]
			switch {
			case e.name == "": // start an edit of the head as this operator reads it
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
				if !e.once || rapid.Bool().Draw(t, "with base") {
					request.Base = &e.base
				}
				if plan, err := p.Plan(ctx, request, Fleet{}); err == nil {
					e.plan, e.once = &plan, true
				}
			default:
				r := p.Commit(ctx, *e.plan)
				id, name := e.plan.ID, e.name
				e.plan = nil // unknown and failed runs are repeated
				written := idsWritten(store)
				switch r.Outcome {
				case OutcomeAccepted:
					assert.Assert(t, hasPlace(t, store, r.Generation, name), "reported as accepted: %s", name)
					acceptedNames[name] = true
					*e = edit{}
				case OutcomeConflict:
					if !r.Repeated && written[id] > 0 {
						t.Fatalf("conflict reported for a publish that was accepted")
					}
					*e = edit{}
				case OutcomeFailed:
					assert.Equal(t, written[id], 0, "failed reported for a publish that was accepted")
				}
			}
		}
		store.next = func() fault { return faultNone }
		for len(store.late) > 0 {
			store.applyLate()
		}
		for id, n := range idsWritten(store) {
			assert.Equal(t, n, 1, "generations of publish %s", id)
		}
		last := readHead(t, store)
		for name := range acceptedNames {
			assert.Assert(t, hasPlace(t, store, last.Generation, name), "accepted change %s was lost", name)
		}
	})
}

// idsWritten counts the generations of each publish id that were ever in force.
func idsWritten(store *fakeStore) map[string]int {
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

// hasPlace looks into what the store really holds, past its faults.
func hasPlace(t assert.TestingT, store *fakeStore, generation uint64, name string) bool {
	head, err := DecodeHead(store.heads[generation-1])
	assert.NilError(t, err)
	plain := newFakeStore()
	plain.records = store.records
	set, err := Load(ctx, plain, head)
	assert.NilError(t, err)
	for _, place := range set.Places {
		if place.Name == name {
			return true
		}
	}
	return false
}
