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
	maxSamples = 500
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
type healthEndpoint struct {
	target *Target

	mu       sync.Mutex
	switches Switches
	draining bool
	samples  []Load
}

func newHealthEndpoint(t *Target) *healthEndpoint { return &healthEndpoint{target: t} }

func (h *healthEndpoint) startDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

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

// sample keeps old states for the lag until ctx ends.
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

// load returns what the endpoint reports.
func (h *healthEndpoint) reportedLoad() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.switches.Report != nil {
		return *h.switches.Report
	}
	sampleOffset := h.switches.LagMS / int(sampleInterval/time.Millisecond)
	if sampleOffset == 0 || len(h.samples) == 0 {
		return h.currentLoadLocked()
	}
	return h.samples[max(0, len(h.samples)-1-sampleOffset)]
}

// Handler serves health and load, and for tests the switches and the report.
//
//	GET /health                    Load
//	PUT /test/switches  Switches   replace all switches
//	GET /test/report               Report
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", t.health.serveLoad)
	mux.HandleFunc("PUT /test/switches", t.health.setSwitches)
	mux.HandleFunc("GET /test/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Report())
	})
	return mux
}

func (h *healthEndpoint) serveLoad(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	silent := h.switches.Silent
	h.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, h.reportedLoad())
}

func (h *healthEndpoint) setSwitches(w http.ResponseWriter, r *http.Request) {
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
