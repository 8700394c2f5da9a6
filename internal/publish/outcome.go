package publish

import (
	"fmt"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Outcome states whether a publish was accepted, as far as is known.
type Outcome uint8

// Outcomes of a publish.
const (
	// OutcomeUnknown: the head may or may not have been written.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted: the configuration was accepted as Result.Generation.
	OutcomeAccepted
	// OutcomeConflict: another publish was accepted first; this one was not accepted and
	// cannot take effect later.
	OutcomeConflict
	// OutcomeFailed: this run did not write the head.
	OutcomeFailed
)

// String returns the outcome as one word.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "conflict", "failed"}[o]
}

// Result is the outcome of a publish with the details for the operator.
type Result struct {
	Outcome Outcome
	// Generation is the accepted generation or, for a conflict, that of the current head.
	Generation uint64
	// AlreadyPublished is true if an earlier run published the same configuration.
	AlreadyPublished bool
	// Reasons describes why the publish was not accepted, why its outcome is unknown, or
	// which later publish replaced it.
	Reasons []string
	// OtherChanges describes the changes of the conflicting publishes.
	OtherChanges []string
}

// acceptedResult returns the result for a publication that is listed in a head.
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
