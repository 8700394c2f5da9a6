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
	quietTime = 3 * time.Millisecond
	// visibleQuietTime is the silence after a response that ends a request whose
	// close is visible but does not come: the flow is a stream or idle.
	visibleQuietTime = 30 * time.Millisecond
	// visibleHandshakeTime is how long after the answer return payload on a flow
	// with a visible close may belong to a TLS handshake.
	visibleHandshakeTime = 30 * time.Millisecond
	// handshakeSlack is added to twice the answer time of the target to bound
	// the handshake of a connection; callers are about 1 ms away.
	handshakeSlack = 4 * time.Millisecond
	// closeTime is the silence after a request that tells that a flow with a
	// hidden close was closed. A stream that pauses longer is counted again with
	// its next packet. With 2 s, closed flows were a tenth of the counts.
	closeTime = 500 * time.Millisecond
	// streamBursts is the number of bursts after a response that make a flow a stream.
	streamBursts = 3
	// streamTime is how long a response lasts before the flow counts as a stream.
	streamTime = time.Second
	// minResponseBytes is the payload below which a return packet is taken for an acknowledgement.
	minResponseBytes = 40
	// runMeans is after how many mean lengths a hidden request is taken to have ended.
	runMeans = 5
	// firstRunLimit bounds a hidden request while the mean is unknown.
	firstRunLimit = 5 * time.Second
	// visibleRunLimit bounds a request whose close is visible.
	visibleRunLimit = 30 * time.Second
	// mergedBurst is how many times the usual payload at the end of the handshake
	// the first burst holds when it includes a fast response.
	mergedBurst = 1.5
	// meanShare is the weight of one request in the running mean.
	meanShare = 1.0 / 16
)

// run is a flow that looks like a running request.
type run struct {
	target   protocol.Endpoint
	started  time.Time
	answered time.Time
	// first and last are the times of the first and last return payload.
	first  time.Time
	last   time.Time
	bursts int
	// firstBytes is the payload of the first burst.
	firstBytes int
	// responding is set once the response began.
	responding bool
	// hidden is set when the close of the flow cannot be seen.
	hidden bool
	// done is set once the request ended; silence then tells that the flow closed.
	done  bool
	ended time.Time
	// resumed is the number of bursts after the end.
	resumed int
}

// StartRun counts a flow as a running request of a target. hidden tells that
// the end of the flow cannot be seen.
func (c *Counts) StartRun(now time.Time, flow protocol.FlowKey, target protocol.Endpoint, hidden bool) {
	c.EndRun(flow)
	c.runs[flow] = &run{target: target, started: now, hidden: hidden}
	l := c.Load(target)
	l.Runs++
	l.waiting++
	c.schedule(c.due(c.runs[flow]))
}

// EndRun ends the request of a flow, if one runs.
func (c *Counts) EndRun(flow protocol.FlowKey) {
	r, ok := c.runs[flow]
	if !ok {
		return
	}
	delete(c.runs, flow)
	c.release(r)
}

// release frees the slot of a request.
func (c *Counts) release(r *run) {
	if r.done {
		return
	}
	r.done = true
	l := c.Load(r.target)
	l.Runs--
	if !r.responding {
		l.waiting--
	}
}

// FinishRun ends the request of a flow at a time that was seen or inferred, and learns its length.
func (c *Counts) FinishRun(now time.Time, flow protocol.FlowKey) {
	r, ok := c.runs[flow]
	if !ok {
		return
	}
	c.learn(now.Sub(r.started))
	if !r.done {
		c.Load(r.target).addWork(now, now.Sub(r.started))
	}
	c.EndRun(flow)
}

func (c *Counts) learn(length time.Duration) {
	if c.meanRun == 0 {
		c.meanRun = length
		return
	}
	c.meanRun += time.Duration(meanShare * float64(length-c.meanRun))
}

// RunAnswered notes the answer to the opener.
func (c *Counts) RunAnswered(now time.Time, flow protocol.FlowKey) {
	if r, ok := c.runs[flow]; ok && r.answered.IsZero() {
		r.answered = now
	}
}

