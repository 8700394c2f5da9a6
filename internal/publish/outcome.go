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
	Repeated bool
	// Reasons say in words why the publish was not accepted, or is in doubt.
	Reasons []string
	// Others are the changes of the other publish in words.
	Others []string
}

func accepted(p objects.Publication, repeated bool) *Result {
	return &Result{Outcome: OutcomeAccepted, Generation: p.Generation, Repeated: repeated}
}

func failed(format string, args ...any) *Result {
	return &Result{Outcome: OutcomeFailed, Reasons: []string{fmt.Sprintf(format, args...)}}
}

func unknown(format string, args ...any) *Result {
	return &Result{Outcome: OutcomeUnknown, Reasons: []string{fmt.Sprintf(format, args...)}}
}
