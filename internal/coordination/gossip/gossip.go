// Package gossip holds the dissemination code that membership and health share:
// a queue that sends each update a bounded number of times, and bucket hashes
// with which two nodes find the entries in which they differ at the cost of few bytes.
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

// SendLimit returns how many times one node sends an update in a fleet of
// memberCount members. The limit grows with the logarithm of the fleet size. The
// constants give enough transmissions for a packet loss of 5 % at 7 members.
func SendLimit(memberCount int) int {
	return 2 + 4*int(math.Ceil(math.Log10(float64(memberCount+1))))
}

// entry is an update with its send count.
type entry[T proto.Message] struct {
	key       string
	value     T
	size      int // encoded size in bytes, including the field header
	sendCount int
	sequence  uint64
	lastRound uint64 // call of NextUpdates that returned it last
}

// Rate limit that routine updates share with urgent updates that have reached half
// of their send limit. It keeps a backlog, as after the start of many members, within the
// budget for control traffic. The burst admits the updates of usual events
// without a delay.
const (
	routineBytesPerSecond = 170
	routineBurstBytes     = 4096
	// minUpdateBytes is a lower bound of the size of an update.
	minUpdateBytes = 8
)

// Queue holds the updates that are still to be sent. A newer update replaces an
// older one with the same key.
type Queue[T proto.Message] struct {
	urgentUpdates  map[string]*entry[T]
	routineUpdates map[string]*entry[T]
	lastSequence   uint64
	round          uint64 // number of calls of NextUpdates
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

// Put adds or replaces the update for key and resets its send count.
func (q *Queue[T]) Put(key string, value T) {
	delete(q.routineUpdates, key)
	q.urgentUpdates[key] = q.newEntry(key, value)
}

// PutRoutine is Put for an update that may wait: it is sent after the urgent
// ones, half as many times, and always within the rate limit.
func (q *Queue[T]) PutRoutine(key string, value T) {
	delete(q.urgentUpdates, key)
	q.routineUpdates[key] = q.newEntry(key, value)
}

func (q *Queue[T]) newEntry(key string, value T) *entry[T] {
	q.lastSequence++
	return &entry[T]{key: key, value: value, size: proto.Size(value) + 2, sequence: q.lastSequence}
}

// NextUpdates returns updates of at most budgetBytes in total, those with the
// lowest send count first, and removes the ones that reach sendLimit.
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

// recordSend counts one more send of an update and removes the update at the limit.
func (q *Queue[T]) recordSend(updates map[string]*entry[T], e *entry[T], sendLimit int) T {
	e.sendCount++
	e.lastRound = q.round
	if e.sendCount >= sendLimit {
		delete(updates, e.key)
	}
	return e.value
}

// nextRoutineUpdate returns the first routine update, in the order of
// compareEntries, that fits the budget and was not returned in this round. The
// rate limit admits only one or two per message, so a scan is cheaper than
// sorting the long backlog after a start.
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

// compareEntries orders updates by ascending send count, newer ones first on a tie.
func compareEntries[T proto.Message](a, b *entry[T]) int {
	return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(b.sequence, a.sequence))
}

// bucketHashBytes is the size of one bucket hash.
const bucketHashBytes = 4

// maxBuckets limits the bucket hashes of one exchange to 256 bytes.
const maxBuckets = 64

// BucketCount returns the number of buckets for entryCount entries: at most 8
// entries a bucket on average, up to maxBuckets.
func BucketCount(entryCount int) int {
	count := 1
	for count < maxBuckets && count*8 < entryCount {
		count *= 2
	}
	return count
}

// Buckets holds one hash per bucket: the XOR of the hashes of its entries. The
// hash of an entry's key selects the bucket.
type Buckets []uint32

// ParseBuckets decodes bucket hashes from their wire encoding, at most maxBuckets.
func ParseBuckets(encoded []byte) Buckets {
	count := min(len(encoded)/bucketHashBytes, maxBuckets)
	b := make(Buckets, count)
	for i := range b {
		b[i] = binary.BigEndian.Uint32(encoded[i*bucketHashBytes:])
	}
	return b
}

// Bytes returns the wire encoding.
func (b Buckets) Bytes() []byte {
	encoded := make([]byte, 0, len(b)*bucketHashBytes)
	for _, h := range b {
		encoded = binary.BigEndian.AppendUint32(encoded, h)
	}
	return encoded
}

// Index returns the index of the bucket for a key hash. It needs at least one bucket.
func (b Buckets) Index(keyHash uint64) int { return int(keyHash % uint64(len(b))) }

// Add folds the hash of an entry into its bucket. Without buckets it does nothing.
func (b Buckets) Add(keyHash, entryHash uint64) {
	if len(b) == 0 {
		return
	}
	b[b.Index(keyHash)] ^= uint32(entryHash ^ entryHash>>32)
}
