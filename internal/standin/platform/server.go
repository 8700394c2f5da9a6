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

// watchPoll is how long one long poll waits before the client has to ask again.
const longPollTimeout = 20 * time.Second

// Server answers the platform's calls. Below /test/ it has what an
// administrator or a test does: the VM list, the switches and the counts.
//
//	PUT    /test/vms/NAME  VM         add or replace a VM
//	DELETE /test/vms/NAME             remove a VM
//	GET    /test/switches             Switches
//	PUT    /test/switches  Switches   replace all switches
//	GET    /test/counts               Counts
type Server struct {
	store  *store
	faults *faultState
	counts *callCounter
	mux    *http.ServeMux
}

// NewServer returns a platform with the given VM list. now is the clock.
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

// Set replaces the switches.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	s.store.notifyWatchers()
}

// PutVM adds or replaces one entry of the VM list.
func (s *Server) PutVM(vm platform.VM) { s.store.putVM(vm) }

// RemoveVM takes one entry from the VM list.
func (s *Server) RemoveVM(name string) { s.store.removeVM(name) }

// faulty counts a call and applies the switches around it.
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
			http.Error(w, "the platform is unavailable", http.StatusServiceUnavailable)
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
		http.Error(w, "expect: not a revision", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value: "+err.Error(), http.StatusRequestEntityTooLarge)
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
		http.Error(w, "after: not a revision", http.StatusBadRequest)
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
		http.Error(w, "holder and a positive ttl_ns are needed", http.StatusBadRequest)
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
	_ = json.NewEncoder(w).Encode(body) // a client that went away is no fault of the server
}

// abort closes the connection without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }

// pause waits and reports whether the client is still there.
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
