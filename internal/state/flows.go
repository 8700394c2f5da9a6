package state

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// flowShards is the number of maps of a flow table. Expiry visits one map at a
// time, so that a step costs the same at any table size.
const flowShards = 256

// Stamp is a point in time in milliseconds, modulo 2^32 (49 days).
type Stamp uint32

// NewStamp converts a time.
func NewStamp(t time.Time) Stamp { return Stamp(t.UnixMilli()) }

// Since returns the time from earlier to s. A stamp in the future counts as now.
func (s Stamp) Since(earlier Stamp) time.Duration {
	return time.Duration(max(int32(s-earlier), 0)) * time.Millisecond
}

// Flags are properties of a flow table entry.
type Flags uint8

// Flags of an entry.
const (
	// FlagAnswered marks that the target answered the opener.
	FlagAnswered Flags = 1 << iota
	// FlagCounted marks an entry that its owner counts for the target.
	FlagCounted
	// FlagGuess marks a target that was taken from the table for an unknown flow.
	FlagGuess
	// FlagClosed marks a flow that ended; the entry stays to recognise late duplicates.
	FlagClosed
	// FlagReturned marks that the target sent payload.
	FlagReturned
	// FlagSecondGuess marks a guess that was taken from the previous table.
	FlagSecondGuess
	// FlagRefused marks an opener that was refused; no target is bound.
	FlagRefused
	// FlagSynced marks a flow that passed through the present owner.
	FlagSynced
)

// Entry is what a flow table holds about one flow. It has no pointers, so
// that the garbage collector does not scan the table.
type Entry struct {
	Target    protocol.Endpoint
	Strength  Strength
	Flags     Flags
	OpenerTag uint32
	AnswerTag uint32
	Created   Stamp
	Seen      Stamp
}

// Has reports whether all flags f are set.
func (e *Entry) Has(f Flags) bool { return e.Flags&f == f }

// FlowTable maps flows to entries. It is not safe for concurrent use.
type FlowTable struct {
	shards   [flowShards]map[protocol.FlowKey]Entry
	size     int
	capacity int
	cursor   int
}

// NewFlowTable makes a table with at most capacity entries.
func NewFlowTable(capacity int) *FlowTable {
	t := &FlowTable{capacity: capacity}
	for i := range t.shards {
		t.shards[i] = make(map[protocol.FlowKey]Entry)
	}
	return t
}

func shardOf(k *protocol.FlowKey) int {
	ip := binary.BigEndian.Uint32(k.Caller.IP[:])
	h := uint64(ip)<<16 | uint64(k.Caller.Port)
	h = (h ^ uint64(k.Service.Port)<<48) * 0x9e3779b97f4a7c15
	return int(bits.RotateLeft64(h, 8) & (flowShards - 1))
}

// Get returns the entry of a flow.
func (t *FlowTable) Get(k protocol.FlowKey) (Entry, bool) {
	e, ok := t.shards[shardOf(&k)][k]
	return e, ok
}

// Put stores an entry. It returns false when the table is full.
func (t *FlowTable) Put(k protocol.FlowKey, e Entry) bool {
	m := t.shards[shardOf(&k)]
	before := len(m)
	if t.size >= t.capacity {
		if _, known := m[k]; !known {
			return false
		}
	}
	m[k] = e
	t.size += len(m) - before
	return true
}

// Delete removes the entry of a flow.
func (t *FlowTable) Delete(k protocol.FlowKey) {
	m := t.shards[shardOf(&k)]
	before := len(m)
	delete(m, k)
	t.size += len(m) - before
}

// Len returns the number of entries.
func (t *FlowTable) Len() int { return t.size }

// Step visits the entries of the next maps, at most n of them, and removes those for which remove is true.
func (t *FlowTable) Step(n int, remove func(protocol.FlowKey, *Entry) bool) {
	for range min(n, flowShards) {
		m := t.shards[t.cursor]
		t.cursor = (t.cursor + 1) % flowShards
		for k, e := range m {
			if remove(k, &e) {
				delete(m, k)
				t.size--
			}
		}
	}
}

// Each visits all entries in no particular order.
func (t *FlowTable) Each(f func(protocol.FlowKey, *Entry)) {
	for _, m := range t.shards {
		for k, e := range m {
			f(k, &e)
		}
	}
}
