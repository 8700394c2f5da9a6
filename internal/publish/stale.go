package publish

import (
	"context"
	"fmt"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// maxComparedPublications is the maximum number of earlier publications with which a publish
// without base generation is compared. The snapshot of each has to be read.
const maxComparedPublications = 8

// checkRevert returns a conflict if the configuration lacks a change that another operator
// published and that the head still contains. The files are then older than that change,
// or an old command is repeated; publishing would revert the change.
func (p *Publisher) checkRevert(ctx context.Context, plan Plan) (*Result, error) {
	recent := plan.head.Recent
	sets := []objects.Set{plan.before} // the sets of recent, newest first
	for i := 0; i < len(recent) && i < maxComparedPublications; i++ {
		var earlier objects.Publication // zero: the empty configuration before the first publish
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

// revertConflict returns the conflict for a plan that would revert the changes of a
// publication.
func (plan Plan) revertConflict(reverted objects.Publication, changes []string) *Result {
	byOperator := ""
	if reverted.Operator != "" {
		byOperator = " by " + reverted.Operator
	}
	reason := fmt.Sprintf("this configuration lacks what generation %d%s changed; add it to the files, or repeat with --base %d to revert it",
		reverted.Generation, byOperator, plan.head.Generation)
	for _, earlier := range plan.head.Recent {
		if earlier.Digest == plan.digest {
			reason = fmt.Sprintf("this configuration was accepted as generation %d and has been replaced since; ", earlier.Generation) + reason
			break
		}
	}
	return &Result{Outcome: OutcomeConflict, Generation: plan.head.Generation, Reasons: []string{reason}, OtherChanges: changes}
}

// change is the configuration before and after one publish.
type change struct{ before, after objects.Set }

// appliedScore returns a positive number if a set contains most of the change, and a
// negative number if it lacks most of it. Differences that are not part of the change are
// counted on both sides and cancel out.
func (c change) appliedScore(set objects.Set) int {
	return len(objects.Changes(c.before, set)) - len(objects.Changes(c.after, set))
}

// appliedInAll reports whether all sets contain the change. If one does not, a later publish
// has already reverted the change.
func (c change) appliedInAll(sets []objects.Set) bool {
	for _, set := range sets {
		if c.appliedScore(set) <= 0 {
			return false
		}
	}
	return true
}
