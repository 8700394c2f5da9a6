package follower

import (
	"encoding/hex"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Guards against a rolling upgrade in which balancers that encode a set in
// another way serve a snapshot under a digest that it does not have.
func TestServesTheBytesThatHaveTheDigest(t *testing.T) {
	now := time.Unix(1000, 0)
	canonical := objects.Canonical(objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 2}}})
	other := append([]byte(" "), objects.Canonical(objects.Set{Pools: []objects.Pool{{Name: "quote", Slots: 3}}})...)
	first := Head{Generation: 1, Digest: objects.Digest(canonical)}
	second := Head{Generation: 2, Digest: objects.Digest(other)}
	holder, reader := New(Config{VM: "a", Place: "pl-a"}), New(Config{VM: "b", Place: "pl-a"})
	for _, f := range []*Follower{holder, reader} {
		f.HandleResult(now, Result{Command: Command{Kind: LoadSnapshot, Head: first}, Snapshot: canonical})
	}
	holder.HandleResult(now, Result{Command: Command{Kind: LoadSnapshot, Head: second}, Snapshot: other})
	assert.Equal(t, holder.InForce(), second)

	reader.PeerHead(now, "a", second)
	for range 2 { // the delta gives this version's encoding; the whole snapshot is asked for next
		command, asked := reader.nextFetch(now)
		assert.Assert(t, asked)
		base, err := hex.DecodeString(command.Base)
		assert.NilError(t, err)
		response := holder.Serve(base)
		reader.HandleResult(now, Result{Command: command, Head: HeadFromWire(response.Head), Snapshot: response.Snapshot, Delta: response.Delta})
		if reader.InForce() == second {
			break
		}
	}
	assert.Equal(t, reader.InForce(), second)
	assert.DeepEqual(t, holder.Serve(nil).Snapshot, reader.Serve(nil).Snapshot)
}
