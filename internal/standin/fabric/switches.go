package fabric

import (
	"encoding/json"
	"maps"
	"net/http"
)

// Switches are the faults that a test can turn on. The zero value is a fabric
// that loses nothing.
type Faults struct {
	DropPermille      int `json:"drop_permille,omitempty"`
	DuplicatePermille int `json:"duplicate_permille,omitempty"`
	ReorderPermille   int `json:"reorder_permille,omitempty"`
	// Cuts are pairs of parties that exchange no packets. A party is a VM name,
	// an inner address or a place.
	Partitions [][2]string `json:"cuts,omitempty"`
}

func (f Faults) partitioned(a, b node) bool {
	for _, pair := range f.Partitions {
		if a.matches(pair[0]) && b.matches(pair[1]) || a.matches(pair[1]) && b.matches(pair[0]) {
			return true
		}
	}
	return false
}

func (n node) matches(name string) bool { return n.name == name || n.place == name }

// Counts are the packets so far.
type Counts struct {
	// Live are the balancers that receive packets.
	Live []string `json:"live"`
	// Sprayed and Delivered are packets to and from each balancer.
	Sprayed       map[string]uint64 `json:"sprayed"`
	Delivered     map[string]uint64 `json:"delivered"`
	NoBalancer    uint64            `json:"no_balancer"`
	NoEndpoint    uint64            `json:"no_endpoint"`
	UnknownSender uint64            `json:"unknown_sender"`
	Malformed     uint64            `json:"malformed"`
	Partitioned   uint64            `json:"cut"`
	Dropped       uint64            `json:"dropped"`
	Duplicated    uint64            `json:"duplicated"`
	Reordered     uint64            `json:"reordered"`
}

func newCounts() Counts {
	return Counts{Sprayed: map[string]uint64{}, Delivered: map[string]uint64{}}
}

// Set replaces the switches.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Counts returns the counts so far.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot := f.counts
	snapshot.Sprayed = maps.Clone(f.counts.Sprayed)
	snapshot.Delivered = maps.Clone(f.counts.Delivered)
	snapshot.Live = []string{}
	for _, n := range f.liveBalancers {
		snapshot.Live = append(snapshot.Live, n.name)
	}
	return snapshot
}

// Handler serves the switches and counts to tests.
//
//	PUT /test/switches  Switches   replace all switches
//	GET /test/counts               Counts
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /test/switches", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(faults)
	})
	mux.HandleFunc("GET /test/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.Counts()) // a client that went away is no fault of the server
	})
	return mux
}
