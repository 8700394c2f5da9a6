package state

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// A request ends when its flow closes, where the close is visible. QUIC encrypts the
// close, so there the owner infers the end from the return packets of young flows:
// the first burst after the answer ends the handshake, and a later burst is the
// response. The request ends when the response stops.
const (
	// burstGap is the shortest time without return packets that separates two bursts.
	burstGap = 3 * time.Millisecond
	// responseQuietTime is the time without return packets after a response that ends a
	// request whose close is hidden.
	responseQuietTime = 3 * time.Millisecond
	// visibleResponseQuietTime is the time without return packets after a response that
	// ends a request whose close would be visible but has not been seen: the flow is a
	// stream or idle.
	visibleResponseQuietTime = 30 * time.Millisecond
	// visibleHandshakeTime is how long after the answer to the opener return payload
	// may belong to a TLS handshake, on a flow with a visible close.
	visibleHandshakeTime = 30 * time.Millisecond
	// handshakeSlack is added to twice the target's time to answer the opener. The sum
	// bounds the duration of a handshake. Callers are about 1 ms away.
	handshakeSlack = 4 * time.Millisecond
	// inferredCloseTime is the time without return packets after a request from which
	// a hidden close is inferred. A stream that pauses longer is counted again with its
	// next packet. With 2 s, a tenth of the counted flows were already closed.
	inferredCloseTime = 500 * time.Millisecond
	// streamMinBursts is the number of bursts after the end of a request from which the
	// flow counts as a stream.
	streamMinBursts = 3
	// streamMinDuration is the duration of a response from which the flow counts as a stream.
	streamMinDuration = time.Second
	// minResponseBytes is the payload below which a return packet is treated as an acknowledgement.
	minResponseBytes = 40
	// requestLimitFactor times the mean request duration bounds a request with a hidden
	// close and no response.
	requestLimitFactor = 5
	// initialRequestLimit bounds a request with a hidden close and no response while the
	// mean duration is unknown.
	initialRequestLimit = 5 * time.Second
	// visibleRequestLimit bounds a request with a visible close and no response.
	visibleRequestLimit = 30 * time.Second
	// mergedBurstFactor is the ratio of the first burst to the mean payload at the end of
	// the handshake above which the burst also contains a fast response.
	mergedBurstFactor = 1.5
	// smoothingFactor is the weight of one request in the moving averages.
	smoothingFactor = 1.0 / 16
)

// request is a flow that is classified as a running request.
type request struct {
	target     protocol.Endpoint
	startedAt  time.Time
	answeredAt time.Time
	// firstPayloadAt and lastPayloadAt are the times of the first and the last return payload.
	firstPayloadAt time.Time
	lastPayloadAt  time.Time
	bursts         int
	// firstBurstBytes is the payload of the first burst.
	firstBurstBytes int
	// responseStarted is set when the response starts.
	responseStarted bool
	// closeHidden is set when the close of the flow is not visible.
	closeHidden bool
	// done is set when the request ends. The close of the flow is inferred if no return
	// packet arrives within inferredCloseTime after the end.
	done    bool
	endedAt time.Time
	// burstsAfterEnd is the number of bursts after the end of the request.
	burstsAfterEnd int
}

// StartRequest counts a flow as a running request of a target. closeHidden reports
// that the close of the flow is not visible.
func (c *LoadCounts) StartRequest(now time.Time, flow protocol.FlowKey, target protocol.Endpoint, closeHidden bool) {
	c.EndRequest(flow)
	c.requests[flow] = &request{target: target, startedAt: now, closeHidden: closeHidden}
	l := c.Load(target)
	l.RunningRequests++
	l.awaitingResponse++
	c.scheduleExpiry(c.deadline(c.requests[flow]))
}

// EndRequest ends the request of a flow, if there is one, without recording its duration.
func (c *LoadCounts) EndRequest(flow protocol.FlowKey) {
	r, ok := c.requests[flow]
	if !ok {
		return
	}
	delete(c.requests, flow)
	c.releaseSlot(r)
}

// releaseSlot frees the slot of a request.
func (c *LoadCounts) releaseSlot(r *request) {
	if r.done {
		return
	}
	r.done = true
	l := c.Load(r.target)
	l.RunningRequests--
	if !r.responseStarted {
		l.awaitingResponse--
	}
}

// CompleteRequest ends the request of a flow at now, the time at which the end was
// seen or inferred, and records its duration.
func (c *LoadCounts) CompleteRequest(now time.Time, flow protocol.FlowKey) {
	r, ok := c.requests[flow]
	if !ok {
		return
	}
	c.updateMeanDuration(now.Sub(r.startedAt))
	if !r.done {
		c.Load(r.target).addWork(now, now.Sub(r.startedAt))
	}
	c.EndRequest(flow)
}

// updateMeanDuration adds a request duration to the moving average.
func (c *LoadCounts) updateMeanDuration(duration time.Duration) {
	if c.meanRequestDuration == 0 {
		c.meanRequestDuration = duration
		return
	}
	c.meanRequestDuration += time.Duration(smoothingFactor * float64(duration-c.meanRequestDuration))
}

