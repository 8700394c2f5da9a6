package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// longPollTimeout is how long a watch waits for a change before it returns status 204 and the
// client has to repeat it.
const longPollTimeout = 20 * time.Second

// Server serves the platform's HTTP interface. The paths below /test/ are for administrators
// and tests: they change the VM list, inject faults and return call counts.
//
//	PUT    /test/vms/NAME  VM       add or replace a VM
//	DELETE /test/vms/NAME           remove a VM
//	GET    /test/switches           Faults
//	PUT    /test/switches  Faults   replace all injected faults
//	GET    /test/counts             Counts
type Server struct {
	store  *store
	faults *faultState
	counts *callCounter
	mux    *http.ServeMux
}

// NewServer returns a platform with the given VM list. now returns the current time.
func NewServer(now func() time.Time, vms []platform.VM) *Server {
	s := &Server{store: newStore(now), faults: &faultState{}, counts: newCallCounter(), mux: http.NewServeMux()}
	for _, vm := range vms {
		s.store.putVM(vm)
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.withFaults("get", s.serveGet))
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.withFaults("write", s.serveWrite))
	s.mux.HandleFunc("GET /v1/watch/{key}", s.withFaults("watch", s.serveWatch))
	s.mux.HandleFunc("GET /v1/vms", s.withFaults("vms", s.serveVMs))
	s.mux.HandleFunc("POST /v1/lease/{key}", s.withFaults("lease", s.serveLease))
	s.mux.HandleFunc("PUT /test/vms/{name}", s.servePutVM)
	s.mux.HandleFunc("DELETE /test/vms/{name}", s.serveRemoveVM)
	s.mux.HandleFunc("GET /test/switches", s.serveGetFaults)
	s.mux.HandleFunc("PUT /test/switches", s.servePutFaults)
	s.mux.HandleFunc("GET /test/counts", s.serveCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces all injected faults. Pending watches are checked against the new ones.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	s.store.notifyWatchers()
}

// PutVM adds or replaces one entry of the VM list.
func (s *Server) PutVM(vm platform.VM) { s.store.putVM(vm) }

// RemoveVM removes one entry from the VM list.
func (s *Server) RemoveVM(name string) { s.store.removeVM(name) }

// withFaults returns a handler that counts a call and applies the injected delay, disconnection
// or rejection before it calls next.
func (s *Server) withFaults(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		client, _, _ := r.BasicAuth()
		s.counts.begin(kind, client)
		defer s.counts.end(kind)
		faults := s.faults.get()
		if !sleep(r.Context(), faults.delay()) {
			return
		}
		if faults.disconnects(client) {
			abortConnection()
		}
		if faults.RejectCalls {
			http.Error(w, "platform unavailable: call rejected", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.store.get(r.PathValue("key"), s.faults.get().StaleRevisions))
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request) {
	expectedRevision, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "parameter expect is not a revision number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "read value: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	record, written := s.store.compareAndSwap(r.PathValue("key"), value, expectedRevision)
	if s.faults.consumeLostResponse() {
		abortConnection()
	}
	if !written {
		writeJSON(w, http.StatusConflict, record)
		return
	}
	writeJSON(w, http.StatusOK, record)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	afterRevision, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parameter after is not a revision number", http.StatusBadRequest)
		return
	}
	client, _, _ := r.BasicAuth()
	pollCtx, cancel := context.WithTimeout(r.Context(), longPollTimeout)
	defer cancel()
	for {
		record, changed := s.store.getAndSubscribe(r.PathValue("key"), s.faults.get().StaleRevisions)
		if s.faults.get().disconnects(client) {
			abortConnection()
		}
		if record.Revision > afterRevision {
			writeJSON(w, http.StatusOK, record)
			return
		}
		select {
		case <-changed:
		case <-pollCtx.Done():
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (s *Server) serveVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.store.listVMs(s.faults.get().vmLag()))
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	ttl, err := strconv.ParseInt(query.Get("ttl_ns"), 10, 64)
	if err != nil || ttl <= 0 || query.Get("holder") == "" {
		http.Error(w, "parameters holder and ttl_ns are required; ttl_ns must be a positive number", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, s.store.acquireLease(r.PathValue("key"), query.Get("holder"), time.Duration(ttl)))
}

func (s *Server) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if !readJSON(w, r, &vm) {
		return
	}
	vm.Name = r.PathValue("name")
	s.store.putVM(vm)
}

func (s *Server) serveRemoveVM(_ http.ResponseWriter, r *http.Request) {
	s.store.removeVM(r.PathValue("name"))
}

func (s *Server) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.faults.get())
}

func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.counts.snapshot())
}

// readJSON decodes the request body into out. If that fails, it responds with status 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

// sleep waits for d. It returns false if ctx was done first because the client disconnected.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
