package publish

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// fault is the failure of one call of the fake store.
type fault int

const (
	faultNone         fault = iota
	faultRejected           // the call fails and has no effect
	faultResponseLost       // a write takes effect, but its response is lost
	faultRequestLost        // a write has no effect, and the caller does not know whether it had
	faultDelayed            // a write takes effect some calls later, and its response is lost
	faultStaleRead          // a read returns the value before the last write of the key
	faultCount
)

// delayedWrite is a write that takes effect after remainingCalls further calls.
type delayedWrite struct {
	platform.Record
	remainingCalls int
}

// delayedWriteCalls is the delay of a delayed write in calls. It is long enough that later
// writes, and reads that check whether the write took effect, can be executed before it.
const delayedWriteCalls = 3

var errNoResponse = errors.New("no response")

// fakeStore is an in-memory platform.Store. nextFault returns the fault of each call.
type fakeStore struct {
	platform.Store
	mu        sync.Mutex // several goroutines read a snapshot concurrently
	records   map[string]platform.Record
	previous  map[string]platform.Record
	delayed   []delayedWrite
	heads     [][]byte
	bytesRead int
	nextFault func() fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		records:   map[string]platform.Record{},
		previous:  map[string]platform.Record{},
		nextFault: func() fault { return faultNone },
	}
}

// applyDelayed executes the delayed writes that are due. The expected revision may no longer
// match by then.
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
