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
	faultNone     fault = iota
	faultRefuse         // the call fails and does nothing
	faultLost           // a write takes effect, its answer is lost
	faultNeverRan       // a write takes no effect and the caller cannot tell
	faultLate           // a write takes effect some calls later, its answer is lost
	faultStale          // a read returns the value before the last write
	faultKinds
)

// lateWrite is a write that takes effect after some more calls.
type lateWrite struct {
	platform.Record
	calls int
}

// lateCalls lets a late write overtake some of the reads that look for it, and later writes.
const lateCalls = 3

var errFake = errors.New("no answer")

// fakeStore is a platform.Store in memory. next says what goes wrong in each call.
type fakeStore struct {
	platform.Store
	mu       sync.Mutex // a snapshot is read by several goroutines
	records  map[string]platform.Record
	previous map[string]platform.Record
	late     []lateWrite
	heads    [][]byte
	read     int // bytes
	next     func() fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		records:  map[string]platform.Record{},
		previous: map[string]platform.Record{},
		next:     func() fault { return faultNone },
	}
}

// applyLate gives delayed writes their chance; by then their revision may be gone.
func (s *fakeStore) applyLate() {
	var waiting []lateWrite
	for _, w := range s.late {
		if w.calls--; w.calls <= 0 {
			s.write(w.Key, w.Value, w.Revision)
		} else {
			waiting = append(waiting, w)
		}
	}
	s.late = waiting
}

func (s *fakeStore) write(key string, value []byte, expect uint64) (platform.WriteOutcome, platform.Record) {
	current := s.records[key]
	if current.Revision != expect {
		return platform.WriteConflict, current
	}
	s.previous[key] = current
	s.records[key] = platform.Record{Key: key, Value: value, Revision: expect + 1}
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
	f := s.next()
	s.applyLate()
	switch f {
	case faultNone, faultLate:
		s.read += len(s.records[key].Value)
		return s.records[key], nil
	case faultStale:
		return s.previous[key], nil
	}
	return platform.Record{}, errFake
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expect uint64) (platform.WriteOutcome, platform.Record, error) {
	f := s.next()
	s.applyLate()
	switch f {
	case faultRefuse:
		return platform.WriteFailed, platform.Record{}, errFake
	case faultLost:
		s.write(key, value, expect)
		return platform.WriteUnknown, platform.Record{}, errFake
	case faultNeverRan:
		return platform.WriteUnknown, platform.Record{}, errFake
	case faultLate:
		s.late = append(s.late, lateWrite{platform.Record{Key: key, Value: value, Revision: expect}, lateCalls})
		return platform.WriteUnknown, platform.Record{}, errFake
	}
	outcome, record := s.write(key, value, expect)
	return outcome, record, nil
}

func newTestPublisher(store platform.Store) *Publisher {
	return &Publisher{
		Store: store,
		Now:   func() time.Time { return time.Unix(1000, 0) },
		Pause: func(ctx context.Context, _ int) error { return ctx.Err() },
	}
}
