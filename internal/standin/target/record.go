package target

import (
	"maps"
	"sync"
)

// Report counts the requests, connections and feeds of a target.
type Report struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	// Runs is the number of times that each request ran, by request ID.
	Runs map[string]int `json:"runs"`
	// SlotFreeOnArrival counts requests that got a slot without waiting.
	SlotFreeOnArrival uint64 `json:"free_on_arrival"`
	// SlotsBusyOnArrival counts requests that arrived when all slots were busy, including
	// those that were then shed.
	SlotsBusyOnArrival uint64 `json:"waited"`
	Shed               uint64 `json:"shed"`
	Expired            uint64 `json:"expired"`
	Cancelled          uint64 `json:"cancelled"`
	// ConnectionsRefused counts connections refused at the connection limit.
	ConnectionsRefused uint64 `json:"at_limit"`
	// WrongService counts requests and feeds addressed to another service.
	WrongService     uint64 `json:"wrong_service"`
	ConnectionsTotal uint64 `json:"connections_total"`
	ConnectionsOpen  int    `json:"connections_open"`
	FeedsOpen        int    `json:"feeds_open"`
	BusySlots        int    `json:"busy"`
}

// recorder keeps the counts of one target.
type recorder struct {
	mu      sync.Mutex
	report  Report
	streams int
	// unconfirmed is the number of streams whose response is sent but not yet confirmed by the caller.
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

// awaitConfirmation counts the stream as unconfirmed while wait runs. wait returns when
// the caller has confirmed the complete response or the connection is lost.
func (r *recorder) awaitConfirmation(wait func()) {
	r.mu.Lock()
	r.unconfirmed++
	r.mu.Unlock()
	wait()
	r.mu.Lock()
	r.unconfirmed--
	r.mu.Unlock()
}

// activeStreams returns the number of open streams and how many of them have not yet
// sent their complete response.
func (r *recorder) activeStreams() (streams, unanswered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams, r.streams - r.unconfirmed
}

// enqueue adds a request to the queue and returns the new queue length.
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
