package follower

import (
	"testing"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Guards against snapshots and deltas that stop the process, or that go into
// force without matching the digest of the head.
func FuzzSnapshot(f *testing.F) {
	set := objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 2}}}
	raw := objects.Canonical(set)
	f.Add(raw, []byte(`{"pools":{"put":[{"name":"quote","slots":3}],"remove":["x"]}}`))
	f.Add([]byte("{"), []byte("[]"))
	f.Fuzz(func(t *testing.T, snapshot, delta []byte) {
		now := time.Unix(1000, 0)
		fo := New(Config{VM: "a", Place: "pl-a"})
		first := Head{Generation: 1, Digest: objects.Digest(raw)}
		load := Command{Kind: LoadSnapshot, Head: first}
		fo.HandleResult(now, Result{Command: load, Snapshot: snapshot})
		if string(snapshot) != string(raw) && fo.InForce().Generation != 0 {
			t.Fatal("a snapshot with another digest is in force")
		}
		fo.HandleResult(now, Result{Command: load, Snapshot: raw})
		second := Head{Generation: 2, Digest: objects.Digest(objects.Canonical(objects.Set{}))}
		fetch := Command{Kind: FetchPeer, Head: second, Base: first.Digest, Peer: "b"}
		fo.HandleResult(now, Result{Command: fetch, Head: second, Delta: delta})
		if s := fo.current; objects.Digest(objects.Canonical(s.Set)) != s.Head.Digest {
			t.Fatal("the configuration in force does not match its digest")
		}
	})
}
