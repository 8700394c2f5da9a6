package publish

import (
	"fmt"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Outcome is what is known about a publish.
type Outcome uint8

// Outcomes of a publish.
const (
	// OutcomeUnknown: the head may or may not have been written.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted: the configuration was accepted as Result.Generation.
	OutcomeAccepted
	// OutcomeConflict: another publish was accepted first; this one was not and will not be.
	OutcomeConflict
	// OutcomeFailed: this run wrote no head.
	OutcomeFailed
)

// String returns the outcome in one word.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "conflict", "failed"}[o]
}

// Result is the outcome of a publish with what the operator has to know.
type Result struct {
	Outcome Outcome
	// Generation is the accepted generation, or the one of the publish in the way.
	Generation uint64
	// Repeated reports that an earlier run had published this already.
	AlreadyPublished bool
	// Reasons say in words why the publish was not accepted, is in doubt or was followed by another.
	Reasons []string
	// Others are the changes of the other publish in words.
	OtherChanges []string
}

// accepted is the result of a publication that a head lists.
func acceptedResult(publication objects.Publication, head objects.Head, alreadyPublished bool) *Result {
	result := &Result{Outcome: OutcomeAccepted, Generation: publication.Generation, AlreadyPublished: alreadyPublished}
	if head.Generation > publication.Generation {
		result.Reasons = []string{fmt.Sprintf("generation %d was published after it and is in force now", head.Generation)}
	}
	return result
}

func failedResult(format string, args ...any) *Result {
	return &Result{Outcome: OutcomeFailed, Reasons: []string{fmt.Sprintf(format, args...)}}
}

func unknownResult(format string, args ...any) *Result {
	return &Result{Outcome: OutcomeUnknown, Reasons: []string{fmt.Sprintf(format, args...)}}
}
