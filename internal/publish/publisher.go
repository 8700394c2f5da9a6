package publish

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// Limits of the head record and of the retries of one run.
const (
	// MaxRecentPublications is the maximum number of publications that the head lists.
	// Each takes up to about 400 bytes, and every reader of the head reads all of them.
	MaxRecentPublications = 32
	// MaxRetiredAddresses is the maximum number of removed target addresses that the head
	// lists.
	MaxRetiredAddresses = 2000
	// maxSummaryBytes is the maximum length of a summary in the history, not including the
	// ending "and N more".
	maxSummaryBytes = 160
	// maxHeadAttempts is the maximum number of attempts to write the head and determine the
	// outcome.
	maxHeadAttempts = 5
	// maxRecordAttempts is the maximum number of attempts to write a chunk or manifest.
	maxRecordAttempts = 3
	// readBackTimeout limits the time that an interrupted run takes to determine the outcome.
	readBackTimeout = 2 * time.Second
	// initialBackoff is the mean delay before the second attempt. The delay doubles with
	// each attempt.
	initialBackoff = 100 * time.Millisecond
)

// Publisher publishes configurations to the key-value service.
type Publisher struct {
	Store platform.Store
	// Now returns the time that is recorded in the history.
	Now func() time.Time
	// Backoff waits before the next attempt. If it returns an error, there are no further
	// attempts.
	Backoff func(ctx context.Context, attempt int) error

	loader *Loader
}

// New returns a publisher that uses the system clock.
func New(store platform.Store) *Publisher {
	return &Publisher{Store: store, Now: time.Now, Backoff: waitBackoff}
}

// waitBackoff waits 100 ms, 200 ms and so on, with jitter so that concurrent writers do not
// retry at the same time.
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

// Commit writes the snapshot and then the head. It returns OutcomeAccepted only if the
// platform confirmed that the head contained this publish, and OutcomeConflict or
// OutcomeFailed only if this publish can no longer take effect.
func (p *Publisher) Commit(ctx context.Context, plan Plan) Result {
	if plan.FinalResult != nil {
		return *plan.FinalResult
	}
	if err := p.writeSnapshot(ctx, plan); err != nil {
		return *failedResult("the snapshot could not be written and the head was not changed: %v", err)
	}
	if result := p.checkBase(ctx, plan); result != nil {
		return *result
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
			// The conflict may be with this same write, if an earlier transmission of it was executed.
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
		lastErr = errors.New("the head that was read back does not contain this publish")
	}
	return *unknownResult("the platform did not confirm whether the head was written: %v", lastErr)
}

// checkBase returns a conflict if the head is not the one on which the plan is based although it has its
// revision: the platform returned from an older copy and gave out the revision again, so the write of the
// head would succeed and revert the publishes since then. It returns nil otherwise.
func (p *Publisher) checkBase(ctx context.Context, plan Plan) *Result {
	record, err := p.Store.Get(ctx, HeadKey)
	if err != nil || record.Revision != plan.headRevision {
		return nil // the write of the head decides
	}
	head, err := DecodeHead(record.Value)
	if err != nil || head.Generation == plan.head.Generation && head.Digest == plan.head.Digest {
		return nil
	}
	if result := p.resolveFromHead(ctx, plan, head); result != nil {
		return result
	}
	return &Result{
		Outcome:    OutcomeConflict,
		Generation: head.Generation,
		Reasons:    []string{fmt.Sprintf("the platform returned from an older copy and has another generation %d now; this configuration was not accepted", head.Generation)},
	}
}

// readBackResult reads the head and determines the result from it. It returns nil if the
// result is still uncertain.
func (p *Publisher) readBackResult(ctx context.Context, plan Plan) *Result {
	record, err := p.Store.Get(ctx, HeadKey)
	if err != nil {
		return nil
	}
	return p.resolveFromRecord(ctx, plan, record)
}

// resolveFromRecord decodes a head record and determines the result of a plan from it. It
// returns nil if resolveFromHead does or if the record is not valid.
func (p *Publisher) resolveFromRecord(ctx context.Context, plan Plan, record platform.Record) *Result {
	head, err := DecodeHead(record.Value)
	if err != nil {
		return nil
	}
	return p.resolveFromHead(ctx, plan, head)
}

// resolveAfterInterrupt reads the head once more, because the operator needs to know whether
// the publish already took effect.
func (p *Publisher) resolveAfterInterrupt(ctx context.Context, plan Plan, cause error) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	if result := p.readBackResult(ctx, plan); result != nil {
		return *result
	}
	return *unknownResult("interrupted while the head was being written: %v", cause)
}

// writeSnapshot writes the chunks that the current snapshot does not contain and then the
// manifest. Chunks are content-addressed, so an existing chunk has the same content.
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

// storedChunkKeys returns the keys of the chunks of the head that the plan replaces. They
// are already stored, because a snapshot is written before its head.
func (p *Publisher) storedChunkKeys(ctx context.Context, plan Plan) (map[string]bool, error) {
	stored := map[string]bool{}
	if plan.head.Generation == 0 {
		return stored, nil
	}
	names, err := NewLoader(p.Store).fetchManifest(ctx, plan.head.Digest, plan.head.ChunkCount)
	for _, name := range names {
		stored[chunkPrefix+name] = true
	}
	return stored, err
}

// writeRecord creates a chunk or manifest record. A record that already has this value is
// not an error.
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
			return errors.Errorf("%s already exists with different content", key)
		}
		lastErr = err
		if err := p.Backoff(ctx, attempt); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.Wrapf(lastErr, "write %s", key)
}

// nextHead returns the head record that publishes the plan.
func (plan Plan) nextHead(now time.Time) objects.Head {
	publication := objects.Publication{
		Generation:  plan.NextGeneration,
		Digest:      plan.digest,
		ChunkCount:  plan.chunkCount,
		PublishID:   plan.ID,
		Operator:    plan.request.Operator,
		Summary:     plan.summary(),
		UnixSeconds: now.Unix(),
	}
	recent := append([]objects.Publication{publication}, plan.head.Recent...)
	return objects.Head{
		Generation: publication.Generation,
		Digest:     publication.Digest,
		ChunkCount: publication.ChunkCount,
		Recent:     recent[:min(len(recent), MaxRecentPublications)],
		Retired:    plan.retired,
	}
}
