package platform

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Outage closes the connection of every call without a response.
	Outage bool `json:"outage,omitempty"`
	// RejectCalls responds to every call with status 503 without executing it.
	RejectCalls bool `json:"refuse,omitempty"`
	// DisconnectedClients contains the user names of clients whose connections are closed
	// without a response.
	DisconnectedClients []string `json:"cut,omitempty"`
	// DelayMS is the delay before each call is handled, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// LostResponses is the number of writes that are executed but whose response is lost. Each
	// such write decrements it.
	LostResponses int `json:"lose_answers,omitempty"`
	// StaleRevisions is the number of revisions by which reads and watches lag behind.
	StaleRevisions int `json:"stale_revisions,omitempty"`
	// VMLagMS is the time by which reads of the VM list lag behind, in milliseconds.
	VMLagMS int `json:"vm_lag_ms,omitempty"`
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

func (f Faults) vmLag() time.Duration { return time.Duration(f.VMLagMS) * time.Millisecond }

// disconnects reports whether the connections of a client are closed without a response.
func (f Faults) disconnects(client string) bool {
	return f.Outage || slices.Contains(f.DisconnectedClients, client)
}

// faultState holds the injected faults for concurrent access.
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

// consumeLostResponse reports whether the response to the current write must be lost, and
// decrements the number of responses to lose.
func (s *faultState) consumeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostResponses == 0 {
		return false
	}
	s.faults.LostResponses--
	return true
}

// Counts holds the numbers of calls since the start. A long poll counts as one call.
type Counts struct {
	Total uint64 `json:"total"`
	// ByKind counts the calls by kind: get, write, watch, vms or lease.
	ByKind map[string]uint64 `json:"by_kind"`
	// ByClient counts the calls by user name of the client.
	ByClient map[string]uint64 `json:"by_client"`
	// Pending is the number of calls in progress, by kind.
	Pending map[string]int `json:"pending"`
}

// callCounter counts calls. Its methods may be called concurrently.
type callCounter struct {
	mu     sync.Mutex
	counts Counts
}

func newCallCounter() *callCounter {
	return &callCounter{counts: Counts{ByKind: map[string]uint64{}, ByClient: map[string]uint64{}, Pending: map[string]int{}}}
}

// begin records the start of a call.
func (c *callCounter) begin(kind, client string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Total++
	c.counts.ByKind[kind]++
	c.counts.ByClient[client]++
	c.counts.Pending[kind]++
}

// end records the end of a call.
func (c *callCounter) end(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Pending[kind]--
}

// snapshot returns a copy of the counts.
func (c *callCounter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.counts
	snapshot.ByKind = maps.Clone(c.counts.ByKind)
	snapshot.ByClient = maps.Clone(c.counts.ByClient)
	snapshot.Pending = maps.Clone(c.counts.Pending)
	return snapshot
}
