package dsr

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossyNetwork plays callers with long flows over a network that loses packets. All
// targets live and answer a request within 20 ms.
type lossyNetwork struct {
	*testBalancer
	random *rand.Rand
	loss   float64
	busy   map[*callerFlow]*exchange
	resets int
	sent   int
}

// answered reports whether a packet and its answer both arrive.
func (n *lossyNetwork) answered() bool {
	for range 2 {
		if n.random.Float64() < n.loss {
			return false
		}
	}
	return true
}

// exchange is one request of a flow in progress: when it was sent, and its copies.
type exchange struct {
	c      *callerFlow
	nextAt time.Time // of the next copy, or of the acknowledgement of the answer
	wait   time.Duration
	done   bool
}

// play runs requests at a rate per second, in steps of 10 ms.
func (n *lossyNetwork) play(calls []*callerFlow, perSecond float64, d time.Duration) {
	const step = 10 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		n.d.Tick(n.now)
		for i, c := range calls {
			x := n.busy[c]
			switch {
			case x == nil && n.random.Float64() < perSecond/float64(len(calls))*step.Seconds():
				x = &exchange{c: c, wait: 200 * time.Millisecond}
				n.busy[c] = x
				n.sent++
				n.transmit(x, c.sendRequest(100))
			case x == nil || n.now.Before(x.nextAt):
			case x.done:
				delete(n.busy, c)
				c.ackResponse(1000)
			default:
				x.wait *= 2
				n.transmit(x, c.retransmit(100))
			}
			if x != nil && x.c == nil { // reset
				delete(n.busy, c)
				calls[i] = n.newFlow(0).open()
			}
		}
	}
}

// transmit decides what becomes of a packet that the balancer forwarded.
func (n *lossyNetwork) transmit(x *exchange, d Decision) {
	if d.Action == ActionReset {
		n.resets++
		x.c = nil
		return
	}
	x.done = n.answered()
	x.nextAt = n.now.Add(x.wait)
	if x.done {
		x.nextAt = n.now.Add(20 * time.Millisecond)
	}
}

func newLossyNetwork(t *testing.T, loss float64, seed uint64) (*lossyNetwork, []*callerFlow) {
	return newNetworkOf(newTestBalancer(t, 18), loss, seed)
}

func newNetworkOf(b *testBalancer, loss float64, seed uint64) (*lossyNetwork, []*callerFlow) {
	n := &lossyNetwork{testBalancer: b, random: rand.New(rand.NewPCG(seed, 2)), loss: loss, busy: map[*callerFlow]*exchange{}}
	var calls []*callerFlow
	for range 60 {
		calls = append(calls, n.newFlow(0).open())
	}
	return n, calls
}

// Guards against resets of flows whose target lives, on a network that loses
// packets all the time: two losses without a sign of life between them are not
// rare there. 1 % of loss each way reset eight flows on a quiet day.
func TestSteadyLossResetsNoFlow(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical, in one goroutine")
	}
	for _, loss := range []float64{0.002, 0.01, 0.03} {
		n, calls := newLossyNetwork(t, loss, 1)
		n.play(calls, 60, 10*time.Minute)
		assert.Assert(t, n.sent > 30_000)
		assert.Equal(t, n.resets, 0, "loss %v: %d requests", loss, n.sent)
	}
}

// Guards against dead targets that are found out late on a network without loss,
// and never on one that loses packets.
func TestLossDelaysTheVerdictOnly(t *testing.T) {
	for loss, most := range map[float64]int{0: strikesToReset, 0.01: 5} {
		n, calls := newLossyNetwork(t, loss, 1)
		n.play(calls, 60, time.Minute)
		assert.Assert(t, n.d.loss.strikes() <= most, "loss %v: %d", loss, n.d.loss.strikes())
		dead := calls[0]
		other := n.openToOther(dead.target)
		dead.sendRequest(100)
		reset := false
		for range n.d.loss.strikes() {
			n.advance(200 * time.Millisecond)
			other.exchange()
			reset = dead.retransmit(100).Action == ActionReset
		}
		assert.Assert(t, reset, "loss %v", loss)
	}
}

