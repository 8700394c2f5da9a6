package follower

import (
	"testing"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Guards against malformed snapshots and deltas that crash the process, or that are
// put in force although they do not match the digest of the head.
func FuzzSnapshot(f *testing.F) {
	set := objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 2}}}
	encoded := objects.Canonical(set)
	f.Add(encoded, []byte(`{"pools":{"put":[{"name":"quote","slots":3}],"remove":["x"]}}`))
	f.Add([]byte("{"), []byte("[]"))
	f.Fuzz(func(t *testing.T, snapshot, delta []byte) {
		now := time.Unix(1000, 0)
		follower := New(Config{VM: "a", Place: "pl-a"})
		first := Head{Generation: 1, Digest: objects.Digest(encoded)}
		load := Command{Kind: LoadSnapshot, Head: first}
		follower.HandleResult(now, Result{Command: load, Snapshot: snapshot})
		if string(snapshot) != string(encoded) && follower.InForce().Generation != 0 {
			t.Fatal("a snapshot whose digest does not match the head is in force")
		}
		follower.HandleResult(now, Result{Command: load, Snapshot: encoded})
		second := Head{Generation: 2, Digest: objects.Digest(objects.Canonical(objects.Set{}))}
		fetch := Command{Kind: FetchFromPeer, Head: second, BaseDigest: first.Digest, Peer: "b"}
		follower.HandleResult(now, Result{Command: fetch, Head: second, Delta: delta})
		if s := follower.current; objects.Digest(objects.Canonical(s.Set)) != s.Head.Digest {
			t.Fatal("the configuration in force does not match the digest of its head")
		}
	})
}
