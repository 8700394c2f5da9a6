package fabric

import (
	"encoding/json"
	"maps"
	"net/http"
)

// Faults are the faults to inject. The zero value injects none. DropPermille,
// DuplicatePermille and ReorderPermille are shares of the forwarded packets, in thousandths.
type Faults struct {
	DropPermille      int `json:"drop_permille,omitempty"`
	DuplicatePermille int `json:"duplicate_permille,omitempty"`
	ReorderPermille   int `json:"reorder_permille,omitempty"`
	// Partitions are pairs of nodes or places between which all packets are dropped, in both
	// directions. Each is a VM name, an inner address or a place.
	Partitions [][2]string `json:"cuts,omitempty"`
}

// partitioned reports whether a partition separates two nodes.
func (f Faults) partitioned(a, b node) bool {
	for _, pair := range f.Partitions {
		if a.matches(pair[0]) && b.matches(pair[1]) || a.matches(pair[1]) && b.matches(pair[0]) {
			return true
		}
	}
	return false
}

// matches reports whether name is the name of the node or of its place.
func (n node) matches(name string) bool { return n.name == name || n.place == name }

// Counts holds packet counts since the start, and the live balancers.
type Counts struct {
	// Live contains the names of the balancers that receive packets.
	Live []string `json:"live"`
	// Sprayed counts the packets to each balancer and Delivered those from each balancer, by
	// VM name. Both include packets that an injected fault then dropped.
	Sprayed   map[string]uint64 `json:"sprayed"`
	Delivered map[string]uint64 `json:"delivered"`
	// NoBalancer counts packets dropped because no balancer was live.
	NoBalancer uint64 `json:"no_balancer"`
	// NoEndpoint counts packets dropped because no endpoint had registered the inner
	// destination address.
	NoEndpoint uint64 `json:"no_endpoint"`
	// UnknownSender counts packets from a socket that is neither a balancer nor attached.
	UnknownSender uint64 `json:"unknown_sender"`
	Malformed     uint64 `json:"malformed"`
	// Partitioned counts packets dropped by a partition, and Dropped those dropped at random.
	Partitioned uint64 `json:"cut"`
	Dropped     uint64 `json:"dropped"`
	Duplicated  uint64 `json:"duplicated"`
	Reordered   uint64 `json:"reordered"`
}

func newCounts() Counts {
	return Counts{Sprayed: map[string]uint64{}, Delivered: map[string]uint64{}}
}

// SetFaults replaces all injected faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Counts returns a copy of the counts since the start.
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

// Handler returns the HTTP interface through which tests inject faults and read counts.
//
//	PUT /test/switches  Faults   replace all injected faults
//	GET /test/counts             Counts
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
		_ = json.NewEncoder(w).Encode(f.Counts()) // the client may have disconnected
	})
	return mux
}
