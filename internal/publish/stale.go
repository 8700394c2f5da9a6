package publish

import (
	"context"
	"fmt"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// maxCompared is the number of earlier publishes that a publish without a base
// is compared with. Each is read and compared.
const maxComparedPublications = 8

// stale returns a conflict when the configuration lacks what another operator
// published and the head still has. Its files were then made before that, or
// the command is an old one repeated; publishing would take the change back.
func (p *Publisher) checkRevert(ctx context.Context, plan Plan) (*Result, error) {
	recent := plan.head.Recent
	sets := []objects.Set{plan.before} // of recent, newest first
	for i := 0; i < len(recent) && i < maxComparedPublications; i++ {
		var earlier objects.Publication // the empty configuration, before the first publish
		if i+1 < len(recent) {
			earlier = recent[i+1]
		} else if len(recent) == MaxRecentPublications {
			return nil, nil
		}
		before, err := p.load(ctx, earlier.Head())
		if err != nil {
			return nil, err
		}
		c := change{before: before, after: sets[i]}
		byOtherOperator := recent[i].Operator == "" || recent[i].Operator != plan.request.Operator
		if byOtherOperator && c.appliedScore(plan.after) < 0 && c.appliedInAll(sets[:i]) {
			return plan.revertConflict(recent[i], objects.Changes(c.before, c.after)), nil
		}
		sets = append(sets, before)
	}
	return nil, nil
}

func (plan Plan) revertConflict(reverted objects.Publication, changes []string) *Result {
	byOperator := ""
	if reverted.Operator != "" {
		byOperator = " by " + reverted.Operator
	}
	reason := fmt.Sprintf("this configuration lacks what generation %d%s changed; add it to the files, or repeat with --base %d to take it back",
		reverted.Generation, byOperator, plan.head.Generation)
	for _, earlier := range plan.head.Recent {
		if earlier.Digest == plan.digest {
			reason = fmt.Sprintf("this configuration was accepted as generation %d and replaced since; ", earlier.Generation) + reason
			break
		}
	}
	return &Result{Outcome: OutcomeConflict, Generation: plan.head.Generation, Reasons: []string{reason}, OtherChanges: changes}
}

// change is what one publish changed.
type change struct{ before, after objects.Set }

// in tells whether a set has the change: positive if most of it, negative if
// little of it. Differences elsewhere count on both sides and cancel out.
func (c change) appliedScore(set objects.Set) int {
	return len(objects.Changes(c.before, set)) - len(objects.Changes(c.after, set))
}

// inAll tells whether all sets have the change. A later publish without it took it back already.
func (c change) appliedInAll(sets []objects.Set) bool {
	for _, set := range sets {
		if c.appliedScore(set) <= 0 {
			return false
		}
	}
	return true
}
