package publish

import (
	"context"
	"fmt"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// maxCompared is the number of earlier publishes that a publish without a base
// is compared with. Each is read and compared.
const maxCompared = 8

// stale returns a conflict when the configuration lacks what another operator
// published and the head still has. Its files were then made before that, or
// the command is an old one repeated; publishing would take the change back.
func (p *Publisher) stale(ctx context.Context, plan Plan) (*Result, error) {
	recent := plan.head.Recent
	sets := []objects.Set{plan.before} // of recent, newest first
	for i := 0; i < len(recent) && i < maxCompared; i++ {
		var earlier objects.Publication // the empty configuration, before the first publish
		if i+1 < len(recent) {
			earlier = recent[i+1]
		} else if len(recent) == MaxRecent {
			return nil, nil
		}
		before, err := p.load(ctx, earlier.Head())
		if err != nil {
			return nil, err
		}
		c := change{before: before, after: sets[i]}
		other := recent[i].Operator == "" || recent[i].Operator != plan.request.Operator
		if other && c.in(plan.after) < 0 && c.inAll(sets[:i]) {
			return plan.takesBack(recent[i], objects.Changes(c.before, c.after)), nil
		}
		sets = append(sets, before)
	}
	return nil, nil
}

func (plan Plan) takesBack(other objects.Publication, changes []string) *Result {
	by := ""
	if other.Operator != "" {
		by = " by " + other.Operator
	}
	text := fmt.Sprintf("this configuration lacks what generation %d%s changed; add it to the files, or repeat with --base %d to take it back",
		other.Generation, by, plan.head.Generation)
	for _, earlier := range plan.head.Recent {
		if earlier.Digest == plan.digest {
			text = fmt.Sprintf("this configuration was accepted as generation %d and replaced since; ", earlier.Generation) + text
			break
		}
	}
	return &Result{Outcome: OutcomeConflict, Generation: plan.head.Generation, Reasons: []string{text}, Others: changes}
}

// change is what one publish changed.
type change struct{ before, after objects.Set }

// in tells whether a set has the change: positive if most of it, negative if
// little of it. Differences elsewhere count on both sides and cancel out.
func (c change) in(set objects.Set) int {
	return len(objects.Changes(c.before, set)) - len(objects.Changes(c.after, set))
}

// inAll tells whether all sets have the change. A later publish without it took it back already.
func (c change) inAll(sets []objects.Set) bool {
	for _, set := range sets {
		if c.in(set) <= 0 {
			return false
		}
	}
	return true
}
