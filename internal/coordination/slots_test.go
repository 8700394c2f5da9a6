package coordination

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// slotTarget runs at most one request per slot; further requests wait in a queue.
type slotTarget struct {
	running int
	served  int
	queue   []func()
}

// slotLoad generates short requests, each on its own connection, to one service.
type slotLoad struct {
	f               *fleet
	slotsPerTarget  int
	meanServiceTime time.Duration
	targets         map[protocol.Endpoint]*slotTarget
	// requests counts all requests, misplaced those that were sent to a target
	// without a free slot while another target had one.
	requests, misplaced int
}

func (l *slotLoad) scheduleArrivals(i int, interval time.Duration, left int) {
	if left == 0 {
		return
	}
	c := l.f.newCaller(0, i)
	c.open()
	l.sendWhenOpen(c, i)
	gap := time.Duration(l.f.rng.ExpFloat64() * float64(interval))
	l.f.schedule(gap, func() { l.scheduleArrivals(i+1, interval, left-1) })
}

// sendWhenOpen polls until the connection is open, then sends the request.
func (l *slotLoad) sendWhenOpen(c *fakeCaller, i int) {
	if !c.established {
		l.f.schedule(time.Millisecond, func() { l.sendWhenOpen(c, i) })
		return
	}
	l.f.schedule(l.f.randomLatency()+l.f.randomLatency(), func() { l.startRequest(c, i) })
}

func (l *slotLoad) targetOf(c *fakeCaller) *fakeTarget {
	for _, t := range l.f.targets {
		if conn := t.conns[c.key]; conn != nil && conn.openerTag == c.openerTag {
			return t
		}
	}
	return nil
}

// startRequest runs or queues a request at the target that has the connection.
func (l *slotLoad) startRequest(c *fakeCaller, i int) {
	t := l.targetOf(c)
	assert.Assert(l.f.t, t != nil)
	slots := l.targets[t.endpoint]
	l.requests++
	if slots.running >= l.slotsPerTarget {
		for _, other := range l.targets {
			if other.running < l.slotsPerTarget {
				l.misplaced++
				break
			}
		}
	}
	if t.quic {
		t.send(c.key, protocol.KindData, c.openerTag+1, 0, i+1) // as the end of the handshake with the session ticket
	}
	serveRequest := func() { l.serve(c, t, slots, i) }
	if slots.running >= l.slotsPerTarget {
		slots.queue = append(slots.queue, serveRequest)
		return
	}
	serveRequest()
}

func (l *slotLoad) serve(c *fakeCaller, t *fakeTarget, slots *slotTarget, i int) {
	slots.running++
	l.f.schedule(time.Duration(l.f.rng.ExpFloat64()*float64(l.meanServiceTime)), func() {
		slots.running--
		slots.served++
		for range 3 {
			t.send(c.key, protocol.KindData, c.openerTag+1, 0, i+1)
		}
		if t.quic {
			delete(t.conns, c.key) // the caller's close is encrypted, so balancers cannot see it
		} else {
			l.f.schedule(4*time.Millisecond, c.close)
		}
		if len(slots.queue) > 0 {
			next := slots.queue[0]
			slots.queue = slots.queue[1:]
			next()
		}
	})
}

// measureSlots returns the share of misplaced requests, and the maximum over the
// mean of the requests that each target served.
func measureSlots(t *testing.T, seed uint64, s testService, utilization float64, o Options) (misplacedShare, imbalance float64) {
	const requests = 20_000
	f := newFleet(t, seed, 7, newTestSet(s), o)
	l := &slotLoad{f: f, slotsPerTarget: int(s.slots), meanServiceTime: 200 * time.Millisecond, targets: make(map[protocol.Endpoint]*slotTarget)}
	for endpoint := range f.targets {
		l.targets[endpoint] = &slotTarget{}
	}
	interval := float64(l.meanServiceTime) / (utilization * float64(s.slots) * float64(s.targets))
	l.scheduleArrivals(0, time.Duration(interval), requests)
	f.advance(time.Duration(requests*interval) + 5*time.Second)
	highest := 0.0
	for _, target := range l.targets {
		highest = math.Max(highest, float64(target.served))
	}
	return float64(l.misplaced) / float64(l.requests), highest * float64(s.targets) / float64(l.requests)
}

// Guards the limits on misplaced requests: at 70 % utilization, at most 3 % of the
// requests over TCP, whose close balancers see, and 12 % over QUIC, whose close is
// hidden, reach a target without a free slot while another target has one.
func TestRequestsReachFreeSlots(t *testing.T) {
	skipInShortMode(t)
	limits := map[objects.Protocol]float64{objects.ProtocolTCP: 0.03, objects.ProtocolQUIC: 0.12}
	for proto, limit := range limits {
		for _, preference := range []objects.Preference{objects.PreferenceAffinity, objects.PreferenceEvenness} {
			for _, slots := range []uint32{2, 3} {
				s := testService{proto, preference, 14, slots, 2000}
				misplacedShare, imbalance := measureSlots(t, 1, s, 0.7, Options{})
				t.Logf("%s, %s, %d slots: %.4f reached a target without a free slot, maximum over mean %.3f", proto, preference, slots, misplacedShare, imbalance)
				assert.Assert(t, misplacedShare <= limit)
			}
		}
	}
}
