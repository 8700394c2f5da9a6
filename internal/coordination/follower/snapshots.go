package follower

import (
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
)

// maxHistory is the number of earlier snapshots kept as bases of deltas. At the
// design scale of 1,400 changes a day they span several minutes.
const maxHistory = 4

// verdict is the result of the check of a snapshot.
type verdict uint8

const (
	verdictGood verdict = iota
	// verdictCorrupted: the content does not match the digest; another copy may.
	verdictCorrupted
	// verdictInvalid: the content matches the digest and cannot be put in force.
	verdictInvalid
)

// verify checks canonical JSON against the digest of a head and decodes it.
func (f *Follower) verify(head Head, raw []byte) (objects.Set, verdict) {
	if len(raw) == 0 || objects.Digest(raw) != head.Digest {
		return objects.Set{}, verdictCorrupted
	}
	set, err := publish.DecodeSnapshot(raw, head.Digest)
	if err != nil {
		return objects.Set{}, verdictInvalid
	}
	if f.cfg.Validate != nil && f.cfg.Validate(set) != nil {
		return objects.Set{}, verdictInvalid
	}
	return set, verdictGood
}

// adopt puts a verified snapshot in force if its generation is higher.
func (f *Follower) adopt(s Snapshot) (Snapshot, bool) {
	if s.Head.Generation <= f.current.Head.Generation {
		return Snapshot{}, false
	}
	if f.current.Head.Generation > 0 {
		former := f.current
		former.raw = nil // deltas need the set alone
		f.history = append([]Snapshot{former}, f.history...)
		f.history = f.history[:min(len(f.history), maxHistory)]
	}
	f.current = s
	f.deltas = map[string][]byte{}
	f.counts.Adoptions++
	f.clear(AlarmNoConfiguration)
	f.clear(AlarmSnapshotRefused)
	f.clear(AlarmDigestConflict)
	if f.wanted.head.Generation <= s.Head.Generation {
		f.wanted = wanted{}
	}
	return s, true
}

// Serve answers a peer's request for the snapshot in force. It sends a delta
// when it still has the base and the delta is shorter.
func (f *Follower) Serve(base []byte) *wire.FetchSnapshotResponse {
	response := &wire.FetchSnapshotResponse{Head: f.current.Head.Wire()}
	if f.current.Head.Generation == 0 {
		return response
	}
	if delta := f.deltaFrom(hex.EncodeToString(base)); len(delta) > 0 && len(delta) < len(f.current.raw) {
		response.Delta = delta
		return response
	}
	response.Snapshot = f.current.raw
	return response
}

// Wire returns the message form of a head.
func (h Head) Wire() *wire.Head {
	digest, _ := hex.DecodeString(h.Digest) // a head in force has a verified digest
	return &wire.Head{Generation: h.Generation, Digest: digest}
}

// HeadFromWire reads the message form of a head.
func HeadFromWire(h *wire.Head) Head {
	return Head{Generation: h.GetGeneration(), Digest: hex.EncodeToString(h.GetDigest())}
}

func (f *Follower) deltaFrom(base string) []byte {
	if delta, ok := f.deltas[base]; ok {
		return delta
	}
	for _, s := range f.history {
		if s.Head.Digest == base {
			f.deltas[base] = newDelta(s.Set, f.current.Set)
			return f.deltas[base]
		}
	}
	return nil
}

// applyDelta returns the canonical snapshot that a delta makes of the
// configuration in force, or nil when it does not fit.
func (f *Follower) applyDelta(base string, raw []byte) []byte {
	if base == "" || base != f.current.Head.Digest {
		return nil
	}
	var d delta
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil
	}
	from := f.current.Set
	return objects.Canonical(objects.Set{
		Places:   d.Places.apply(from.Places, placeName),
		Services: d.Services.apply(from.Services, serviceName),
		Pools:    d.Pools.apply(from.Pools, poolName),
		Targets:  d.Targets.apply(from.Targets, targetName),
	})
}

// delta holds the objects that differ between two configurations.
type delta struct {
	Places   change[objects.Place]   `json:"places"`
	Services change[objects.Service] `json:"services"`
	Pools    change[objects.Pool]    `json:"pools"`
	Targets  change[objects.Target]  `json:"targets"`
}

type change[T any] struct {
	Put    []T      `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

func placeName(p objects.Place) string     { return p.Name }
func serviceName(s objects.Service) string { return s.Name }
func poolName(p objects.Pool) string       { return p.Name }
func targetName(t objects.Target) string   { return t.Name }

func newDelta(from, to objects.Set) []byte {
	raw, err := json.Marshal(delta{
		Places:   difference(from.Places, to.Places, placeName),
		Services: difference(from.Services, to.Services, serviceName),
		Pools:    difference(from.Pools, to.Pools, poolName),
		Targets:  difference(from.Targets, to.Targets, targetName),
	})
	if err != nil {
		panic(err) // the types of a set always have a JSON form
	}
	return raw
}

func difference[T any](from, to []T, name func(T) string) change[T] {
	old := map[string]T{}
	for _, o := range from {
		old[name(o)] = o
	}
	var c change[T]
	for _, o := range to {
		before, ok := old[name(o)]
		if !ok || !reflect.DeepEqual(before, o) {
			c.Put = append(c.Put, o)
		}
		delete(old, name(o))
	}
	for _, o := range from {
		if _, gone := old[name(o)]; gone {
			c.Remove = append(c.Remove, name(o))
		}
	}
	return c
}

// apply returns the objects with the changes made; Canonical orders them.
func (c change[T]) apply(from []T, name func(T) string) []T {
	replaced := map[string]bool{}
	for _, n := range c.Remove {
		replaced[n] = true
	}
	for _, o := range c.Put {
		replaced[name(o)] = true
	}
	var out []T
	for _, o := range from {
		if !replaced[name(o)] {
			out = append(out, o)
		}
	}
	return append(out, c.Put...)
}
