package follower

import (
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
)

// maxDeltaBases is the number of earlier snapshots kept as bases of deltas. At the
// design scale of 1,400 changes a day they cover several minutes.
const maxDeltaBases = 4

// snapshotStatus is the result of verifying a snapshot.
type snapshotStatus uint8

const (
	snapshotValid snapshotStatus = iota
	// snapshotCorrupted means that the content does not match the digest. Another
	// copy may match.
	snapshotCorrupted
	// snapshotInvalid means that the content matches the digest but cannot be put in
	// force.
	snapshotInvalid
)

// verify checks an encoded snapshot against the digest of a head, decodes and
// validates it.
func (f *Follower) verify(head Head, encoded []byte) (objects.Set, snapshotStatus) {
	if len(encoded) == 0 || objects.Digest(encoded) != head.Digest {
		return objects.Set{}, snapshotCorrupted
	}
	set, err := publish.DecodeSnapshot(encoded, head.Digest)
	if err != nil {
		return objects.Set{}, snapshotInvalid
	}
	if f.cfg.Validate != nil && f.cfg.Validate(set) != nil {
		return objects.Set{}, snapshotInvalid
	}
	return set, snapshotValid
}

// adopt puts a verified snapshot in force if its generation is above the current one.
func (f *Follower) adopt(s Snapshot) (Snapshot, bool) {
	if s.Head.Generation <= f.current.Head.Generation {
		return Snapshot{}, false
	}
	if f.current.Head.Generation > 0 {
		previous := f.current
		previous.encoded = nil // deltas are computed from Set only
		f.history = append([]Snapshot{previous}, f.history...)
		f.history = f.history[:min(len(f.history), maxDeltaBases)]
	}
	f.current = s
	f.deltasByBase = map[string][]byte{}
	f.counts.Adoptions++
	f.clearAlarm(AlarmNoConfiguration)
	f.clearAlarm(AlarmSnapshotRefused)
	f.clearAlarm(AlarmDigestConflict)
	if f.announced.head.Generation <= s.Head.Generation {
		f.announced = announcedHead{}
	}
	return s, true
}

// ServeSnapshot answers a peer's request for the snapshot in force. It sends a delta
// if the base is still in the history and the delta is shorter than the snapshot.
func (f *Follower) ServeSnapshot(baseDigest []byte) *wire.FetchSnapshotResponse {
	response := &wire.FetchSnapshotResponse{Head: f.current.Head.Wire()}
	if f.current.Head.Generation == 0 {
		return response
	}
	if delta := f.deltaFrom(hex.EncodeToString(baseDigest)); len(delta) > 0 && len(delta) < len(f.current.encoded) {
		response.Delta = delta
		return response
	}
	response.Snapshot = f.current.encoded
	return response
}

// Wire returns the wire form of a head.
func (h Head) Wire() *wire.Head {
	digest, _ := hex.DecodeString(h.Digest) // a head in force has a verified digest
	return &wire.Head{Generation: h.Generation, Digest: digest}
}

// HeadFromWire converts the wire form of a head.
func HeadFromWire(h *wire.Head) Head {
	return Head{Generation: h.GetGeneration(), Digest: hex.EncodeToString(h.GetDigest())}
}

// deltaFrom returns the encoded delta from an earlier snapshot to the current one,
// or nil if the history does not contain the base.
func (f *Follower) deltaFrom(baseDigest string) []byte {
	if delta, ok := f.deltasByBase[baseDigest]; ok {
		return delta
	}
	for _, s := range f.history {
		if s.Head.Digest == baseDigest {
			f.deltasByBase[baseDigest] = encodeDelta(s.Set, f.current.Set)
			return f.deltasByBase[baseDigest]
		}
	}
	return nil
}

// applyDelta applies a delta to the configuration in force and returns the canonical
// encoding of the result. It returns nil if the base is not the configuration in
// force or the delta cannot be decoded.
func (f *Follower) applyDelta(baseDigest string, encoded []byte) []byte {
	if baseDigest == "" || baseDigest != f.current.Head.Digest {
		return nil
	}
	var d delta
	if err := json.Unmarshal(encoded, &d); err != nil {
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
	Places   objectChanges[objects.Place]   `json:"places"`
	Services objectChanges[objects.Service] `json:"services"`
	Pools    objectChanges[objects.Pool]    `json:"pools"`
	Targets  objectChanges[objects.Target]  `json:"targets"`
}

// objectChanges holds the objects of one type to add or replace, and the names of
// those to remove.
type objectChanges[T any] struct {
	Put    []T      `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

func placeName(p objects.Place) string     { return p.Name }
func serviceName(s objects.Service) string { return s.Name }
func poolName(p objects.Pool) string       { return p.Name }
func targetName(t objects.Target) string   { return t.Name }

func encodeDelta(from, to objects.Set) []byte {
	raw, err := json.Marshal(delta{
		Places:   diffObjects(from.Places, to.Places, placeName),
		Services: diffObjects(from.Services, to.Services, serviceName),
		Pools:    diffObjects(from.Pools, to.Pools, poolName),
		Targets:  diffObjects(from.Targets, to.Targets, targetName),
	})
	if err != nil {
		panic(err) // the types of a set can always be encoded as JSON
	}
	return raw
}

func diffObjects[T any](from, to []T, name func(T) string) objectChanges[T] {
	unmatched := map[string]T{}
	for _, o := range from {
		unmatched[name(o)] = o
	}
	var c objectChanges[T]
	for _, o := range to {
		previous, ok := unmatched[name(o)]
		if !ok || !reflect.DeepEqual(previous, o) {
			c.Put = append(c.Put, o)
		}
		delete(unmatched, name(o))
	}
	for _, o := range from {
		if _, removed := unmatched[name(o)]; removed {
			c.Remove = append(c.Remove, name(o))
		}
	}
	return c
}

// apply returns the objects with the changes applied, in no particular order:
// objects.Canonical sorts them.
func (c objectChanges[T]) apply(from []T, name func(T) string) []T {
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
