package platform

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Switches are the failures that a test can turn on. The zero value is a healthy platform.
type Faults struct {
	// Outage closes every connection without an answer.
	Outage bool `json:"outage,omitempty"`
	// Refuse answers every call with 503 and does nothing.
	RejectCalls bool `json:"refuse,omitempty"`
	// Cut lists the clients, by user name, that get no answer.
	DisconnectedClients []string `json:"cut,omitempty"`
	// DelayMS delays each call, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of writes that take effect and whose answer is lost.
	LostResponses int `json:"lose_answers,omitempty"`
	// StaleRevisions makes reads and watches return values that many revisions old.
	StaleRevisions int `json:"stale_revisions,omitempty"`
	// VMLagMS makes the VM list lag, in milliseconds.
	VMLagMS int `json:"vm_lag_ms,omitempty"`
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

func (f Faults) vmLag() time.Duration { return time.Duration(f.VMLagMS) * time.Millisecond }

func (f Faults) disconnects(client string) bool {
	return f.Outage || slices.Contains(f.DisconnectedClients, client)
}

// switchboard holds the switches in force.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// takeLostAnswer reports whether the answer of this write is to be lost.
func (s *faultState) consumeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostResponses == 0 {
		return false
	}
	s.faults.LostResponses--
	return true
}

// Counts are the calls so far. A watch that waits counts as one call.
type Counts struct {
	Total    uint64            `json:"total"`
	ByKind   map[string]uint64 `json:"by_kind"`
	ByClient map[string]uint64 `json:"by_client"`
	// Pending are the calls without an answer yet, by kind.
	Pending map[string]int `json:"pending"`
}

type callCounter struct {
	mu     sync.Mutex
	counts Counts
}

func newCallCounter() *callCounter {
	return &callCounter{counts: Counts{ByKind: map[string]uint64{}, ByClient: map[string]uint64{}, Pending: map[string]int{}}}
}

func (c *callCounter) begin(kind, client string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Total++
	c.counts.ByKind[kind]++
	c.counts.ByClient[client]++
	c.counts.Pending[kind]++
}

func (c *callCounter) end(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Pending[kind]--
}

func (c *callCounter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.counts
	snapshot.ByKind = maps.Clone(c.counts.ByKind)
	snapshot.ByClient = maps.Clone(c.counts.ByClient)
	snapshot.Pending = maps.Clone(c.counts.Pending)
	return snapshot
}
