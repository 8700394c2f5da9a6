package publish

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// fault is what goes wrong in one call of the fake store.
type fault int

const (
	faultNone         fault = iota
	faultRejected           // the call fails and does nothing
	faultResponseLost       // a write takes effect, its answer is lost
	faultRequestLost        // a write takes no effect and the caller cannot tell
	faultDelayed            // a write takes effect some calls later, its answer is lost
	faultStaleRead          // a read returns the value before the last write
	faultCount
)

// lateWrite is a write that takes effect after some more calls.
type delayedWrite struct {
	platform.Record
	remainingCalls int
}

// lateCalls lets a late write overtake some of the reads that look for it, and later writes.
const delayedWriteCalls = 3

var errNoResponse = errors.New("no answer")

// fakeStore is a platform.Store in memory. next says what goes wrong in each call.
type fakeStore struct {
	platform.Store
	mu        sync.Mutex // a snapshot is read by several goroutines
	records   map[string]platform.Record
	previous  map[string]platform.Record
	delayed   []delayedWrite
	heads     [][]byte
	bytesRead int // bytes
	nextFault func() fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		records:   map[string]platform.Record{},
		previous:  map[string]platform.Record{},
		nextFault: func() fault { return faultNone },
	}
}

// applyLate gives delayed writes their chance; by then their revision may be gone.
func (s *fakeStore) applyDelayed() {
	var pending []delayedWrite
	for _, w := range s.delayed {
		if w.remainingCalls--; w.remainingCalls <= 0 {
			s.applyWrite(w.Key, w.Value, w.Revision)
		} else {
			pending = append(pending, w)
		}
	}
	s.delayed = pending
}

func (s *fakeStore) applyWrite(key string, value []byte, expectedRevision uint64) (platform.WriteOutcome, platform.Record) {
	current := s.records[key]
	if current.Revision != expectedRevision {
		return platform.WriteConflict, current
	}
	s.previous[key] = current
	s.records[key] = platform.Record{Key: key, Value: value, Revision: expectedRevision + 1}
	if key == HeadKey {
		s.heads = append(s.heads, value)
	}
	return platform.WriteDone, s.records[key]
}

func (s *fakeStore) Get(ctx context.Context, key string) (platform.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return platform.Record{}, ctx.Err()
	}
	f := s.nextFault()
	s.applyDelayed()
	switch f {
	case faultNone, faultDelayed:
		s.bytesRead += len(s.records[key].Value)
		return s.records[key], nil
	case faultStaleRead:
		return s.previous[key], nil
	}
	return platform.Record{}, errNoResponse
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expectedRevision uint64) (platform.WriteOutcome, platform.Record, error) {
	f := s.nextFault()
	s.applyDelayed()
	switch f {
	case faultRejected:
		return platform.WriteFailed, platform.Record{}, errNoResponse
	case faultResponseLost:
		s.applyWrite(key, value, expectedRevision)
		return platform.WriteUnknown, platform.Record{}, errNoResponse
	case faultRequestLost:
		return platform.WriteUnknown, platform.Record{}, errNoResponse
	case faultDelayed:
		s.delayed = append(s.delayed, delayedWrite{platform.Record{Key: key, Value: value, Revision: expectedRevision}, delayedWriteCalls})
		return platform.WriteUnknown, platform.Record{}, errNoResponse
	}
	outcome, record := s.applyWrite(key, value, expectedRevision)
	return outcome, record, nil
}

func newTestPublisher(store platform.Store) *Publisher {
	return &Publisher{
		Store:   store,
		Now:     func() time.Time { return time.Unix(1000, 0) },
		Backoff: func(ctx context.Context, _ int) error { return ctx.Err() },
	}
}
