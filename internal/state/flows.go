package state

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// flowMapCount is the number of maps in a flow table. Expiry visits a few maps at a
// time, so that it never walks the whole table at once.
const flowMapCount = 256

// Timestamp is a point in time in milliseconds, modulo 2^32 (49 days).
type Timestamp uint32

// NewTimestamp converts a time to a timestamp.
func NewTimestamp(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Since returns the time from earlier to s, or 0 when earlier is after s.
func (s Timestamp) Since(earlier Timestamp) time.Duration {
	return time.Duration(max(int32(s-earlier), 0)) * time.Millisecond
}

// Add returns the timestamp d later.
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
	// FlagReturnPayload marks that the target sent payload.
	FlagReturnPayload
	// FlagCounted marks an entry that is counted as an open flow of its target.
	FlagCounted
	// FlagCallerFin marks a FIN of the caller.
	FlagCallerFin
	// FlagTargetFin marks a FIN of the target.
	FlagTargetFin
	// FlagClosed marks a flow that ended. Its entry is kept to recognise late duplicates.
	FlagClosed
	// FlagRefused marks an opener that was refused; no target is bound.
	FlagRefused
	// FlagLookupPending marks an unknown flow whose binding is being looked up at other
	// balancers; no target is bound.
	FlagLookupPending
	// FlagUnverified marks a binding that is not used to forward caller packets: a caller
	// packet contradicted it, or it was created from an answer that the owner has not yet
	// accepted.
	FlagUnverified
	// FlagReopened marks that another opener was forwarded on an established flow.
	FlagReopened
	// FlagOpenerFailed marks an opener that its target reset or left unanswered.
	FlagOpenerFailed
)

// ConnectionFlags are the flags of one connection; a new connection on the same flow
// clears them.
const ConnectionFlags = FlagOpenerTag | FlagAnswerTag | FlagAnswered | FlagReturnPayload | FlagCallerFin |
	FlagTargetFin | FlagClosed | FlagRefused | FlagLookupPending | FlagUnverified | FlagReopened | FlagOpenerFailed

// Entry is the flow table entry of one flow. It has no pointers, so that the
// garbage collector does not scan the table.
type Entry struct {
	Target protocol.Endpoint
	Flags  Flags
	// OpenerTag is the tag of the opener and AnswerTag the tag that the target chose in its
	// answer, see protocol.Packet. FlagOpenerTag and FlagAnswerTag mark that they are known.
	OpenerTag uint32
	AnswerTag uint32
	Created   Timestamp
	LastSeen  Timestamp
	// Epoch is the ownership epoch of the shard in which the owner and the backup last
	// handled a packet of the flow.
	Epoch uint16
	// InterArrival is the mean time between packets of the flow in units of InterArrivalUnit.
	InterArrival uint16
	Strength     Strength
}

// InterArrivalUnit is the unit of Entry.InterArrival.
const InterArrivalUnit = 10 * time.Millisecond

const (
	// minInterArrival is the interval below which two packets belong to the same burst;
	// shorter intervals do not enter the mean.
	minInterArrival = 50 * time.Millisecond
	// interArrivalDivisor is the inverse of the smoothing factor of the moving average.
	interArrivalDivisor = 4
)

// RecordPacket updates the last-seen time and the mean inter-arrival time for a packet.
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

// MeanInterArrival returns the mean time between packets of the flow, or 0 when it is unknown.
func (e *Entry) MeanInterArrival() time.Duration {
	return time.Duration(e.InterArrival) * InterArrivalUnit
}

// Has reports whether any of the flags f is set.
func (e *Entry) Has(f Flags) bool { return e.Flags&f != 0 }

// Set sets flags.
func (e *Entry) Set(f Flags) { e.Flags |= f }

// Clear clears flags.
func (e *Entry) Clear(f Flags) { e.Flags &^= f }

// HasTarget reports whether the entry names a target.
func (e *Entry) HasTarget() bool { return !e.Target.IsZero() }

// FlowTable maps flows to entries. It is not safe for concurrent use.
type FlowTable struct {
	maps     [flowMapCount]map[protocol.FlowKey]Entry
	size     int
	capacity int
	cursor   int
}

// NewFlowTable returns an empty table for at most capacity entries.
func NewFlowTable(capacity int) *FlowTable {
	t := &FlowTable{capacity: capacity}
	for i := range t.maps {
		t.maps[i] = make(map[protocol.FlowKey]Entry)
	}
	return t
}

// mapIndex returns the index of the map that holds a flow.
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

// Put inserts or replaces an entry. It returns false when the entry is new and the
// table is full.
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

// SweepMaps calls visit for each entry of the next n maps, stores the changes that
// visit makes and deletes the entries for which it returns true.
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

// VisitMap calls visit for each entry of map i; changes are discarded. It returns
// false when there is no map i.
func (t *FlowTable) VisitMap(i int, visit func(protocol.FlowKey, *Entry)) bool {
	if i >= flowMapCount {
		return false
	}
	for k, e := range t.maps[i] {
		visit(k, &e)
	}
	return true
}

// UpdateAll calls visit for each entry and stores the changes that visit makes.
func (t *FlowTable) UpdateAll(visit func(protocol.FlowKey, *Entry)) {
	for _, m := range t.maps {
		for k, e := range m {
			visit(k, &e)
			m[k] = e
		}
	}
}
