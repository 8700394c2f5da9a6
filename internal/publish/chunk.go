package publish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A snapshot is stored as content-addressed chunks and a manifest. The key of a chunk
// contains the hash of its content. The manifest lists the chunks; its key contains the
// digest of the whole snapshot. Snapshots that differ in a few objects share all other
// chunks, so a publish writes only the changed chunks and a reader fetches only those.
// Without chunks, each reader would fetch 8 KB/s at 5,000 targets and 1,400 changes a day.
const (
	manifestPrefix = "kumquatworks/snapshot/"
	chunkPrefix    = "kumquatworks/chunk/"

	// meanChunkObjects is the mean number of objects per chunk. With 16 objects and 5,000
	// targets, a reader fetches 9.7 KB for one changed target; 6.5 KB of that is the
	// manifest.
	meanChunkObjects = 16
	// minChunkBytes is the minimum size of a chunk except the last. It limits the number
	// of chunks to MaxChunks.
	minChunkBytes = 1 << 10
	// maxChunkBytes is the size from which a chunk ends after the current object. Values
	// are transferred as base64 in JSON, which is a third larger.
	maxChunkBytes = 256 << 10
	// chunkNameBytes is the length of the truncated SHA-256 hash in a chunk name. Truncation
	// is safe because readers also verify the digest of the whole snapshot.
	chunkNameBytes = 16

	// MaxChunks is the maximum number of chunks of a snapshot.
	MaxChunks = MaxSnapshotBytes / minChunkBytes
	// MaxSnapshotBytes is the maximum size of the canonical JSON of a snapshot.
	MaxSnapshotBytes = 8 << 20
)

// SnapshotRecords returns the records in which a snapshot is stored, as a map from key to
// value, and the number of its chunks.
func SnapshotRecords(canonical []byte, digest string) (map[string][]byte, int) {
	records := map[string][]byte{}
	names := []string{}
	for _, chunk := range splitChunks(canonical) {
		name := chunkName(chunk)
		names = append(names, name)
		records[chunkPrefix+name] = chunk
	}
	records[manifestPrefix+digest] = encodeManifest(names)
	return records, len(names)
}

func chunkName(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:chunkNameBytes])
}

func encodeManifest(names []string) []byte {
	data, err := json.Marshal(names)
	if err != nil {
		panic(err) // cannot happen: a list of strings always has a JSON encoding
	}
	return data
}

func decodeManifest(value []byte, digest string, chunkCount int) ([]string, error) {
	var names []string
	if err := json.Unmarshal(value, &names); err != nil {
		return nil, errors.Wrapf(err, "decode manifest of snapshot %s", digest)
	}
	if len(names) != chunkCount {
		return nil, errors.Errorf("snapshot %s: manifest lists %d chunks, the head expects %d", digest, len(names), chunkCount)
	}
	return names, nil
}

// splitChunks splits canonical JSON into content-defined chunks. The name of an object
// determines whether a chunk ends after it, so that a change of one object does not move
// the boundaries of other chunks.
func splitChunks(data []byte) [][]byte {
	var chunks [][]byte
	start, objectStart, depth := 0, 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '{':
			depth++
			objectStart = i
		case '}':
			depth--
			size := i + 1 - start
			if depth == 1 && size >= minChunkBytes && (size >= maxChunkBytes || isChunkBoundary(data[objectStart:i])) {
				chunks = append(chunks, data[start:i+1])
				start = i + 1
			}
		}
	}
	return append(chunks, data[start:])
}

// endOfString returns the index of the closing quote of the JSON string whose opening quote
// is at start.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// isChunkBoundary reports whether a chunk ends after an object. It hashes only the first
// member of the object, which is the name.
func isChunkBoundary(object []byte) bool {
	for i, b := range object {
		if b == ',' {
			object = object[:i]
			break
		}
	}
	return xxhash.Sum64(object)%meanChunkObjects == 0
}
