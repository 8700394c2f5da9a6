package publish

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// maxConcurrentReads is the maximum number of chunks that are read concurrently. Read
// sequentially, the chunks of 5,000 targets would take 15 s if the platform takes 100 ms
// per read.
const maxConcurrentReads = 8

// ErrInvalidSnapshot is the cause of an error if the platform responded, but a record of
// the snapshot does not exist or its content does not match its key.
var ErrInvalidSnapshot = errors.New("stored snapshot is incomplete or corrupt")

// Loader reads snapshots. It caches the chunks of the last snapshot, because the next one
// usually shares most of them. A load fails if a concurrent one evicts its chunks.
type Loader struct {
	store platform.Store

	mu     sync.Mutex
	chunks map[string][]byte // cache, by chunk name
}

// NewLoader returns a loader with an empty cache.
func NewLoader(store platform.Store) *Loader {
	return &Loader{store: store, chunks: map[string][]byte{}}
}

// Load reads the snapshot that a head refers to and verifies its digest.
func (l *Loader) Load(ctx context.Context, head objects.Head) (objects.Set, error) {
	data, err := l.FetchCanonical(ctx, head.Digest, head.ChunkCount)
	if err != nil {
		return objects.Set{}, err
	}
	return DecodeSnapshot(data, head.Digest)
}

// FetchCanonical reads the canonical JSON of a snapshot. It does not verify the digest.
func (l *Loader) FetchCanonical(ctx context.Context, digest string, chunkCount int) ([]byte, error) {
	names, err := l.fetchManifest(ctx, digest, chunkCount)
	if err != nil {
		return nil, err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, name := range l.missingChunks(names) {
		group.Go(func() error { return l.fetchChunk(groupCtx, name) })
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrapf(err, "read chunks of snapshot %s", digest)
	}
	return l.assemble(digest, names)
}

// fetchManifest reads the names of the chunks of a snapshot, in order.
func (l *Loader) fetchManifest(ctx context.Context, digest string, chunkCount int) ([]string, error) {
	value, err := l.getValue(ctx, manifestPrefix+digest)
	if err != nil {
		return nil, errors.Wrapf(err, "read manifest of snapshot %s", digest)
	}
	names, err := decodeManifest(value, digest, chunkCount)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	return names, nil
}

// getValue reads the value of a key that must exist.
func (l *Loader) getValue(ctx context.Context, key string) ([]byte, error) {
	record, err := l.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if record.Revision == 0 {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "key %s does not exist", key)
	}
	return record.Value, nil
}

// missingChunks returns the names of the chunks that are not cached.
func (l *Loader) missingChunks(names []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var missing []string
	for _, name := range names {
		if _, cached := l.chunks[name]; !cached {
			missing = append(missing, name)
		}
	}
	return missing
}

// fetchChunk reads a chunk, verifies it against its name and adds it to the cache.
func (l *Loader) fetchChunk(ctx context.Context, name string) error {
	value, err := l.getValue(ctx, chunkPrefix+name)
	if err != nil {
		return err
	}
	if chunkName(value) != name {
		return errors.Wrapf(ErrInvalidSnapshot, "content of %s%s does not match the hash in its key", chunkPrefix, name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chunks[name] = value
	return nil
}

// assemble joins the chunks of a snapshot and evicts all others from the cache.
func (l *Loader) assemble(digest string, names []string) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	retained := make(map[string][]byte, len(names))
	var data []byte
	for _, name := range names {
		chunk, cached := l.chunks[name]
		if !cached {
			return nil, errors.Errorf("snapshot %s: a concurrent load evicted chunk %s", digest, name)
		}
		retained[name] = chunk
		data = append(data, chunk...)
	}
	l.chunks = retained
	return data, nil
}
