package target

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	sampleInterval = 20 * time.Millisecond
	// keptSamples bounds the lag to 10 s.
	keptSamples = 500
)

// Load is the answer of the health and load endpoint.
type Load struct {
	Healthy         bool `json:"healthy"`
	Draining        bool `json:"draining"`
	Shedding        bool `json:"shedding"`
	BusySlots       int  `json:"busy_slots"`
	Slots           int  `json:"slots"`
	OpenConnections int  `json:"open_connections"`
}

// Switches make the health and load endpoint lag or mislead. The zero value is truthful.
type Switches struct {
	// LagMS makes the endpoint report an older state, in milliseconds.
	LagMS int `json:"lag_ms,omitempty"`
	// Report, if set, is reported in place of the truth.
	Report *Load `json:"report,omitempty"`
	// Silent closes connections without an answer.
	Silent bool `json:"silent,omitempty"`
}

// health is the health and load endpoint of one target.
type health struct {
	target *Target

	mu       sync.Mutex
	switches Switches
	draining bool
	samples  []Load
}

func newHealth(t *Target) *health { return &health{target: t} }

func (h *health) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

func (h *health) currentLocked() Load {
	t := h.target
	return Load{
		Healthy:         true,
		Draining:        h.draining,
		Shedding:        t.record.waiting() >= t.options.Queue && t.options.Queue > 0,
		BusySlots:       len(t.slots),
		Slots:           cap(t.slots),
		OpenConnections: t.record.connections(),
	}
}

// sample keeps old states for the lag until ctx ends.
func (h *health) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		h.samples = append(h.samples, h.currentLocked())
		if len(h.samples) > keptSamples {
			h.samples = h.samples[1:]
		}
		h.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// load returns what the endpoint reports.
func (h *health) load() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.switches.Report != nil {
		return *h.switches.Report
	}
	back := h.switches.LagMS / int(sampleInterval/time.Millisecond)
	if back == 0 || len(h.samples) == 0 {
		return h.currentLocked()
	}
	return h.samples[max(0, len(h.samples)-1-back)]
}

// Handler serves health and load, and for tests the switches and the report.
//
//	GET /health                    Load
//	PUT /test/switches  Switches   replace all switches
//	GET /test/report               Report
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", t.health.serve)
	mux.HandleFunc("PUT /test/switches", t.health.setSwitches)
	mux.HandleFunc("GET /test/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Report())
	})
	return mux
}

func (h *health) serve(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	silent := h.switches.Silent
	h.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, h.load())
}

func (h *health) setSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&switches); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.switches = switches
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that went away is no fault of the server
}