// RunReturned notes a return packet with payload.
func (c *Counts) RunReturned(now time.Time, flow protocol.FlowKey, bytes int) {
	r, ok := c.runs[flow]
	if !ok || bytes < minResponseBytes {
		return
	}
	if r.done {
		c.resume(now, flow, r)
		return
	}
	if r.last.IsZero() {
		r.first = now
	}
	if r.last.IsZero() || now.Sub(r.last) >= burstGap {
		c.beginBurst(r)
	}
	if r.bursts == 1 {
		r.firstBytes += bytes
	}
	r.last = now
	if now.Sub(r.first) >= streamTime {
		c.EndRun(flow)
		return
	}
	if c.isResponse(now, r) {
		if !r.responding {
			c.Load(r.target).waiting--
		}
		r.responding = true
		c.schedule(c.due(r))
	}
}

// resume handles return payload after the end of a request. A flow that goes on sending is a stream.
func (c *Counts) resume(now time.Time, flow protocol.FlowKey, r *run) {
	if now.Sub(r.ended) >= burstGap {
		r.resumed++
	}
	r.ended = now
	if r.resumed >= streamBursts {
		delete(c.runs, flow)
	}
}

// beginBurst counts a burst. With the second, the first is known to be that of the handshake.
func (c *Counts) beginBurst(r *run) {
	r.bursts++
	if r.bursts != 2 || r.responding {
		return
	}
	if c.handshakeBytes == 0 {
		c.handshakeBytes = float64(r.firstBytes)
	}
	c.handshakeBytes += meanShare * (float64(r.firstBytes) - c.handshakeBytes)
}

// isResponse reports whether the latest burst belongs to the response rather than to the handshake.
func (c *Counts) isResponse(now time.Time, r *run) bool {
	if r.responding || r.answered.IsZero() {
		return true
	}
	if !r.hidden {
		return now.Sub(r.answered) > visibleHandshakeTime
	}
	if r.bursts > 1 {
		return true
	}
	if c.handshakeBytes > 0 && float64(r.firstBytes) > mergedBurst*c.handshakeBytes {
		return true // a fast response follows the handshake without a gap
	}
	handshake := 2*r.answered.Sub(r.started) + handshakeSlack
	return now.Sub(r.answered) > handshake
}

// due is when a request is taken to have ended unless another packet is seen.
func (c *Counts) due(r *run) time.Time {
	switch {
	case r.done:
		return r.ended.Add(closeTime)
	case r.responding && r.hidden:
		return r.last.Add(quietTime)
	case r.responding:
		return r.last.Add(visibleQuietTime)
	case !r.hidden:
		return r.started.Add(visibleRunLimit)
	case c.meanRun > 0:
		return r.started.Add(runMeans * c.meanRun)
	}
	return r.started.Add(firstRunLimit)
}

func (c *Counts) schedule(due time.Time) {
	if c.nextDue.IsZero() || due.Before(c.nextDue) {
		c.nextDue = due
	}
}

// Sweep ends the requests that are due, and calls closed for the flows whose
// hidden close is inferred from silence.
func (c *Counts) Sweep(now time.Time, closed func(protocol.FlowKey)) {
	if c.nextDue.IsZero() || now.Before(c.nextDue) {
		return
	}
	c.nextDue = time.Time{}
	var sum, ended time.Duration
	for flow, r := range c.runs {
		due := c.due(r)
		if due.After(now) {
			c.schedule(due)
			continue
		}
		if r.done {
			delete(c.runs, flow)
			closed(flow)
			continue
		}
		// A request whose end was not seen counts with its limit. Without it the
		// mean, and with it the limit, would shrink.
		end := due
		if r.responding {
			end = r.last
		}
		sum += end.Sub(r.started)
		ended++
		// A flow with a visible close that stays open is a stream or idle, not work.
		if r.hidden {
			c.Load(r.target).addWork(now, end.Sub(r.started))
			c.release(r)
			r.ended = due
			c.schedule(c.due(r))
			continue
		}
		c.EndRun(flow)
	}
	if ended > 0 {
		c.learn(sum / ended) // one mean, so that the order of the map has no effect
	}
}
