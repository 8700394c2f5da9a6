package follower

import (
	"encoding/hex"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// During a rolling upgrade, two versions of the program may encode the same set
// differently. Guards against a balancer that encodes a snapshot again and serves
// bytes that do not have the digest of the head.
func TestServeKeepsPublishedEncoding(t *testing.T) {
	now := time.Unix(1000, 0)
	canonical := objects.Canonical(objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 2}}})
	otherEncoding := append([]byte(" "), objects.Canonical(objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 3}}})...)
	first := Head{Generation: 1, Digest: objects.Digest(canonical)}
	second := Head{Generation: 2, Digest: objects.Digest(otherEncoding)}
	server, client := New(Config{VM: "a", Place: "pl-a"}), New(Config{VM: "b", Place: "pl-a"})
	for _, f := range []*Follower{server, client} {
		f.HandleResult(now, Result{Command: Command{Kind: LoadSnapshot, Head: first}, Snapshot: canonical})
	}
	server.HandleResult(now, Result{Command: Command{Kind: LoadSnapshot, Head: second}, Snapshot: otherEncoding})
	assert.Equal(t, server.InForce(), second)

	client.HandlePeerHead(now, "a", second)
	for range 2 { // applying the delta gives this version's encoding, so the full snapshot is fetched next
		command, ok := client.nextPeerFetch(now)
		assert.Assert(t, ok)
		base, err := hex.DecodeString(command.BaseDigest)
		assert.NilError(t, err)
		response := server.ServeSnapshot(base)
		client.HandleResult(now, Result{Command: command, Head: HeadFromWire(response.Head), Snapshot: response.Snapshot, Delta: response.Delta})
		if client.InForce() == second {
			break
		}
	}
	assert.Equal(t, client.InForce(), second)
	assert.DeepEqual(t, server.ServeSnapshot(nil).Snapshot, client.ServeSnapshot(nil).Snapshot)
}
