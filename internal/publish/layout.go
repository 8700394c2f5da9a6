// Package publish writes configurations to the key-value service and maintains their
// history. If the response to a write was lost, it determines whether the publish was
// accepted.
package publish

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// HeadKey is the key of the head record, which contains an objects.Head as JSON. Writers
// change it only by compare-and-swap.
const HeadKey = "kumquatworks/head"

// DecodeHead decodes the value of HeadKey. An empty value means generation 0: nothing has
// been published yet.
func DecodeHead(value []byte) (objects.Head, error) {
	var head objects.Head
	if len(value) == 0 {
		return head, nil
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return objects.Head{}, errors.Wrap(err, "decode head record")
	}
	if head.Generation == 0 || head.ChunkCount < 1 || head.ChunkCount > MaxChunks {
		return objects.Head{}, errors.Errorf("head record: generation %d with %d chunks is not valid; expected generation 1 or higher and at least 1 chunk, within the limit", head.Generation, head.ChunkCount)
	}
	return head, nil
}

// EncodeHead returns a head as the value of HeadKey.
func EncodeHead(head objects.Head) []byte {
	data, err := json.Marshal(head)
	if err != nil {
		panic(err) // cannot happen: all field types of a head have a JSON encoding
	}
	return data
}

// ReadHead reads the head and returns it with the revision of its record.
func ReadHead(ctx context.Context, store platform.Store) (objects.Head, uint64, error) {
	record, err := store.Get(ctx, HeadKey)
	if err != nil {
		return objects.Head{}, 0, errors.Wrap(err, "read head record")
	}
	head, err := DecodeHead(record.Value)
	return head, record.Revision, err
}

// Load reads the snapshot that a head refers to and verifies its digest.
func Load(ctx context.Context, store platform.Store, head objects.Head) (objects.Set, error) {
	return NewLoader(store).Load(ctx, head)
}

// DecodeSnapshot verifies canonical JSON against its digest and decodes it. It rejects
// unknown fields, because a rollback that publishes the set again would drop them.
func DecodeSnapshot(data []byte, digest string) (objects.Set, error) {
	if got := objects.Digest(data); got != digest {
		return objects.Set{}, errors.Errorf("snapshot %s: stored content has digest %s", digest, got)
	}
	var set objects.Set
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return objects.Set{}, errors.Wrapf(err, "decode snapshot %s, possibly written by another version of this program", digest)
	}
	return set, nil
}
