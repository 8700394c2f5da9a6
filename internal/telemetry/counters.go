package telemetry

import (
	"expvar"
	"maps"
	"sync"
	"sync/atomic"
)

// CounterSet is a set of counters, each identified by a group and a name, such as
// action and reason. Adding to an existing counter takes no lock and does not
// allocate.
type CounterSet struct {
	mu       sync.Mutex
	counters atomic.Pointer[map[counterKey]*expvar.Int]
	exported expvar.Map
}

type counterKey struct {
	group string
	name  string
}

// NewCounterSet returns an empty set.
func NewCounterSet() *CounterSet {
	s := &CounterSet{}
	s.counters.Store(&map[counterKey]*expvar.Int{})
	return s
}

// Add adds n to a counter and creates it if needed.
func (s *CounterSet) Add(group, name string, n int64) {
	s.Counter(group, name).Add(n)
}

// Counter returns a counter and creates it if needed.
func (s *CounterSet) Counter(group, name string) *expvar.Int {
	k := counterKey{group, name}
	if c := (*s.counters.Load())[k]; c != nil {
		return c
	}
	return s.addCounter(k)
}

// Value returns the value of a counter, or 0 when it does not exist.
func (s *CounterSet) Value(group, name string) int64 {
	c := (*s.counters.Load())[counterKey{group, name}]
	if c == nil {
		return 0
	}
	return c.Value()
}

// String returns the counters as a JSON object with one object per group, for expvar.
func (s *CounterSet) String() string { return s.exported.String() }

// Each calls f for each counter.
func (s *CounterSet) Each(f func(group, name string, value int64)) {
	for k, c := range *s.counters.Load() {
		f(k.group, k.name, c.Value())
	}
}

// addCounter replaces the map by a copy with one more counter (copy-on-write), so
// that readers need no lock.
func (s *CounterSet) addCounter(k counterKey) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.counters.Load()
	if c := current[k]; c != nil {
		return c
	}
	c := new(expvar.Int)
	next := maps.Clone(current)
	next[k] = c
	s.counters.Store(&next)
	group, ok := s.exported.Get(k.group).(*expvar.Map)
	if !ok {
		group = new(expvar.Map)
		s.exported.Set(k.group, group)
	}
	group.Set(k.name, c)
	return c
}
