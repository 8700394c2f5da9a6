package telemetry

import (
	"expvar"
	"maps"
	"sync"
	"sync/atomic"
)

// CounterSet is a group of counters by two names, such as action and reason.
// Adding to a known counter takes no lock and allocates nothing.
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

// Add adds n to the counter of a group and a name.
func (s *CounterSet) Add(group, name string, n int64) {
	s.Counter(group, name).Add(n)
}

// Counter returns the counter of a group and a name.
func (s *CounterSet) Counter(group, name string) *expvar.Int {
	k := counterKey{group, name}
	if c := (*s.counters.Load())[k]; c != nil {
		return c
	}
	return s.addCounter(k)
}

// Value returns the counter of a group and a name.
func (s *CounterSet) Value(group, name string) int64 {
	c := (*s.counters.Load())[counterKey{group, name}]
	if c == nil {
		return 0
	}
	return c.Value()
}

// String returns the counters as a JSON object of objects, for expvar.
func (s *CounterSet) String() string { return s.exported.String() }

// Each calls f for each counter.
func (s *CounterSet) Each(f func(group, name string, value int64)) {
	for k, c := range *s.counters.Load() {
		f(k.group, k.name, c.Value())
	}
}

// create replaces the map by a copy with one more counter, so that readers need no lock.
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
