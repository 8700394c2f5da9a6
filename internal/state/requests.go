package state

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// The end of a request is visible when the flow closes. QUIC hides the close.
// There the owner sees the return packets of young flows: the first burst after
// the answer ends the handshake, and a later burst is the response. A request
// ends when the response falls silent.
const (
	// burstGap is the silence that separates two bursts of return packets.
	burstGap = 3 * time.Millisecond
	// quietTime is the silence after a response that ends a request.
	responseQuietTime = 3 * time.Millisecond
	// visibleQuietTime is the silence after a response that ends a request whose
	// close is visible but does not come: the flow is a stream or idle.
	visibleResponseQuietTime = 30 * time.Millisecond
	// visibleHandshakeTime is how long after the answer return payload on a flow
	// with a visible close may belong to a TLS handshake.
	visibleHandshakeTime = 30 * time.Millisecond
	// handshakeSlack is added to twice the answer time of the target to bound
	// the handshake of a connection; callers are about 1 ms away.
	handshakeSlack = 4 * time.Millisecond
	// closeTime is the silence after a request that tells that a flow with a
	// hidden close was closed. A stream that pauses longer is counted again with
	// its next packet. With 2 s, closed flows were a tenth of the counts.
	inferredCloseTime = 500 * time.Millisecond
	// streamBursts is the number of bursts after a response that make a flow a stream.
	streamMinBursts = 3
	// streamTime is how long a response lasts before the flow counts as a stream.
	streamMinDuration = time.Second
	// minResponseBytes is the payload below which a return packet is taken for an acknowledgement.
	minResponseBytes = 40
	// runMeans is after how many mean lengths a hidden request is taken to have ended.
	requestLimitFactor = 5
	// firstRunLimit bounds a hidden request while the mean is unknown.
	initialRequestLimit = 5 * time.Second
	// visibleRunLimit bounds a request whose close is visible.
	visibleRequestLimit = 30 * time.Second
	// mergedBurst is how many times the usual payload at the end of the handshake
	// the first burst holds when it includes a fast response.
	mergedBurstFactor = 1.5
	// meanShare is the weight of one request in the running mean.
	smoothingFactor = 1.0 / 16
)

// run is a flow that looks like a running request.
type request struct {
	target     protocol.Endpoint
	startedAt  time.Time
	answeredAt time.Time
	// first and last are the times of the first and last return payload.
	firstPayloadAt time.Time
	lastPayloadAt  time.Time
	bursts         int
	// firstBytes is the payload of the first burst.
	firstBurstBytes int
	// responding is set once the response began.
	responseStarted bool
	// hidden is set when the close of the flow cannot be seen.
	closeHidden bool
	// done is set once the request ended; silence then tells that the flow closed.
	done    bool
	endedAt time.Time
	// resumed is the number of bursts after the end.
	burstsAfterEnd int
}

// StartRun counts a flow as a running request of a target. hidden tells that
// the end of the flow cannot be seen.
func (c *LoadCounts) StartRequest(now time.Time, flow protocol.FlowKey, target protocol.Endpoint, closeHidden bool) {
	c.EndRequest(flow)
	c.requests[flow] = &request{target: target, startedAt: now, closeHidden: closeHidden}
	l := c.Load(target)
	l.RunningRequests++
	l.awaitingResponse++
	c.scheduleExpiry(c.deadline(c.requests[flow]))
}

// EndRun ends the request of a flow, if one runs.
func (c *LoadCounts) EndRequest(flow protocol.FlowKey) {
	r, ok := c.requests[flow]
	if !ok {
		return
	}
	delete(c.requests, flow)
	c.releaseSlot(r)
}

// release frees the slot of a request.
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

// FinishRun ends the request of a flow at a time that was seen or inferred, and learns its length.
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

func (c *LoadCounts) updateMeanDuration(duration time.Duration) {
	if c.meanRequestDuration == 0 {
		c.meanRequestDuration = duration
		return
	}
	c.meanRequestDuration += time.Duration(smoothingFactor * float64(duration-c.meanRequestDuration))
}

// RunAnswered notes the answer to the opener.
func (c *LoadCounts) RecordOpenerAnswer(now time.Time, flow protocol.FlowKey) {
	if r, ok := c.requests[flow]; ok && r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// RunReturned notes a return packet with payload.
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

// resume handles return payload after the end of a request. A flow that goes on sending is a stream.
func (c *LoadCounts) recordPayloadAfterEnd(now time.Time, flow protocol.FlowKey, r *request) {
	if now.Sub(r.endedAt) >= burstGap {
		r.burstsAfterEnd++
	}
	r.endedAt = now
	if r.burstsAfterEnd >= streamMinBursts {
		delete(c.requests, flow)
	}
}

// beginBurst counts a burst. With the second, the first is known to be that of the handshake.
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

// due is when a request is taken to have ended unless another packet is seen.
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

func (c *LoadCounts) scheduleExpiry(deadline time.Time) {
	if c.nextDeadline.IsZero() || deadline.Before(c.nextDeadline) {
		c.nextDeadline = deadline
	}
}

// Sweep ends the requests that are due, and calls closed for the flows whose
// hidden close is inferred from silence.
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
		// A request whose end was not seen counts with its limit. Without it the
		// mean, and with it the limit, would shrink.
		end := deadline
		if r.responseStarted {
			end = r.lastPayloadAt
		}
		total += end.Sub(r.startedAt)
		count++
		// A flow with a visible close that stays open is a stream or idle, not work.
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
		c.updateMeanDuration(total / count) // one mean, so that the order of the map has no effect
	}
}
