package target

import (
	"maps"
	"sync"
)

// Report is what a target did so far.
type Report struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	// Runs counts how often each request id ran.
	Runs map[string]int `json:"runs"`
	// FreeOnArrival are requests that found a free slot.
	SlotFreeOnArrival uint64 `json:"free_on_arrival"`
	// Waited are requests that arrived with all slots busy.
	SlotsBusyOnArrival uint64 `json:"waited"`
	Shed               uint64 `json:"shed"`
	Expired            uint64 `json:"expired"`
	Cancelled          uint64 `json:"cancelled"`
	// AtLimit are connections refused at the connection limit.
	ConnectionsRefused uint64 `json:"at_limit"`
	// WrongService are requests meant for another service.
	WrongService     uint64 `json:"wrong_service"`
	ConnectionsTotal uint64 `json:"connections_total"`
	ConnectionsOpen  int    `json:"connections_open"`
	FeedsOpen        int    `json:"feeds_open"`
	BusySlots        int    `json:"busy"`
}

// record collects the report of one target.
type recorder struct {
	mu      sync.Mutex
	report  Report
	streams int
	// answered are streams whose answer is sent and not confirmed by the caller yet.
	unconfirmed int
	queued      int
}

func newRecorder(target, service string) *recorder {
	return &recorder{report: Report{Target: target, Service: service, Runs: map[string]int{}}}
}

func (r *recorder) updateReport(update func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.report)
}

func (r *recorder) recordRun(id string) {
	r.updateReport(func(report *Report) { report.Runs[id]++ })
}

func (r *recorder) beginStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
}

func (r *recorder) endStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams--
}

// confirm runs wait, which returns when the caller has the whole answer or is gone.
func (r *recorder) awaitConfirmation(wait func()) {
	r.mu.Lock()
	r.unconfirmed++
	r.mu.Unlock()
	wait()
	r.mu.Lock()
	r.unconfirmed--
	r.mu.Unlock()
}

// active returns the number of streams in progress, and how many of them still owe an answer.
func (r *recorder) activeStreams() (streams, unanswered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams, r.streams - r.unconfirmed
}

// enqueue counts a waiting request and returns how many wait now.
func (r *recorder) enqueue() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.SlotsBusyOnArrival++
	r.queued++
	return r.queued
}

func (r *recorder) dequeue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
}

func (r *recorder) queueLength() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queued
}

func (r *recorder) openConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.ConnectionsOpen
}

func (r *recorder) snapshot() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	out.Runs = maps.Clone(r.report.Runs)
	return out
}
