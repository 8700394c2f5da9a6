package publish

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// Bounds of the head record and of the attempts of one run.
const (
	// MaxRecent is the number of publishes that the head lists. Each takes up to
	// about 400 bytes, and every reader of the head fetches them all.
	MaxRecentPublications = 32
	// MaxRetired is the number of removed target addresses that the head lists.
	MaxRetiredAddresses = 2000
	// summaryBytes is the length of a summary in the history, without its end "and N more".
	maxSummaryBytes = 160
	// headAttempts is how often one run tries to write the head and to find out.
	maxHeadAttempts = 5
	// partAttempts is how often one run tries to write a part of the snapshot.
	maxRecordAttempts = 3
	// settleTimeout is how long an interrupted run tries to find out.
	readBackTimeout = 2 * time.Second
	// firstPause is the pause before the second attempt; later pauses double.
	initialBackoff = 100 * time.Millisecond
)

// Publisher publishes configurations to the key-value service.
type Publisher struct {
	Store platform.Store
	// Now is the clock of the history.
	Now func() time.Time
	// Pause waits before the next attempt; an error ends the attempts.
	Backoff func(ctx context.Context, attempt int) error

	loader *Loader
}

// New returns a publisher on the wall clock.
func New(store platform.Store) *Publisher {
	return &Publisher{Store: store, Now: time.Now, Backoff: waitBackoff}
}

// pause waits 100 ms, 200 ms and so on, with jitter so that two writers do not keep in step.
func waitBackoff(ctx context.Context, attempt int) error {
	delay := initialBackoff << attempt
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Commit writes the snapshot and then the head. It returns accepted only after
// evidence that the head named this publish, and conflict or failed only when
// this publish can no longer take effect.
func (p *Publisher) Commit(ctx context.Context, plan Plan) Result {
	if plan.FinalResult != nil {
		return *plan.FinalResult
	}
	if err := p.writeSnapshot(ctx, plan); err != nil {
		return *failedResult("the snapshot could not be written, the head was not touched: %v", err)
	}
	next := plan.nextHead(p.Now())
	possiblyWritten := false
	var lastErr error
	for attempt := range maxHeadAttempts {
		outcome, record, err := p.Store.CompareAndSwap(ctx, HeadKey, EncodeHead(next), plan.headRevision)
		switch outcome {
		case platform.WriteDone:
			return *acceptedResult(next.Recent[0], next, false)
		case platform.WriteFailed:
			if !possiblyWritten {
				return *failedResult("the head was not written: %v", err)
			}
		case platform.WriteConflict:
			// The answer may be to a repeat of this very write.
			possiblyWritten = true
			if result := p.resolveFromRecord(ctx, plan, record); result != nil {
				return *result
			}
		case platform.WriteUnknown:
			possiblyWritten = true
		}
		lastErr = err
		if result := p.readBackResult(ctx, plan); result != nil {
			return *result
		}
		if err := p.Backoff(ctx, attempt); err != nil {
			return p.resolveAfterInterrupt(ctx, plan, err)
		}
	}
	if lastErr == nil {
		lastErr = errors.New("the head read back does not show the write")
	}
	return *unknownResult("the platform did not say whether the head was written: %v", lastErr)
}

// find reads the head back and judges it; nil means that nothing is certain yet.
func (p *Publisher) readBackResult(ctx context.Context, plan Plan) *Result {
	record, err := p.Store.Get(ctx, HeadKey)
	if err != nil {
		return nil
	}
	return p.resolveFromRecord(ctx, plan, record)
}

func (p *Publisher) resolveFromRecord(ctx context.Context, plan Plan, record platform.Record) *Result {
	head, err := DecodeHead(record.Value)
	if err != nil {
		return nil
	}
	return p.resolveFromHead(ctx, plan, head)
}

// afterInterrupt reads the head once more, because the operator needs to know what is already true.
func (p *Publisher) resolveAfterInterrupt(ctx context.Context, plan Plan, cause error) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	if result := p.readBackResult(ctx, plan); result != nil {
		return *result
	}
	return *unknownResult("interrupted while the head was being written: %v", cause)
}

// writeSnapshot writes the chunks that the snapshot in force does not have, and
// then the manifest. Chunks are named by their content, so one that exists is the same.
func (p *Publisher) writeSnapshot(ctx context.Context, plan Plan) error {
	stored, err := p.storedChunkKeys(ctx, plan)
	if err != nil {
		return err
	}
	records, _ := SnapshotRecords(plan.canonical, plan.digest)
	manifestKey := manifestPrefix + plan.digest
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if key == manifestKey || stored[key] {
			continue
		}
		if err := p.writeRecord(ctx, key, records[key]); err != nil {
			return err
		}
	}
	if err := p.writeRecord(ctx, manifestKey, records[manifestKey]); err != nil {
		return err
	}
	return errors.WithStack(ctx.Err())
}

// storedChunks returns the keys of the chunks of the head that the plan
// replaces. They were written before that head.
func (p *Publisher) storedChunkKeys(ctx context.Context, plan Plan) (map[string]bool, error) {
	stored := map[string]bool{}
	if plan.head.Generation == 0 {
		return stored, nil
	}
	names, err := NewLoader(p.Store).fetchManifest(ctx, plan.head.Digest, plan.head.Parts)
	for _, name := range names {
		stored[chunkPrefix+name] = true
	}
	return stored, err
}

func (p *Publisher) writeRecord(ctx context.Context, key string, value []byte) error {
	var lastErr error
	for attempt := range maxRecordAttempts {
		outcome, record, err := p.Store.CompareAndSwap(ctx, key, value, 0)
		switch {
		case outcome == platform.WriteDone:
			return nil
		case outcome == platform.WriteConflict && bytes.Equal(record.Value, value):
			return nil
		case outcome == platform.WriteConflict:
			return errors.Errorf("%s holds other content", key)
		}
		lastErr = err
		if err := p.Backoff(ctx, attempt); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.Wrapf(lastErr, "write %s", key)
}

// nextHead returns the head that the plan writes.
func (plan Plan) nextHead(now time.Time) objects.Head {
	publication := objects.Publication{
		Generation:  plan.NextGeneration,
		Digest:      plan.digest,
		Parts:       plan.chunkCount,
		PublishID:   plan.ID,
		Operator:    plan.request.Operator,
		Summary:     plan.summary(),
		UnixSeconds: now.Unix(),
	}
	recent := append([]objects.Publication{publication}, plan.head.Recent...)
	return objects.Head{
		Generation: publication.Generation,
		Digest:     publication.Digest,
		Parts:      publication.Parts,
		Recent:     recent[:min(len(recent), MaxRecentPublications)],
		Retired:    plan.retired,
	}
}
