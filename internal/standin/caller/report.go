package caller

import (
	"maps"
	"slices"
)

// maxFaults bounds the number of different fault texts in a report.
const maxFaults = 20

// Report counts what became of requests and feeds.
type Report struct {
	Service  string `json:"service"`
	Requests uint64 `json:"requests"`
	// Whole requests got the complete answer.
	Whole uint64 `json:"whole"`
	// NotRun requests were refused before any packet from the server arrived.
	NotRun uint64 `json:"not_run"`
	// Shed requests got the target's answer that it did not run them.
	Shed uint64 `json:"shed"`
	// Unknown requests got no connection, so they were not sent, but were not refused either.
	Unknown uint64 `json:"unknown"`
	// Broken counts established connections that failed before their work was done.
	Broken uint64 `json:"broken"`
	// Foreign counts answers that belong to another request or service, or differ from what was asked.
	Foreign uint64 `json:"foreign"`

	Feeds     uint64 `json:"feeds"`
	FeedsOpen int64  `json:"feeds_open"`
	// FeedsWhole are feeds that ended without a gap.
	FeedsWhole uint64 `json:"feeds_whole"`
	Messages   uint64 `json:"messages"`
	Echoes     uint64 `json:"echoes"`

	// NotRunIDs are the requests that must not appear in any target's record.
	NotRunIDs []string `json:"not_run_ids"`
	// Targets counts whole requests and opened feeds per target.
	Targets map[string]uint64 `json:"targets"`
	// Faults counts what went wrong, by text.
	Faults map[string]uint64 `json:"faults"`
}

func newReport(service string) Report {
	return Report{Service: service, NotRunIDs: []string{}, Targets: map[string]uint64{}, Faults: map[string]uint64{}}
}

func (r Report) clone() Report {
	r.NotRunIDs = slices.Clone(r.NotRunIDs)
	r.Targets = maps.Clone(r.Targets)
	r.Faults = maps.Clone(r.Faults)
	return r
}

func (r *Report) fault(text string) {
	if r.Faults[text] > 0 || len(r.Faults) < maxFaults {
		r.Faults[text]++
	}
}

// IsClean reports whether every request was whole and no feed broke.
func (r Report) IsClean() bool {
	return r.Whole == r.Requests && r.FeedsWhole == r.Feeds && r.Broken == 0 && r.Foreign == 0
}

// Add returns the sum of two reports.
func (r Report) Add(o Report) Report {
	out := r.clone()
	out.Requests += o.Requests
	out.Whole += o.Whole
	out.NotRun += o.NotRun
	out.Shed += o.Shed
	out.Unknown += o.Unknown
	out.Broken += o.Broken
	out.Foreign += o.Foreign
	out.Feeds += o.Feeds
	out.FeedsOpen += o.FeedsOpen
	out.FeedsWhole += o.FeedsWhole
	out.Messages += o.Messages
	out.Echoes += o.Echoes
	out.NotRunIDs = append(out.NotRunIDs, o.NotRunIDs...)
	for name, n := range o.Targets {
		out.Targets[name] += n
	}
	for text, n := range o.Faults {
		out.Faults[text] += n
	}
	return out
}
