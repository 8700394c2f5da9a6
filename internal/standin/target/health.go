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
	// maxSamples limits Faults.LagMS to 10 s at sampleInterval.
	maxSamples = 500
)

// Load is the response of the health and load endpoint.
type Load struct {
	Healthy         bool `json:"healthy"`
	Draining        bool `json:"draining"`
	Shedding        bool `json:"shedding"`
	BusySlots       int  `json:"busy_slots"`
	Slots           int  `json:"slots"`
	OpenConnections int  `json:"open_connections"`
}

// Faults are the faults to inject into the health and load endpoint. With the zero
// value, the endpoint reports the current state.
type Faults struct {
	// LagMS makes the endpoint report the state of that many milliseconds ago.
	LagMS int `json:"lag_ms,omitempty"`
	// Report, if set, is reported in place of the real state.
	Report *Load `json:"report,omitempty"`
	// Silent makes the endpoint close connections without a response.
	Silent bool `json:"silent,omitempty"`
}

// healthEndpoint implements the health and load endpoint of one target.
type healthEndpoint struct {
	target *Target

	mu       sync.Mutex
	faults   Faults
	draining bool
	samples  []Load
}

func newHealthEndpoint(t *Target) *healthEndpoint { return &healthEndpoint{target: t} }

// startDrain makes the endpoint report that the target is draining.
func (h *healthEndpoint) startDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// currentLoadLocked returns the current state. h.mu must be held.
func (h *healthEndpoint) currentLoadLocked() Load {
	t := h.target
	return Load{
		Healthy:         true,
		Draining:        h.draining,
		Shedding:        t.recorder.queueLength() >= t.options.MaxQueued && t.options.MaxQueued > 0,
		BusySlots:       len(t.slots),
		Slots:           cap(t.slots),
		OpenConnections: t.recorder.openConnections(),
	}
}

// recordSamples stores the state at every sampleInterval, for LagMS, until ctx ends.
func (h *healthEndpoint) recordSamples(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		h.samples = append(h.samples, h.currentLoadLocked())
		if len(h.samples) > maxSamples {
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

// reportedLoad returns the state that the endpoint reports under the injected faults.
func (h *healthEndpoint) reportedLoad() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Report != nil {
		return *h.faults.Report
	}
	sampleOffset := h.faults.LagMS / int(sampleInterval/time.Millisecond)
	if sampleOffset == 0 || len(h.samples) == 0 {
		return h.currentLoadLocked()
	}
	return h.samples[max(0, len(h.samples)-1-sampleOffset)]
}

// Handler returns the HTTP handler for health and load, and for tests that inject faults
// or read the report.
//
//	GET /health                  returns Load, as any other GET path does
//	PUT /test/switches  Faults   replaces all injected faults
//	GET /test/report             returns Report
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", t.health.serveLoad)
	mux.HandleFunc("PUT /test/switches", t.health.setFaults)
	mux.HandleFunc("GET /test/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Report())
	})
	return mux
}

func (h *healthEndpoint) serveLoad(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	silent := h.faults.Silent
	h.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, h.reportedLoad())
}

func (h *healthEndpoint) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = faults
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error only means that the client has disconnected
}
