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
const watchPoll = 20 * time.Second

// Server answers the platform's calls. Below /test/ it has what an
// administrator or a test does: the VM list, the switches and the counts.
//
//	PUT    /test/vms/NAME  VM         add or replace a VM
//	DELETE /test/vms/NAME             remove a VM
//	GET    /test/switches             Switches
//	PUT    /test/switches  Switches   replace all switches
//	GET    /test/counts               Counts
type Server struct {
	store    *store
	switches *switchboard
	counts   *counter
	mux      *http.ServeMux
}

// NewServer returns a platform with the given VM list. now is the clock.
func NewServer(now func() time.Time, vms []platform.VM) *Server {
	s := &Server{store: newStore(now), switches: &switchboard{}, counts: newCounter(), mux: http.NewServeMux()}
	for _, vm := range vms {
		s.store.putVM(vm)
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.faulty("get", s.get))
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.faulty("write", s.write))
	s.mux.HandleFunc("GET /v1/watch/{key}", s.faulty("watch", s.watch))
	s.mux.HandleFunc("GET /v1/vms", s.faulty("vms", s.listVMs))
	s.mux.HandleFunc("POST /v1/lease/{key}", s.faulty("lease", s.lease))
	s.mux.HandleFunc("PUT /test/vms/{name}", s.putVM)
	s.mux.HandleFunc("DELETE /test/vms/{name}", s.removeVM)
	s.mux.HandleFunc("GET /test/switches", s.getSwitches)
	s.mux.HandleFunc("PUT /test/switches", s.putSwitches)
	s.mux.HandleFunc("GET /test/counts", s.getCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the switches.
func (s *Server) Set(switches Switches) {
	s.switches.set(switches)
	s.store.wake()
}

// PutVM adds or replaces one entry of the VM list.
func (s *Server) PutVM(vm platform.VM) { s.store.putVM(vm) }

// RemoveVM takes one entry from the VM list.
func (s *Server) RemoveVM(name string) { s.store.removeVM(name) }

// faulty counts a call and applies the switches around it.
func (s *Server) faulty(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		client, _, _ := r.BasicAuth()
		s.counts.begin(kind, client)
		defer s.counts.end(kind)
		switches := s.switches.get()
		if !pause(r.Context(), switches.delay()) {
			return
		}
		if switches.cuts(client) {
			abort()
		}
		if switches.Refuse {
			http.Error(w, "the platform is unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, s.store.get(r.PathValue("key"), s.switches.get().StaleRevisions))
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect: not a revision", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	record, done := s.store.compareAndSwap(r.PathValue("key"), value, expect)
	if s.switches.takeLostAnswer() {
		abort()
	}
	if !done {
		answer(w, http.StatusConflict, record)
		return
	}
	answer(w, http.StatusOK, record)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a revision", http.StatusBadRequest)
		return
	}
	client, _, _ := r.BasicAuth()
	poll, cancel := context.WithTimeout(r.Context(), watchPoll)
	defer cancel()
	for {
		record, changed := s.store.getOrWait(r.PathValue("key"), s.switches.get().StaleRevisions)
		if s.switches.get().cuts(client) {
			abort()
		}
		if record.Revision > after {
			answer(w, http.StatusOK, record)
			return
		}
		select {
		case <-changed:
		case <-poll.Done():
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.store.listVMs(s.switches.get().vmLag()))
}

func (s *Server) lease(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	ttl, err := strconv.ParseInt(query.Get("ttl_ns"), 10, 64)
	if err != nil || ttl <= 0 || query.Get("holder") == "" {
		http.Error(w, "holder and a positive ttl_ns are needed", http.StatusBadRequest)
		return
	}
	answer(w, http.StatusOK, s.store.acquire(r.PathValue("key"), query.Get("holder"), time.Duration(ttl)))
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if !decode(w, r, &vm) {
		return
	}
	vm.Name = r.PathValue("name")
	s.store.putVM(vm)
}

func (s *Server) removeVM(_ http.ResponseWriter, r *http.Request) {
	s.store.removeVM(r.PathValue("name"))
}

func (s *Server) getSwitches(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.switches.get())
}

func (s *Server) putSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if decode(w, r, &switches) {
		s.Set(switches)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.counts.snapshot())
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that went away is no fault of the server
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// pause waits and reports whether the client is still there.
func pause(ctx context.Context, d time.Duration) bool {
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
