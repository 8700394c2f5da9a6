package publish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A snapshot is stored as chunks, which are named by their content, and a
// manifest, which lists the chunks and is named by the digest of the whole.
// Snapshots that differ in a few objects share all other chunks, so a publish
// writes and a reader fetches only what changed. With whole snapshots at 5,000
// targets and 1,400 changes a day, each reader would fetch 8 KB/s.
const (
	manifestPrefix = "kumquatworks/snapshot/"
	chunkPrefix    = "kumquatworks/chunk/"

	// chunkObjects is the mean number of objects between two cuts. At 5,000
	// targets a reader fetches 9.7 KB for one changed target, 6.5 KB of them the manifest.
	meanChunkObjects = 16
	// minChunkBytes bounds the number of chunks to MaxParts.
	minChunkBytes = 1 << 10
	// maxChunkBytes ends a chunk at the next object. A value travels as base64
	// in JSON, which takes a third more.
	maxChunkBytes = 256 << 10
	// chunkNameBytes is the length of a chunk name; the digest of the whole guards the content.
	chunkNameBytes = 16

	// MaxParts is the largest number of chunks of a snapshot.
	MaxChunks = MaxSnapshotBytes / minChunkBytes
	// MaxSnapshotBytes is the largest canonical JSON of a snapshot.
	MaxSnapshotBytes = 8 << 20
)

// Records returns the values of a snapshot by key, and the number of its parts.
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
		panic(err) // strings always have a JSON form
	}
	return data
}

func decodeManifest(value []byte, digest string, chunkCount int) ([]string, error) {
	var names []string
	if err := json.Unmarshal(value, &names); err != nil {
		return nil, errors.Wrapf(err, "snapshot %s", digest)
	}
	if len(names) != chunkCount {
		return nil, errors.Errorf("snapshot %s: lists %d parts, the head says %d", digest, len(names), chunkCount)
	}
	return names, nil
}

// split cuts canonical JSON behind objects that their name selects, so that a
// change of one object moves no cut elsewhere.
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

// endOfString returns the index of the quote that ends the string at start.
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

// endsChunk reports whether a chunk ends behind an object. It looks at the
// first member, which is the name.
func isChunkBoundary(object []byte) bool {
	for i, b := range object {
		if b == ',' {
			object = object[:i]
			break
		}
	}
	return xxhash.Sum64(object)%meanChunkObjects == 0
}
