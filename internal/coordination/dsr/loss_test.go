package dsr

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossyNetwork simulates callers with long flows over a network that loses packets. All
// targets are alive and answer a request within 20 ms.
type lossyNetwork struct {
	*testBalancer
	random   *rand.Rand
	loss     float64
	pending  map[*callerFlow]*pendingRequest
	resets   int
	requests int
}

// roundTripDelivered draws at random whether a packet and its answer both arrive.
func (n *lossyNetwork) roundTripDelivered() bool {
	for range 2 {
		if n.random.Float64() < n.loss {
			return false
		}
	}
	return true
}

// pendingRequest is the in-flight request of a flow.
type pendingRequest struct {
	c                 *callerFlow
	nextAt            time.Time // of the next retransmission, or of the acknowledgement of the response
	retransmitTimeout time.Duration
	delivered         bool
}

// run sends requests at a rate per second, in steps of 10 ms.
func (n *lossyNetwork) run(flows []*callerFlow, requestsPerSecond float64, duration time.Duration) {
	const step = 10 * time.Millisecond
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(step) {
		n.d.Tick(n.now)
		for i, c := range flows {
			req := n.pending[c]
			switch {
			case req == nil && n.random.Float64() < requestsPerSecond/float64(len(flows))*step.Seconds():
				req = &pendingRequest{c: c, retransmitTimeout: 200 * time.Millisecond}
				n.pending[c] = req
				n.requests++
				n.transmit(req, c.sendRequest(100))
			case req == nil || n.now.Before(req.nextAt):
			case req.delivered:
				delete(n.pending, c)
				c.ackResponse(1000)
			default:
				req.retransmitTimeout *= 2
				n.transmit(req, c.retransmit(100))
			}
			if req != nil && req.c == nil { // reset
				delete(n.pending, c)
				flows[i] = n.newFlow(0).open()
			}
		}
	}
}

// transmit simulates the delivery of a packet that the balancer has forwarded or reset.
func (n *lossyNetwork) transmit(req *pendingRequest, d Decision) {
	if d.Action == ActionReset {
		n.resets++
		req.c = nil
		return
	}
	req.delivered = n.roundTripDelivered()
	req.nextAt = n.now.Add(req.retransmitTimeout)
	if req.delivered {
		req.nextAt = n.now.Add(20 * time.Millisecond)
	}
}

func newLossyNetwork(t *testing.T, loss float64, seed uint64) (*lossyNetwork, []*callerFlow) {
	return newLossyNetworkOn(newTestBalancer(t, 18), loss, seed)
}

func newLossyNetworkOn(b *testBalancer, loss float64, seed uint64) (*lossyNetwork, []*callerFlow) {
	n := &lossyNetwork{testBalancer: b, random: rand.New(rand.NewPCG(seed, 2)), loss: loss, pending: map[*callerFlow]*pendingRequest{}}
	var flows []*callerFlow
	for range 60 {
		flows = append(flows, n.newFlow(0).open())
	}
	return n, flows
}

// Guards against resetting flows of live targets on a network that loses packets all the
// time. Two losses in a row without an answer between them are not rare there. A loss of
// 1 % each way reset eight flows on a day with little traffic.
func TestSteadyLossResetsNoFlow(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical, in one goroutine")
	}
	for _, loss := range []float64{0.002, 0.01, 0.03} {
		n, flows := newLossyNetwork(t, loss, 1)
		n.run(flows, 60, 10*time.Minute)
		assert.Assert(t, n.requests > 30_000)
		assert.Equal(t, n.resets, 0, "loss %v: %d requests", loss, n.requests)
	}
}

// Guards against detecting dead targets late on a network without loss, or never on one
// that loses packets.
func TestLossOnlyDelaysFailureDetection(t *testing.T) {
	for loss, maxThreshold := range map[float64]int{0: minFailureThreshold, 0.01: 5} {
		n, flows := newLossyNetwork(t, loss, 1)
		n.run(flows, 60, time.Minute)
		assert.Assert(t, n.d.loss.failureThreshold() <= maxThreshold, "loss %v: %d", loss, n.d.loss.failureThreshold())
		dead := flows[0]
		other := n.openToOther(dead.target)
		dead.sendRequest(100)
		reset := false
		for range n.d.loss.failureThreshold() {
			n.advance(200 * time.Millisecond)
			other.exchange()
			reset = dead.retransmit(100).Action == ActionReset
		}
		assert.Assert(t, reset, "loss %v", loss)
	}
}

// Guards against an inaccurate loss rate. The estimate is based on retransmissions, so it
// includes the loss of packets and of answers.
func TestLossRateEstimate(t *testing.T) {
	n, flows := newLossyNetwork(t, 0.02, 1)
	n.run(flows, 60, time.Minute)
	assert.Assert(t, math.Abs(n.d.loss.lossRate()-0.04) < 0.015, "%v", n.d.loss.lossRate())
}

