package platform

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Switches are the failures that a test can turn on. The zero value is a healthy platform.
type Switches struct {
	// Outage closes every connection without an answer.
	Outage bool `json:"outage,omitempty"`
	// Refuse answers every call with 503 and does nothing.
	Refuse bool `json:"refuse,omitempty"`
	// Cut lists the clients, by user name, that get no answer.
	Cut []string `json:"cut,omitempty"`
	// DelayMS delays each call, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of writes that take effect and whose answer is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// StaleRevisions makes reads and watches return values that many revisions old.
	StaleRevisions int `json:"stale_revisions,omitempty"`
	// VMLagMS makes the VM list lag, in milliseconds.
	VMLagMS int `json:"vm_lag_ms,omitempty"`
}

func (s Switches) delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

func (s Switches) vmLag() time.Duration { return time.Duration(s.VMLagMS) * time.Millisecond }

func (s Switches) cuts(client string) bool {
	return s.Outage || slices.Contains(s.Cut, client)
}

// switchboard holds the switches in force.
type switchboard struct {
	mu       sync.Mutex
	switches Switches
}

func (b *switchboard) get() Switches {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.switches
}

func (b *switchboard) set(s Switches) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.switches = s
}

// takeLostAnswer reports whether the answer of this write is to be lost.
func (b *switchboard) takeLostAnswer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.switches.LoseAnswers == 0 {
		return false
	}
	b.switches.LoseAnswers--
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

type counter struct {
	mu     sync.Mutex
	counts Counts
}

func newCounter() *counter {
	return &counter{counts: Counts{ByKind: map[string]uint64{}, ByClient: map[string]uint64{}, Pending: map[string]int{}}}
}

func (c *counter) begin(kind, client string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Total++
	c.counts.ByKind[kind]++
	c.counts.ByClient[client]++
	c.counts.Pending[kind]++
}

func (c *counter) end(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Pending[kind]--
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.ByKind = maps.Clone(c.counts.ByKind)
	out.ByClient = maps.Clone(c.counts.ByClient)
	out.Pending = maps.Clone(c.counts.Pending)
	return out
}