// Guards against an estimate that is off: it sees copies, so the loss of packets
// and of answers together.
func TestLossIsEstimated(t *testing.T) {
	n, calls := newLossyNetwork(t, 0.02, 1)
	n.play(calls, 60, time.Minute)
	assert.Assert(t, math.Abs(n.d.loss.share()-0.04) < 0.015, "%v", n.d.loss.share())
}

// Guards against a cut of a target that counts as loss once it has healed.
func TestSilenceOfATargetIsNoLoss(t *testing.T) {
	b := newTestBalancer(t, 3)
	c := b.newFlow(0).open()
	b.advance(time.Second)
	c.sendRequest(100)
	for range 8 {
		b.advance(400 * time.Millisecond)
		c.retransmit(100)
	}
	c.ackResponse(10)
	assert.Equal(t, b.d.loss.strikes(), strikesToReset)
}

// Guards against resets of flows whose targets live, because the balancer's own
// link drops most packets for a while: a VM that took over the load of another one
// on a link of 3 Mbit/s reset 16 flows.
func TestOwnOverloadResetsNoFlow(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical, in one goroutine")
	}
	for seed := range uint64(5) {
		n, calls := newLossyNetwork(t, 0, seed)
		for range 15 {
			assert.Assert(t, n.d.loss.strikes() <= strikesToReset+1, "the losses are far apart")
			n.loss = 0.8
			n.play(calls, 120, 1500*time.Millisecond)
			n.loss = 0
			n.play(calls, 120, time.Minute)
		}
		assert.Equal(t, n.resets, 0, "seed %d: %d requests", seed, n.sent)
	}
}

// Guards against callers that wait for the targets of a place that is cut off,
// because so many silent targets are put down to the balancer.
func TestFlowsOfACutPlaceAreReset(t *testing.T) {
	b := newTestBalancer(t, 18)
	byPlace := map[string][]*callerFlow{}
	for range 60 {
		c := b.newFlow(0).open()
		byPlace[c.target.Place] = append(byPlace[c.target.Place], c)
	}
	b.advance(time.Second)
	cut := append(append([]*callerFlow(nil), byPlace["b"]...), byPlace["c"]...)
	for _, c := range cut {
		c.sendRequest(100)
	}
	resets := 0
	for range 3 {
		b.advance(250 * time.Millisecond)
		for _, c := range byPlace["a"] {
			c.exchange()
		}
		for _, c := range cut {
			if c.retransmit(100).Action == ActionReset {
				resets++
			}
		}
	}
	assert.Assert(t, resets >= len(cut), "%d resets for %d flows", resets, len(cut))
}

// Guards against resets of flows whose target lives, by a balancer that has just
// started on a network that loses packets and has not seen any loss yet.
func TestSteadyLossResetsNoFlowAfterAStart(t *testing.T) {
	if testing.Short() {
		t.Skip("statistical, in one goroutine")
	}
	resets, sent := 0, 0
	for seed := range uint64(2000) {
		n, calls := newNetworkOf(newUnprimedTestBalancer(t, 18), 0.01, seed)
		n.play(calls, 60, 5*time.Second)
		resets, sent = resets+n.resets, sent+n.sent
	}
	assert.Equal(t, resets, 0, "%d requests", sent)
}

// Guards against a balancer that never comes to trust a clean network, so that
// callers wait for dead targets, and against one that trusts it too soon.
func TestCleanNetworkIsLearned(t *testing.T) {
	for packets, reset := range map[int]bool{learnPackets - 1: false, learnPackets: true} {
		b := newUnprimedTestBalancer(t, 3)
		c := b.newFlow(0).open()
		other := b.openToOther(c.target)
		for b.d.loss.seen < packets-strikesToReset {
			other.exchange()
		}
		b.advance(time.Second)
		c.sendRequest(100)
		var last Decision
		for range strikesToReset {
			b.advance(250 * time.Millisecond)
			other.exchange()
			last = c.retransmit(100)
		}
		assert.Equal(t, b.d.loss.seen, packets)
		assert.Equal(t, last.Action == ActionReset, reset, "after %d packets", packets)
	}
}
