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
func SendLimit(memberCount int) int {
	return 2 + 4*int(math.Ceil(math.Log10(float64(memberCount+1))))
}

type entry[T proto.Message] struct {
	key       string
	value     T
	size      int
	sendCount int
	sequence  uint64
	lastRound uint64 // of the latest message that carried it
}

// Updates that were sent often, or count as such, share a rate. It keeps a
// backlog, as after the start of many members, within the control budget. The
// burst lets the updates of usual events pass at once.
const (
	routineBytesPerSecond = 170
	routineBurstBytes     = 4096
	// minRoutineBytes is below the size of any update.
	minUpdateBytes = 8
)

// Queue holds the updates that are still to be passed on. A newer update
// replaces an older one with the same key.
type Queue[T proto.Message] struct {
	urgentUpdates  map[string]*entry[T]
	routineUpdates map[string]*entry[T] // routine updates
	lastSequence   uint64
	round          uint64
	routineLimiter *rate.Limiter
}

// NewQueue returns an empty queue.
func NewQueue[T proto.Message]() *Queue[T] {
	return &Queue[T]{
		urgentUpdates:  map[string]*entry[T]{},
		routineUpdates: map[string]*entry[T]{},
		routineLimiter: rate.NewLimiter(routineBytesPerSecond, routineBurstBytes),
	}
}

// Put adds or replaces the update for key.
func (q *Queue[T]) Put(key string, value T) {
	delete(q.routineUpdates, key)
	q.urgentUpdates[key] = q.newEntry(key, value)
}

// PutRoutine is Put for an update that may wait: it goes after others, is sent
// half as often, and keeps to the rate.
func (q *Queue[T]) PutRoutine(key string, value T) {
	delete(q.urgentUpdates, key)
	q.routineUpdates[key] = q.newEntry(key, value)
}

func (q *Queue[T]) newEntry(key string, value T) *entry[T] {
	q.lastSequence++
	return &entry[T]{key: key, value: value, size: proto.Size(value) + 2, sequence: q.lastSequence}
}

// Take returns updates of at most budget bytes, those sent least first, and
// drops the ones that reach limit sends.
func (q *Queue[T]) NextUpdates(now time.Time, budgetBytes, sendLimit int) []T {
	q.round++
	var selected []T
	for _, e := range slices.SortedFunc(maps.Values(q.urgentUpdates), compareEntries) {
		if e.size > budgetBytes || e.sendCount >= sendLimit/2 && !q.routineLimiter.AllowN(now, e.size) {
			continue
		}
		budgetBytes -= e.size
		selected = append(selected, q.recordSend(q.urgentUpdates, e, sendLimit))
	}
	if q.routineLimiter.TokensAt(now) < minUpdateBytes {
		return selected
	}
	for e := q.nextRoutineUpdate(budgetBytes); e != nil && q.routineLimiter.AllowN(now, e.size); e = q.nextRoutineUpdate(budgetBytes) {
		budgetBytes -= e.size
		selected = append(selected, q.recordSend(q.routineUpdates, e, sendLimit/2))
	}
	return selected
}

// send counts one more copy of an update and drops it at the limit.
func (q *Queue[T]) recordSend(updates map[string]*entry[T], e *entry[T], sendLimit int) T {
	e.sendCount++
	e.lastRound = q.round
	if e.sendCount >= sendLimit {
		delete(updates, e.key)
	}
	return e.value
}

// nextRoutine returns the first routine update that fits and that this round has
// not taken. The rate lets only one or two pass per message, so the long backlog
// after a start is not sorted.
func (q *Queue[T]) nextRoutineUpdate(budgetBytes int) *entry[T] {
	var next *entry[T]
	for _, e := range q.routineUpdates {
		if e.lastRound == q.round || e.size > budgetBytes {
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
	return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(b.sequence, a.sequence))
}

// bucketBytes is the size of one bucket hash.
const bucketHashBytes = 4

// maxBuckets bounds the hashes of one exchange to 256 bytes.
const maxBuckets = 64

// BucketCount returns the number of buckets for n entries: about 8 entries each.
func BucketCount(entryCount int) int {
	count := 1
	for count < maxBuckets && count*8 < entryCount {
		count *= 2
	}
	return count
}

// Buckets holds the hashes of entries grouped by the hash of their key.
type Buckets []uint32

// ParseBuckets reads hashes from their wire form.
func ParseBuckets(encoded []byte) Buckets {
	count := min(len(encoded)/bucketHashBytes, maxBuckets)
	b := make(Buckets, count)
	for i := range b {
		b[i] = binary.BigEndian.Uint32(encoded[i*bucketHashBytes:])
	}
	return b
}

// Bytes returns the wire form.
func (b Buckets) Bytes() []byte {
	encoded := make([]byte, 0, len(b)*bucketHashBytes)
	for _, h := range b {
		encoded = binary.BigEndian.AppendUint32(encoded, h)
	}
	return encoded
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
