package publish

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// readsAtOnce bounds the chunks that are read at the same time. One after the
// other, the chunks of 5,000 targets would take 15 s from a platform that needs 100 ms.
const maxConcurrentReads = 8

// ErrContent is the cause of an error when the platform answered and what it
// holds is missing or does not match its name.
var ErrInvalidSnapshot = errors.New("stored snapshot is not usable")

// Loader reads snapshots and keeps the chunks of the last one, because the next
// shares most of them.
type Loader struct {
	store platform.Store

	mu     sync.Mutex
	chunks map[string][]byte
}

// NewLoader returns a loader without chunks.
func NewLoader(store platform.Store) *Loader {
	return &Loader{store: store, chunks: map[string][]byte{}}
}

// Load fetches the snapshot that a head names and verifies its digest.
func (l *Loader) Load(ctx context.Context, head objects.Head) (objects.Set, error) {
	data, err := l.FetchCanonical(ctx, head.Digest, head.Parts)
	if err != nil {
		return objects.Set{}, err
	}
	return DecodeSnapshot(data, head.Digest)
}

// Canonical fetches the canonical JSON of a snapshot, without verifying its digest.
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
		return nil, errors.Wrapf(err, "snapshot %s", digest)
	}
	return l.assemble(digest, names)
}

func (l *Loader) fetchManifest(ctx context.Context, digest string, chunkCount int) ([]string, error) {
	value, err := l.getValue(ctx, manifestPrefix+digest)
	if err != nil {
		return nil, errors.Wrapf(err, "snapshot %s", digest)
	}
	names, err := decodeManifest(value, digest, chunkCount)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	return names, nil
}

func (l *Loader) getValue(ctx context.Context, key string) ([]byte, error) {
	record, err := l.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if record.Revision == 0 {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "%s is missing", key)
	}
	return record.Value, nil
}

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

func (l *Loader) fetchChunk(ctx context.Context, name string) error {
	value, err := l.getValue(ctx, chunkPrefix+name)
	if err != nil {
		return err
	}
	if chunkName(value) != name {
		return errors.Wrapf(ErrInvalidSnapshot, "%s%s holds other content", chunkPrefix, name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chunks[name] = value
	return nil
}

// assemble joins the chunks and forgets all others.
func (l *Loader) assemble(digest string, names []string) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	retained := make(map[string][]byte, len(names))
	var data []byte
	for _, name := range names {
		chunk, cached := l.chunks[name]
		if !cached {
			return nil, errors.Errorf("snapshot %s: another load dropped part %s", digest, name)
		}
		retained[name] = chunk
		data = append(data, chunk...)
	}
	l.chunks = retained
	return data, nil
}
