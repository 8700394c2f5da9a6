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
	FreeOnArrival uint64 `json:"free_on_arrival"`
	// Waited are requests that arrived with all slots busy.
	Waited    uint64 `json:"waited"`
	Shed      uint64 `json:"shed"`
	Expired   uint64 `json:"expired"`
	Cancelled uint64 `json:"cancelled"`
	// AtLimit are connections refused at the connection limit.
	AtLimit uint64 `json:"at_limit"`
	// WrongService are requests meant for another service.
	WrongService     uint64 `json:"wrong_service"`
	ConnectionsTotal uint64 `json:"connections_total"`
	ConnectionsOpen  int    `json:"connections_open"`
	FeedsOpen        int    `json:"feeds_open"`
	Busy             int    `json:"busy"`
}

// record collects the report of one target.
type record struct {
	mu      sync.Mutex
	data    Report
	streams int
	// answered are streams whose answer is sent and not confirmed by the caller yet.
	answered int
	queued   int
}

func newRecord(target, service string) *record {
	return &record{data: Report{Target: target, Service: service, Runs: map[string]int{}}}
}

func (r *record) add(change func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.data)
}

func (r *record) run(id string) {
	r.add(func(d *Report) { d.Runs[id]++ })
}

func (r *record) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
}

func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams--
}

// confirm runs wait, which returns when the caller has the whole answer or is gone.
func (r *record) confirm(wait func()) {
	r.mu.Lock()
	r.answered++
	r.mu.Unlock()
	wait()
	r.mu.Lock()
	r.answered--
	r.mu.Unlock()
}

// active returns the number of streams in progress, and how many of them still owe an answer.
func (r *record) active() (streams, unanswered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams, r.streams - r.answered
}

// enqueue counts a waiting request and returns how many wait now.
func (r *record) enqueue() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Waited++
	r.queued++
	return r.queued
}

func (r *record) dequeue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
}

func (r *record) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queued
}

func (r *record) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.data.ConnectionsOpen
}

func (r *record) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.data
	out.Runs = maps.Clone(r.data.Runs)
	return out
}
