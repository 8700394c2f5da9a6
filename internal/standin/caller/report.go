package caller

import (
	"maps"
	"slices"
)

// maxFaults bounds the number of different fault texts in a report.
const maxErrorTexts = 20

// Report counts what became of requests and feeds.
type Report struct {
	Service  string `json:"service"`
	Requests uint64 `json:"requests"`
	// Whole requests got the complete answer.
	Complete uint64 `json:"whole"`
	// NotRun requests were refused before any packet from the server arrived.
	NotRun uint64 `json:"not_run"`
	// Shed requests got the target's answer that it did not run them.
	Shed uint64 `json:"shed"`
	// Unknown requests got no connection, so they were not sent, but were not refused either.
	Unknown uint64 `json:"unknown"`
	// Broken counts established connections that failed before their work was done.
	Broken uint64 `json:"broken"`
	// Foreign counts answers that belong to another request or service, or differ from what was asked.
	Mismatched uint64 `json:"foreign"`

	Feeds     uint64 `json:"feeds"`
	FeedsOpen int64  `json:"feeds_open"`
	// FeedsWhole are feeds that ended without a gap.
	FeedsComplete uint64 `json:"feeds_whole"`
	Messages      uint64 `json:"messages"`
	Echoes        uint64 `json:"echoes"`

	// NotRunIDs are the requests that must not appear in any target's record.
	NotRunIDs []string `json:"not_run_ids"`
	// Targets counts whole requests and opened feeds per target.
	Targets map[string]uint64 `json:"targets"`
	// Faults counts what went wrong, by text.
	Errors map[string]uint64 `json:"faults"`
}

func newReport(service string) Report {
	return Report{Service: service, NotRunIDs: []string{}, Targets: map[string]uint64{}, Errors: map[string]uint64{}}
}

func (r Report) clone() Report {
	r.NotRunIDs = slices.Clone(r.NotRunIDs)
	r.Targets = maps.Clone(r.Targets)
	r.Errors = maps.Clone(r.Errors)
	return r
}

func (r *Report) countError(text string) {
	if r.Errors[text] > 0 || len(r.Errors) < maxErrorTexts {
		r.Errors[text]++
	}
}

// IsClean reports whether every request was whole and no feed broke.
func (r Report) AllComplete() bool {
	return r.Complete == r.Requests && r.FeedsComplete == r.Feeds && r.Broken == 0 && r.Mismatched == 0
}

// Add returns the sum of two reports.
func (r Report) Add(other Report) Report {
	sum := r.clone()
	sum.Requests += other.Requests
	sum.Complete += other.Complete
	sum.NotRun += other.NotRun
	sum.Shed += other.Shed
	sum.Unknown += other.Unknown
	sum.Broken += other.Broken
	sum.Mismatched += other.Mismatched
	sum.Feeds += other.Feeds
	sum.FeedsOpen += other.FeedsOpen
	sum.FeedsComplete += other.FeedsComplete
	sum.Messages += other.Messages
	sum.Echoes += other.Echoes
	sum.NotRunIDs = append(sum.NotRunIDs, other.NotRunIDs...)
	for name, n := range other.Targets {
		sum.Targets[name] += n
	}
	for text, n := range other.Errors {
		sum.Errors[text] += n
	}
	return sum
}
