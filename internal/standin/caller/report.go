package caller

import (
	"maps"
	"slices"
)

// maxErrorTexts limits the number of different error texts in a report.
const maxErrorTexts = 20

// Report counts the outcomes of requests and feeds.
type Report struct {
	Service  string `json:"service"`
	Requests uint64 `json:"requests"`
	// Complete counts requests that received a complete and matching response.
	Complete uint64 `json:"whole"`
	// NotRun counts requests and feeds that were refused before any packet from the server arrived.
	NotRun uint64 `json:"not_run"`
	// Shed counts requests and feeds that a target refused at its connection limit or did
	// not run: its queue was full, the deadline passed or the target stops.
	Shed uint64 `json:"shed"`
	// Unknown counts requests and feeds without a connection that were not refused either.
	// They were not sent.
	Unknown uint64 `json:"unknown"`
	// Broken counts established connections that failed before their request or feed was complete.
	Broken uint64 `json:"broken"`
	// Mismatched counts responses that belong to another request or service or whose
	// contents differ from the expected ones, and feeds with a message out of sequence.
	Mismatched uint64 `json:"foreign"`

	Feeds     uint64 `json:"feeds"`
	FeedsOpen int64  `json:"feeds_open"`
	// FeedsComplete counts feeds that received all messages and the end message without an error.
	FeedsComplete uint64 `json:"feeds_whole"`
	Messages      uint64 `json:"messages"`
	Echoes        uint64 `json:"echoes"`

	// NotRunIDs are the IDs of the requests and feeds counted in NotRun. No target may have run them.
	NotRunIDs []string `json:"not_run_ids"`
	// Targets counts complete requests and opened feeds per target.
	Targets map[string]uint64 `json:"targets"`
	// Errors counts errors by their text.
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

// countError counts an error, unless the report already has maxErrorTexts other texts.
func (r *Report) countError(text string) {
	if r.Errors[text] > 0 || len(r.Errors) < maxErrorTexts {
		r.Errors[text]++
	}
}

// AllComplete reports whether every request and feed was complete and no response was mismatched.
func (r Report) AllComplete() bool {
	return r.Complete == r.Requests && r.FeedsComplete == r.Feeds && r.Broken == 0 && r.Mismatched == 0
}

// Add returns the sum of two reports. The sum keeps the service name of r.
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
