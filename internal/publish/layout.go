// Package publish writes configurations to the key-value service, keeps their
// history, and finds out what became of a publish whose answer was lost.
package publish

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// HeadKey holds the JSON of objects.Head. Writers change it only by compare-and-swap.
const HeadKey = "kumquatworks/head"

// DecodeHead reads the value of HeadKey. An empty value is generation 0: nothing was published yet.
func DecodeHead(value []byte) (objects.Head, error) {
	var head objects.Head
	if len(value) == 0 {
		return head, nil
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return objects.Head{}, errors.Wrap(err, "decode head")
	}
	if head.Generation == 0 || head.Parts < 1 || head.Parts > MaxChunks {
		return objects.Head{}, errors.Errorf("head: generation %d with %d parts is not valid", head.Generation, head.Parts)
	}
	return head, nil
}

// EncodeHead returns the value of HeadKey.
func EncodeHead(head objects.Head) []byte {
	data, err := json.Marshal(head)
	if err != nil {
		panic(err) // the types of a head always have a JSON form
	}
	return data
}

// ReadHead returns the head and the revision of its record.
func ReadHead(ctx context.Context, store platform.Store) (objects.Head, uint64, error) {
	record, err := store.Get(ctx, HeadKey)
	if err != nil {
		return objects.Head{}, 0, errors.Wrap(err, "read head")
	}
	head, err := DecodeHead(record.Value)
	return head, record.Revision, err
}

// Load fetches the snapshot that a head names and verifies its digest.
func Load(ctx context.Context, store platform.Store, head objects.Head) (objects.Set, error) {
	return NewLoader(store).Load(ctx, head)
}

// DecodeSnapshot verifies canonical JSON against its digest and decodes it. It
// refuses unknown fields, because publishing the set again would drop them.
func DecodeSnapshot(data []byte, digest string) (objects.Set, error) {
	if got := objects.Digest(data); got != digest {
		return objects.Set{}, errors.Errorf("snapshot %s: content has digest %s", digest, got)
	}
	var set objects.Set
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return objects.Set{}, errors.Wrapf(err, "snapshot %s, perhaps of another version of this program", digest)
	}
	return set, nil
}