// RecordOpenerAnswer records the time of the answer to the opener of a request's flow.
func (c *LoadCounts) RecordOpenerAnswer(now time.Time, flow protocol.FlowKey) {
	if r, ok := c.requests[flow]; ok && r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// RecordReturnPacket records a return packet with payload for the request of a flow.
func (c *LoadCounts) RecordReturnPacket(now time.Time, flow protocol.FlowKey, bytes int) {
	r, ok := c.requests[flow]
	if !ok || bytes < minResponseBytes {
		return
	}
	if r.done {
		c.recordPayloadAfterEnd(now, flow, r)
		return
	}
	if r.lastPayloadAt.IsZero() {
		r.firstPayloadAt = now
	}
	if r.lastPayloadAt.IsZero() || now.Sub(r.lastPayloadAt) >= burstGap {
		c.startBurst(r)
	}
	if r.bursts == 1 {
		r.firstBurstBytes += bytes
	}
	r.lastPayloadAt = now
	if now.Sub(r.firstPayloadAt) >= streamMinDuration {
		c.EndRequest(flow)
		return
	}
	if c.isResponse(now, r) {
		if !r.responseStarted {
			c.Load(r.target).awaitingResponse--
		}
		r.responseStarted = true
		c.scheduleExpiry(c.deadline(r))
	}
}

// recordPayloadAfterEnd records return payload after the end of a request. A flow
// that keeps returning payload is a stream and is no longer tracked.
func (c *LoadCounts) recordPayloadAfterEnd(now time.Time, flow protocol.FlowKey, r *request) {
	if now.Sub(r.endedAt) >= burstGap {
		r.burstsAfterEnd++
	}
	r.endedAt = now
	if r.burstsAfterEnd >= streamMinBursts {
		delete(c.requests, flow)
	}
}

// startBurst counts a new burst. The second burst shows that the first one ended the
// handshake, so the size of the first enters the mean.
func (c *LoadCounts) startBurst(r *request) {
	r.bursts++
	if r.bursts != 2 || r.responseStarted {
		return
	}
	if c.meanHandshakeBytes == 0 {
		c.meanHandshakeBytes = float64(r.firstBurstBytes)
	}
	c.meanHandshakeBytes += smoothingFactor * (float64(r.firstBurstBytes) - c.meanHandshakeBytes)
}

// isResponse reports whether the latest burst belongs to the response rather than to the handshake.
func (c *LoadCounts) isResponse(now time.Time, r *request) bool {
	if r.responseStarted || r.answeredAt.IsZero() {
		return true
	}
	if !r.closeHidden {
		return now.Sub(r.answeredAt) > visibleHandshakeTime
	}
	if r.bursts > 1 {
		return true
	}
	if c.meanHandshakeBytes > 0 && float64(r.firstBurstBytes) > mergedBurstFactor*c.meanHandshakeBytes {
		return true // a fast response follows the handshake without a gap
	}
	handshakeLimit := 2*r.answeredAt.Sub(r.startedAt) + handshakeSlack
	return now.Sub(r.answeredAt) > handshakeLimit
}

// deadline returns when a request, or the flow of an ended request, is assumed to have
// ended unless another packet arrives.
func (c *LoadCounts) deadline(r *request) time.Time {
	switch {
	case r.done:
		return r.endedAt.Add(inferredCloseTime)
	case r.responseStarted && r.closeHidden:
		return r.lastPayloadAt.Add(responseQuietTime)
	case r.responseStarted:
		return r.lastPayloadAt.Add(visibleResponseQuietTime)
	case !r.closeHidden:
		return r.startedAt.Add(visibleRequestLimit)
	case c.meanRequestDuration > 0:
		return r.startedAt.Add(requestLimitFactor * c.meanRequestDuration)
	}
	return r.startedAt.Add(initialRequestLimit)
}

// scheduleExpiry makes ExpireRequests run at the deadline or earlier.
func (c *LoadCounts) scheduleExpiry(deadline time.Time) {
	if c.nextDeadline.IsZero() || deadline.Before(c.nextDeadline) {
		c.nextDeadline = deadline
	}
}

// ExpireRequests ends the requests whose deadline has passed, and calls onClosed for
// the flows whose hidden close is inferred.
func (c *LoadCounts) ExpireRequests(now time.Time, onClosed func(protocol.FlowKey)) {
	if c.nextDeadline.IsZero() || now.Before(c.nextDeadline) {
		return
	}
	c.nextDeadline = time.Time{}
	var total, count time.Duration
	for flow, r := range c.requests {
		deadline := c.deadline(r)
		if deadline.After(now) {
			c.scheduleExpiry(deadline)
			continue
		}
		if r.done {
			delete(c.requests, flow)
			onClosed(flow)
			continue
		}
		// A request whose end was not seen counts with its limit. Otherwise the mean
		// would shrink, and the limit that depends on it.
		end := deadline
		if r.responseStarted {
			end = r.lastPayloadAt
		}
		total += end.Sub(r.startedAt)
		count++
		// A flow with a visible close that stays open is a stream or idle, and adds no work.
		if r.closeHidden {
			c.Load(r.target).addWork(now, end.Sub(r.startedAt))
			c.releaseSlot(r)
			r.endedAt = deadline
			c.scheduleExpiry(c.deadline(r))
			continue
		}
		c.EndRequest(flow)
	}
	if count > 0 {
		c.updateMeanDuration(total / count) // a single update, so that the map iteration order has no effect
	}
}
