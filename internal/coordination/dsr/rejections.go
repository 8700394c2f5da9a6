package dsr

import (
	"math"
	"time"
)

// Recognition of requests that targets reject because their queues are full. A balancer
// sees only how many bytes of a response a caller acknowledges. A rejection is much
// shorter than the responses of served requests, so each balancer learns the sizes of
// these for each route while the targets of the service have room.

const (
	// sizeBucketsPerOctave and sizeBucketCount define the buckets of responseSizes, from
	// minResponseBytes to 128 KiB. Neighbouring bounds differ by 9 %.
	sizeBucketsPerOctave = 8
	sizeBucketCount      = 13 * sizeBucketsPerOctave
	// minResponseBytes is the size from which acknowledged bytes count as a response. The
	// end of a flow takes up one sequence number without being one.
	minResponseBytes = 16
	// maxLearnedSizes is the number of responses after which the weights of all buckets are
	// halved, so that the sizes follow changes of the application.
	maxLearnedSizes = 4096
	// shortestUsualShare is the share of learned responses that may be shorter than the
	// shortest usual one. It is the permitted share of responses taken for rejections.
	shortestUsualShare = 0.001
	// responseQuietTime is how long after the last packet of a caller a response counts as
	// complete. Callers acknowledge within 40 ms.
	responseQuietTime = 300 * time.Millisecond
	// learningDelay is the shortest time after which a size is learned. maxPendingSizes is the
	// number of sizes that are learned in that time.
	learningDelay   = time.Second
	maxPendingSizes = 64
	// maxRoomInFlightPerSlot is the number of in-flight requests per slot up to which targets
	// have room. Above it, they may reject requests, so that sizes are not learned, and short
	// responses count as rejections. Queues are full at five.
	maxRoomInFlightPerSlot = 1.5
)

// responseSizes is the distribution of the response sizes of a route.
type responseSizes struct {
	counts [sizeBucketCount]uint16
	total  int
	// maxRejectionBytes is the size up to which a response counts as a rejection, 0 while
	// too few sizes are known.
	maxRejectionBytes float64
}

// pendingSize is the size of a response that is learned if the service still has room after
// learningDelay.
type pendingSize struct {
	sizes *responseSizes
	size  uint32
}

// learnSizes learns the sizes of the responses that were received while the service had
// room. Those of up to two delays before it ran out of room are dropped, because
// meanInFlight follows a surge late.
func (p *pressure) learnSizes(elapsed time.Duration) {
	if !p.hasRoom {
		p.newSizes, p.agedSizes, p.sizesAge = p.newSizes[:0], p.agedSizes[:0], 0
		return
	}
	p.sizesAge += elapsed
	if p.sizesAge < learningDelay {
		return
	}
	for _, s := range p.agedSizes {
		s.sizes.learn(s.size)
	}
	p.newSizes, p.agedSizes, p.sizesAge = p.agedSizes[:0], p.newSizes, 0
}

// learn adds the size of a served response.
func (s *responseSizes) learn(size uint32) {
	bucket := int(sizeBucketsPerOctave * math.Log2(float64(size)/minResponseBytes))
	s.counts[min(bucket, sizeBucketCount-1)]++
	s.total++
	if s.total >= maxLearnedSizes {
		s.total = 0
		for i := range s.counts {
			s.counts[i] /= 2
			s.total += int(s.counts[i])
		}
	}
	ratio := rejectionSizeRatio(s.total)
	shorter := 0
	for i, n := range s.counts {
		shorter += int(n)
		if float64(shorter) > shortestUsualShare*float64(s.total) {
			s.maxRejectionBytes = ratio * minResponseBytes * math.Exp2(float64(i)/sizeBucketsPerOctave)
			return
		}
	}
}

// rejectionSizeRatio returns the size of the longest rejection relative to the shortest
// usual response, or 0 if too few responses were learned. With few of them, the shortest
// one is not yet known well. If 95 % of the sizes are within a factor of ten and the
// distribution is log-normal, about one response in 1,000 is below each of these limits.
func rejectionSizeRatio(learned int) float64 {
	switch {
	case learned >= 300:
		return 0.75
	case learned >= 30:
		return 0.5
	case learned >= 10:
		return 0.33
	}
	return 0
}

// isRejection reports whether a response of a size is a rejection.
func (s *responseSizes) isRejection(size uint32) bool { return float64(size) <= s.maxRejectionBytes }

// startResponse begins the measurement of the next response at the bytes that the caller
// has acknowledged, after ending that of the previous one.
func (f *flow) startResponse() {
	f.endResponse()
	f.responseStartSeq, f.responseExpected = f.ackedSeq, true
}

// endResponse ends the measurement of a response and sets completedBytes to its size.
func (f *flow) endResponse() {
	if f.responseExpected {
		f.completedBytes = f.ackedSeq - f.responseStartSeq
	}
	f.responseExpected = false
}

// recordResponseSize counts the response that was last completed on a flow, if any, as a
// rejection or as served. While targets have room, none counts.
func (d *Dispatcher) recordResponseSize(f *flow) {
	size := f.completedBytes
	f.completedBytes = 0
	if size < minResponseBytes || f.target == nil {
		return
	}
	p := d.pressures[f.target.Service]
	if p == nil {
		p = &pressure{}
		d.pressures[f.target.Service] = p
	}
	sizes := f.route.usage.sizes
	if sizes == nil {
		sizes = &responseSizes{}
		f.route.usage.sizes = sizes
	}
	isLimited := !d.options.CrossPlace || !f.target.isElsewhere // see inFlightAndSlots
	if sizes.maxRejectionBytes > 0 && !p.hasRoom && isLimited {
		p.responses++
		if sizes.isRejection(size) {
			p.rejections++
			p.totalRejections++
		}
	}
	if len(p.newSizes) < maxPendingSizes {
		p.newSizes = append(p.newSizes, pendingSize{sizes, size})
	}
}

// recordEndOfFlow records the size of the last response when the caller ends a flow.
func (d *Dispatcher) recordEndOfFlow(f *flow) {
	if d.options.LearnsFromRejections {
		f.endResponse()
		d.recordResponseSize(f)
	}
}
