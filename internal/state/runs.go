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
	// handshakeSlack is added to twice the answer time of the target to bound
	// the handshake of a connection; callers are about 1 ms away.
	handshakeSlack = 4 * time.Millisecond
	// streamTime is how long a response lasts before the flow counts as a stream.
	streamTime = time.Second
	// minResponseBytes is the payload below which a return packet is taken for an acknowledgement.
	minResponseBytes = 40
	// runMeans is after how many mean lengths a hidden request is taken to have ended.
	runMeans = 3
	// firstRunLimit bounds a hidden request while the mean is unknown.
	firstRunLimit = 5 * time.Second
	// visibleRunLimit bounds a request whose close is visible.
	visibleRunLimit = 30 * time.Second
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
	// responding is set once the response began.
	responding bool
	// hidden is set when the close of the flow cannot be seen.
	hidden bool
}

// StartRun counts a flow as a running request of a target. hidden tells that
// the end of the flow cannot be seen.
func (c *Counts) StartRun(now time.Time, flow protocol.FlowKey, target protocol.Endpoint, hidden bool) {
	c.EndRun(flow)
	c.runs[flow] = &run{target: target, started: now, hidden: hidden}
	c.Load(target).Runs++
	c.schedule(c.due(c.runs[flow]))
}

// EndRun ends the request of a flow, if one runs.
func (c *Counts) EndRun(flow protocol.FlowKey) {
	r, ok := c.runs[flow]
	if !ok {
		return
	}
	delete(c.runs, flow)
	c.Load(r.target).Runs--
}

// FinishRun ends the request of a flow at a time that was seen or inferred, and learns its length.
func (c *Counts) FinishRun(now time.Time, flow protocol.FlowKey) {
	r, ok := c.runs[flow]
	if !ok {
		return
	}
	c.learn(now.Sub(r.started))
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
	if r.last.IsZero() {
		r.first = now
	}
	if r.last.IsZero() || now.Sub(r.last) >= burstGap {
		r.bursts++
	}
	r.last = now
	if now.Sub(r.first) >= streamTime {
		c.EndRun(flow)
		return
	}
	if r.hidden && c.isResponse(now, r) {
		r.responding = true
		c.schedule(c.due(r))
	}
}

// isResponse reports whether the latest burst belongs to the response rather than to the handshake.
func (c *Counts) isResponse(now time.Time, r *run) bool {
	if r.responding || r.bursts > 1 || r.answered.IsZero() {
		return true
	}
	handshake := 2*r.answered.Sub(r.started) + handshakeSlack
	return now.Sub(r.answered) > handshake
}

// due is when a request is taken to have ended unless another packet is seen.
func (c *Counts) due(r *run) time.Time {
	switch {
	case !r.hidden:
		return r.started.Add(visibleRunLimit)
	case r.responding:
		return r.last.Add(quietTime)
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

// Sweep ends the requests that are due.
func (c *Counts) Sweep(now time.Time) {
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
		if r.responding {
			sum += r.last.Sub(r.started)
			ended++
		}
		c.EndRun(flow)
	}
	if ended > 0 {
		c.learn(sum / ended) // one mean, so that the order of the map has no effect
	}
}
