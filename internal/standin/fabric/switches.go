package fabric

import (
	"encoding/json"
	"maps"
	"net/http"
)

// Switches are the faults that a test can turn on. The zero value is a fabric
// that loses nothing.
type Switches struct {
	DropPermille      int `json:"drop_permille,omitempty"`
	DuplicatePermille int `json:"duplicate_permille,omitempty"`
	ReorderPermille   int `json:"reorder_permille,omitempty"`
	// Cuts are pairs of parties that exchange no packets. A party is a VM name,
	// an inner address or a place.
	Cuts [][2]string `json:"cuts,omitempty"`
}

func (s Switches) cuts(a, b party) bool {
	for _, cut := range s.Cuts {
		if a.is(cut[0]) && b.is(cut[1]) || a.is(cut[1]) && b.is(cut[0]) {
			return true
		}
	}
	return false
}

func (p party) is(name string) bool { return p.name == name || p.place == name }

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
	Cut           uint64            `json:"cut"`
	Dropped       uint64            `json:"dropped"`
	Duplicated    uint64            `json:"duplicated"`
	Reordered     uint64            `json:"reordered"`
}

func newCounts() Counts {
	return Counts{Sprayed: map[string]uint64{}, Delivered: map[string]uint64{}}
}

// Set replaces the switches.
func (f *Fabric) Set(s Switches) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switches = s
}

// Counts returns the counts so far.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.counts
	out.Sprayed = maps.Clone(f.counts.Sprayed)
	out.Delivered = maps.Clone(f.counts.Delivered)
	out.Live = []string{}
	for _, p := range f.live {
		out.Live = append(out.Live, p.name)
	}
	return out
}

// Handler serves the switches and counts to tests.
//
//	PUT /test/switches  Switches   replace all switches
//	GET /test/counts               Counts
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /test/switches", func(w http.ResponseWriter, r *http.Request) {
		var switches Switches
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&switches); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(switches)
	})
	mux.HandleFunc("GET /test/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.Counts()) // a client that went away is no fault of the server
	})
	return mux
}
