package state

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// flowMaps is the number of maps of a flow table. Expiry visits one map at a
// time, so that a step costs the same at any table size.
const flowMapCount = 256

// Stamp is a point in time in milliseconds, modulo 2^32 (49 days).
type Timestamp uint32

// NewStamp converts a time.
func NewTimestamp(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Since returns the time from earlier to s. A stamp in the future counts as now.
func (s Timestamp) Since(earlier Timestamp) time.Duration {
	return time.Duration(max(int32(s-earlier), 0)) * time.Millisecond
}

// Add returns the stamp d later.
func (s Timestamp) Add(d time.Duration) Timestamp { return s + Timestamp(d.Milliseconds()) }

// Flags are properties of a flow table entry.
type Flags uint16

// Flags of an entry.
const (
	// FlagOpenerTag marks that OpenerTag is known.
	FlagOpenerTag Flags = 1 << iota
	// FlagAnswerTag marks that AnswerTag is known.
	FlagAnswerTag
	// FlagAnswered marks that the target answered the opener.
	FlagAnswered
	// FlagReturned marks that the target sent payload.
	FlagReturnPayload
	// FlagCounted marks an entry that is counted for its target.
	FlagCounted
	// FlagCallerFin marks a FIN of the caller.
	FlagCallerFin
	// FlagTargetFin marks a FIN of the target.
	FlagTargetFin
	// FlagClosed marks a flow that ended; the entry stays to recognise late duplicates.
	FlagClosed
	// FlagRefused marks an opener that was refused; no target is bound.
	FlagRefused
	// FlagAsking marks an unknown flow whose holder is searched; no target is bound.
	FlagLookupPending
	// FlagDoubt marks a binding that a caller packet contradicted.
	FlagUnverified
	// FlagReopened marks that another opener was forwarded on an established flow.
	FlagReopened
	// FlagFailed marks an opener that its target reset or left unanswered.
	FlagOpenerFailed
)

// FlagsTagged are the flags of a connection that a new connection on the same flow clears.
const ConnectionFlags = FlagOpenerTag | FlagAnswerTag | FlagAnswered | FlagReturnPayload | FlagCallerFin |
	FlagTargetFin | FlagClosed | FlagRefused | FlagLookupPending | FlagUnverified | FlagReopened | FlagOpenerFailed

// Entry is what a flow table holds about one flow. It has no pointers, so
// that the garbage collector does not scan the table.
type Entry struct {
	Target    protocol.Endpoint
	Flags     Flags
	OpenerTag uint32
	AnswerTag uint32
	Created   Timestamp
	LastSeen  Timestamp
	// Epoch is the ownership epoch of the shard in which the flow last passed owner and backup.
	Epoch uint16
	// Gap is the usual time between packets of the flow in units of GapUnit.
	InterArrival uint16
	Strength     Strength
}

// GapUnit is the unit of Entry.Gap.
const InterArrivalUnit = 10 * time.Millisecond

const (
	// minGap is the silence below which two packets belong to one burst.
	minInterArrival = 50 * time.Millisecond
	// gapShare is the inverse weight of one gap in the running mean.
	interArrivalDivisor = 4
)

// See notes a packet.
func (e *Entry) RecordPacket(now Timestamp) {
	previous := e.LastSeen
	e.LastSeen = now
	interval := min(now.Since(previous), math.MaxUint16*InterArrivalUnit)
	if previous == 0 || interval < minInterArrival {
		return
	}
	mean := time.Duration(e.InterArrival) * InterArrivalUnit
	if mean == 0 {
		mean = interval
	}
	e.InterArrival = uint16((mean + (interval-mean)/interArrivalDivisor) / InterArrivalUnit)
}

// UsualGap returns the usual time between packets of the flow, or 0 when it is unknown.
func (e *Entry) MeanInterArrival() time.Duration {
	return time.Duration(e.InterArrival) * InterArrivalUnit
}

// Has reports whether any of the flags f is set.
func (e *Entry) Has(f Flags) bool { return e.Flags&f != 0 }

// Set sets flags.
func (e *Entry) Set(f Flags) { e.Flags |= f }

// Clear clears flags.
func (e *Entry) Clear(f Flags) { e.Flags &^= f }

// Bound reports whether the entry names a target.
func (e *Entry) HasTarget() bool { return !e.Target.IsZero() }

// FlowTable maps flows to entries. It is not safe for concurrent use.
type FlowTable struct {
	maps     [flowMapCount]map[protocol.FlowKey]Entry
	size     int
	capacity int
	cursor   int
}

// NewFlowTable makes a table with at most capacity entries.
func NewFlowTable(capacity int) *FlowTable {
	t := &FlowTable{capacity: capacity}
	for i := range t.maps {
		t.maps[i] = make(map[protocol.FlowKey]Entry)
	}
	return t
}

func mapIndex(k *protocol.FlowKey) int {
	ip := binary.BigEndian.Uint32(k.Caller.IP[:])
	h := uint64(ip)<<16 | uint64(k.Caller.Port)
	h = (h ^ uint64(k.Service.Port)<<48) * 0x9e3779b97f4a7c15
	return int(bits.RotateLeft64(h, 8) & (flowMapCount - 1))
}

// Get returns the entry of a flow.
func (t *FlowTable) Get(k protocol.FlowKey) (Entry, bool) {
	e, ok := t.maps[mapIndex(&k)][k]
	return e, ok
}

// Put stores an entry. It returns false when the table is full.
func (t *FlowTable) Put(k protocol.FlowKey, e Entry) bool {
	m := t.maps[mapIndex(&k)]
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
	m := t.maps[mapIndex(&k)]
	before := len(m)
	delete(m, k)
	t.size += len(m) - before
}

// Len returns the number of entries.
func (t *FlowTable) Len() int { return t.size }

// Step visits the entries of the next n maps, stores what visit changes and
// removes those for which it returns true.
func (t *FlowTable) SweepMaps(n int, visit func(protocol.FlowKey, *Entry) bool) {
	for range min(n, flowMapCount) {
		m := t.maps[t.cursor]
		t.cursor = (t.cursor + 1) % flowMapCount
		for k, e := range m {
			before := e
			if visit(k, &e) {
				delete(m, k)
				t.size--
			} else if e != before {
				m[k] = e
			}
		}
	}
}

// VisitMap visits the entries of one of the maps. It returns false when there is no map i.
func (t *FlowTable) VisitMap(i int, visit func(protocol.FlowKey, *Entry)) bool {
	if i >= flowMapCount {
		return false
	}
	for k, e := range t.maps[i] {
		visit(k, &e)
	}
	return true
}

// Update visits all entries and stores what visit changes.
func (t *FlowTable) UpdateAll(visit func(protocol.FlowKey, *Entry)) {
	for _, m := range t.maps {
		for k, e := range m {
			visit(k, &e)
			m[k] = e
		}
	}
}
