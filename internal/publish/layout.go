// Package publish writes configurations to the key-value service, keeps their
// history, and finds out what became of a publish whose answer was lost.
package publish

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// Layout of the key-value service.
const (
	// HeadKey holds the JSON of objects.Head. Writers change it only by compare-and-swap.
	HeadKey = "kumquatworks/head"
	// snapshotPrefix starts the key of each snapshot part. Parts never change.
	snapshotPrefix = "kumquatworks/snapshot/"
	// PartBytes is the size of each part but the last. A value travels as base64
	// in JSON, which takes a third more, and stays below platform.MaxValueBytes.
	PartBytes = platform.MaxValueBytes / 2
	// MaxParts bounds what a head can make a reader fetch: 16 parts are 8 MiB,
	// ten times the canonical JSON of 5,000 targets.
	MaxParts = 16
)

// PartKey returns the key of one part of a snapshot; parts count from 0.
func PartKey(digest string, part int) string {
	return fmt.Sprintf("%s%s/%d", snapshotPrefix, digest, part)
}

// DecodeHead reads the value of HeadKey. An empty value is generation 0: nothing was published yet.
func DecodeHead(value []byte) (objects.Head, error) {
	var head objects.Head
	if len(value) == 0 {
		return head, nil
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return objects.Head{}, errors.Wrap(err, "decode head")
	}
	if head.Generation == 0 || head.Parts < 1 || head.Parts > MaxParts {
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
	data, err := LoadCanonical(ctx, store, head.Digest, head.Parts)
	if err != nil {
		return objects.Set{}, err
	}
	return DecodeSnapshot(data, head.Digest)
}

// LoadCanonical fetches the canonical JSON of a snapshot from its parts, without verifying it.
func LoadCanonical(ctx context.Context, store platform.Store, digest string, parts int) ([]byte, error) {
	var data []byte
	for part := range parts {
		record, err := store.Get(ctx, PartKey(digest, part))
		if err != nil {
			return nil, errors.Wrapf(err, "read snapshot part %d of %d", part+1, parts)
		}
		if record.Revision == 0 {
			return nil, errors.Errorf("snapshot %s: part %d of %d is missing", digest, part+1, parts)
		}
		data = append(data, record.Value...)
	}
	return data, nil
}

// DecodeSnapshot verifies canonical JSON against its digest and decodes it.
func DecodeSnapshot(data []byte, digest string) (objects.Set, error) {
	if got := objects.Digest(data); got != digest {
		return objects.Set{}, errors.Errorf("snapshot %s: content has digest %s", digest, got)
	}
	var set objects.Set
	if err := json.Unmarshal(data, &set); err != nil {
		return objects.Set{}, errors.Wrapf(err, "snapshot %s", digest)
	}
	return set, nil
}
