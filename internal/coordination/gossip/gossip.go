// Package gossip holds what membership and health share: a queue that sends
// each update a bounded number of times, and bucket hashes that find the
// differences between two views with few bytes.
package gossip

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

// SendLimit returns how often one node passes on an update in a fleet of n
// members. It grows with the logarithm of n; the constants leave enough
// copies for a loss of 5 % at 7 members.
func SendLimit(n int) int {
	return 2 + 4*int(math.Ceil(math.Log10(float64(n+1))))
}

type entry[T proto.Message] struct {
	key     string
	value   T
	size    int
	routine bool
	sends   int
	order   uint64
}

// Updates that were sent often, or count as such, share a rate. It keeps a
// backlog, as after the start of many members, within the control budget. The
// burst lets the updates of usual events pass at once.
const (
	routineBytesPerSecond = 200
	routineBurst          = 4096
)

// Queue holds the updates that are still to be passed on. A newer update
// replaces an older one with the same key.
type Queue[T proto.Message] struct {
	entries map[string]*entry[T]
	order   uint64
	routine *rate.Limiter
}

// NewQueue returns an empty queue.
func NewQueue[T proto.Message]() *Queue[T] {
	return &Queue[T]{
		entries: map[string]*entry[T]{},
		routine: rate.NewLimiter(routineBytesPerSecond, routineBurst),
	}
}

// Put adds or replaces the update for key.
func (q *Queue[T]) Put(key string, value T) { q.put(key, value, false) }

// PutRoutine is Put for an update that may wait: it goes after others, is sent
// half as often, and keeps to the rate.
func (q *Queue[T]) PutRoutine(key string, value T) { q.put(key, value, true) }

func (q *Queue[T]) put(key string, value T, routine bool) {
	q.order++
	q.entries[key] = &entry[T]{key: key, value: value, size: proto.Size(value) + 2, routine: routine, order: q.order}
}

// Take returns updates of at most budget bytes, those sent least first, and
// drops the ones that reach limit sends.
func (q *Queue[T]) Take(now time.Time, budget, limit int) []T {
	if len(q.entries) == 0 {
		return nil
	}
	var taken []T
	for _, e := range q.sorted() {
		if e.size > budget {
			continue
		}
		if (e.routine || e.sends >= limit/2) && !q.routine.AllowN(now, e.size) {
			continue
		}
		budget -= e.size
		taken = append(taken, e.value)
		e.sends++
		if e.sends >= limit || e.routine && e.sends >= limit/2 {
			delete(q.entries, e.key)
		}
	}
	return taken
}

func (q *Queue[T]) sorted() []*entry[T] {
	list := make([]*entry[T], 0, len(q.entries))
	for _, e := range q.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry[T]) int {
		if a.routine != b.routine {
			return compareBool(a.routine, b.routine)
		}
		if a.sends != b.sends {
			return a.sends - b.sends
		}
		return int(int64(b.order) - int64(a.order))
	})
	return list
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// bucketBytes is the size of one bucket hash.
const bucketBytes = 4

// maxBuckets bounds the hashes of one exchange to 256 bytes.
const maxBuckets = 64

// BucketCount returns the number of buckets for n entries: about 8 entries each.
func BucketCount(n int) int {
	count := 1
	for count < maxBuckets && count*8 < n {
		count *= 2
	}
	return count
}

// Buckets holds the hashes of entries grouped by the hash of their key.
type Buckets []uint32

// ParseBuckets reads hashes from their wire form.
func ParseBuckets(raw []byte) Buckets {
	count := min(len(raw)/bucketBytes, maxBuckets)
	b := make(Buckets, count)
	for i := range b {
		b[i] = binary.BigEndian.Uint32(raw[i*bucketBytes:])
	}
	return b
}

// Bytes returns the wire form.
func (b Buckets) Bytes() []byte {
	raw := make([]byte, 0, len(b)*bucketBytes)
	for _, h := range b {
		raw = binary.BigEndian.AppendUint32(raw, h)
	}
	return raw
}

// Index returns the bucket of a key hash.
func (b Buckets) Index(keyHash uint64) int { return int(keyHash % uint64(len(b))) }

// Add includes an entry. Without buckets it does nothing.
func (b Buckets) Add(keyHash, entryHash uint64) {
	if len(b) == 0 {
		return
	}
	b[b.Index(keyHash)] ^= uint32(entryHash ^ entryHash>>32)
}