// Guards against counting the outage of a target as packet loss when the target answers again.
func TestTargetOutageIsNotCountedAsLoss(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	b.advance(time.Second)
	c.sendRequest(100)
	for range 8 {
		b.advance(400 * time.Millisecond)
		c.retransmit(100)
	}
	c.ackResponse(10)
	assert.Equal(t, b.d.loss.failureThreshold(), minFailureThreshold)
}

// Guards against resetting flows of live targets while the balancer's own link drops most
// packets. A VM that took over the load of another one on a link of 3 Mbit/s reset 16 flows.
func TestLocalLinkOverloadResetsNoFlow(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical, in one goroutine")
	}
	for seed := range uint64(5) {
		n, flows := newLossyNetwork(t, 0, seed)
		for range 15 {
			assert.Assert(t, n.d.loss.failureThreshold() <= minFailureThreshold+1, "the losses are far apart")
			n.loss = 0.8
			n.run(flows, 120, 1500*time.Millisecond)
			n.loss = 0
			n.run(flows, 120, time.Minute)
		}
		assert.Equal(t, n.resets, 0, "seed %d: %d requests", seed, n.requests)
	}
}

// Guards against callers waiting for the targets of a partitioned place, because so many
// silent targets are attributed to a fault of the balancer.
func TestFlowsOfPartitionedPlaceAreReset(t *testing.T) {
	b := newTestBalancer(t, 18)
	byPlace := map[string][]*callerFlow{}
	for range 60 {
		c := b.newFlow(0).open()
		byPlace[c.target.Place] = append(byPlace[c.target.Place], c)
	}
	b.advance(time.Second)
	partitioned := append(append([]*callerFlow(nil), byPlace["b"]...), byPlace["c"]...)
	for _, c := range partitioned {
		c.sendRequest(100)
	}
	resets := 0
	for range 3 {
		b.advance(250 * time.Millisecond)
		for _, c := range byPlace["a"] {
			c.exchange()
		}
		for _, c := range partitioned {
			if c.retransmit(100).Action == ActionReset {
				resets++
			}
		}
	}
	assert.Assert(t, resets >= len(partitioned), "%d resets for %d flows", resets, len(partitioned))
}

// Guards against resetting flows of live targets by a balancer that has just started on a
// network that loses packets and has not seen any loss yet.
func TestSteadyLossResetsNoFlowAfterStart(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical, in one goroutine")
	}
	resets, requests := 0, 0
	for seed := range uint64(2000) {
		n, flows := newLossyNetworkOn(newTestBalancerInWarmup(t, 18), 0.01, seed)
		n.run(flows, 60, 5*time.Second)
		resets, requests = resets+n.resets, requests+n.requests
	}
	assert.Equal(t, resets, 0, "%d requests", requests)
}

// Guards against a warm-up of the loss estimate that never ends on a network without loss,
// so that callers wait for dead targets, and against one that ends too early.
func TestCleanNetworkEndsWarmup(t *testing.T) {
	for packets, reset := range map[int]bool{warmupPackets - 1: false, warmupPackets: true} {
		b := newTestBalancerInWarmup(t, 3)
		c := b.newFlow(0).open()
		other := b.openToOther(c.target)
		for b.d.loss.totalSent < packets-minFailureThreshold {
			other.exchange()
		}
		b.advance(time.Second)
		wasReset := b.retransmitsUntilReset(c, other)
		assert.Equal(t, b.d.loss.totalSent, packets)
		assert.Equal(t, wasReset, reset, "after %d packets", packets)
	}
}

// Guards against open flows that wait for their timeout at a dead target, because this
// balancer sees too few packets to learn that the network loses none: at 40 balancers a
// place the warm-up took a minute. Also guards against taking the loss of the place for
// smaller than it is.
func TestPacketsOfThePlaceEndTheWarmup(t *testing.T) {
	for _, test := range []struct {
		packets, lost float64
		wantReset     bool
	}{
		{packets: 0, wantReset: false},
		{packets: warmupPackets - 1, wantReset: false},
		{packets: 5000, wantReset: true},
		{packets: 5000, lost: 100, wantReset: false}, // 2 % are lost
	} {
		b := newTestBalancerInWarmup(t, 3)
		b.d.SetPlaceLoss(test.packets, test.lost)
		c := b.newFlow(0).open()
		other := b.openToOther(c.target)
		b.advance(time.Second)
		reset := b.retransmitsUntilReset(c, other)
		assert.Equal(t, reset, test.wantReset, "%.0f packets of the place, %.0f of them lost", test.packets, test.lost)
	}
}

// retransmitsUntilReset sends a request on c, whose target is dead, and as many
// retransmissions as lead to a reset on a network without loss. It reports whether the
// last one did. The target of other answers meanwhile.
func (b *testBalancer) retransmitsUntilReset(c, other *callerFlow) bool {
	c.sendRequest(100)
	var last Decision
	for range minFailureThreshold {
		b.advance(250 * time.Millisecond)
		other.exchange()
		last = c.retransmit(100)
	}
	return last.Action == ActionReset
}
