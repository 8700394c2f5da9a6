// Package gossip holds what membership and health share: a queue that sends
// each update a bounded number of times, and bucket hashes that find the
// differences between two views with few bytes.
package gossip

import (
	"cmp"
	"encoding/binary"
	"maps"
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
	key   string
	value T
	size  int
	sends int
	order uint64
	round uint64 // of the latest message that carried it
}

// Updates that were sent often, or count as such, share a rate. It keeps a
// backlog, as after the start of many members, within the control budget. The
// burst lets the updates of usual events pass at once.
const (
	routineBytesPerSecond = 170
	routineBurst          = 4096
	// minRoutineBytes is below the size of any update.
	minRoutineBytes = 8
)

// Queue holds the updates that are still to be passed on. A newer update
// replaces an older one with the same key.
type Queue[T proto.Message] struct {
	urgent  map[string]*entry[T]
	backlog map[string]*entry[T] // routine updates
	order   uint64
	round   uint64
	routine *rate.Limiter
}

// NewQueue returns an empty queue.
func NewQueue[T proto.Message]() *Queue[T] {
	return &Queue[T]{
		urgent:  map[string]*entry[T]{},
		backlog: map[string]*entry[T]{},
		routine: rate.NewLimiter(routineBytesPerSecond, routineBurst),
	}
}

// Put adds or replaces the update for key.
func (q *Queue[T]) Put(key string, value T) {
	delete(q.backlog, key)
	q.urgent[key] = q.newEntry(key, value)
}

// PutRoutine is Put for an update that may wait: it goes after others, is sent
// half as often, and keeps to the rate.
func (q *Queue[T]) PutRoutine(key string, value T) {
	delete(q.urgent, key)
	q.backlog[key] = q.newEntry(key, value)
}

func (q *Queue[T]) newEntry(key string, value T) *entry[T] {
	q.order++
	return &entry[T]{key: key, value: value, size: proto.Size(value) + 2, order: q.order}
}

// Take returns updates of at most budget bytes, those sent least first, and
// drops the ones that reach limit sends.
func (q *Queue[T]) Take(now time.Time, budget, limit int) []T {
	q.round++
	var taken []T
	for _, e := range slices.SortedFunc(maps.Values(q.urgent), compareEntries) {
		if e.size > budget || e.sends >= limit/2 && !q.routine.AllowN(now, e.size) {
			continue
		}
		budget -= e.size
		taken = append(taken, q.send(q.urgent, e, limit))
	}
	if q.routine.TokensAt(now) < minRoutineBytes {
		return taken
	}
	for e := q.nextRoutine(budget); e != nil && q.routine.AllowN(now, e.size); e = q.nextRoutine(budget) {
		budget -= e.size
		taken = append(taken, q.send(q.backlog, e, limit/2))
	}
	return taken
}

// send counts one more copy of an update and drops it at the limit.
func (q *Queue[T]) send(from map[string]*entry[T], e *entry[T], limit int) T {
	e.sends++
	e.round = q.round
	if e.sends >= limit {
		delete(from, e.key)
	}
	return e.value
}

// nextRoutine returns the first routine update that fits and that this round has
// not taken. The rate lets only one or two pass per message, so the long backlog
// after a start is not sorted.
func (q *Queue[T]) nextRoutine(budget int) *entry[T] {
	var next *entry[T]
	for _, e := range q.backlog {
		if e.round == q.round || e.size > budget {
			continue
		}
		if next == nil || compareEntries(e, next) < 0 {
			next = e
		}
	}
	return next
}

// compareEntries orders updates by how often they were sent, newer ones first.
func compareEntries[T proto.Message](a, b *entry[T]) int {
	return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.order, a.order))
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
