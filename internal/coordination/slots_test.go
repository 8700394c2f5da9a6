package coordination

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// slotTarget runs requests in slots; further requests wait.
type slotTarget struct {
	running int
	served  int
	queue   []func()
}

// slotLoad offers short requests, each on its own connection, to one service.
type slotLoad struct {
	f       *fleet
	slots   int
	mean    time.Duration
	targets map[protocol.Endpoint]*slotTarget
	// misplaced are the requests that met a full target while another had a free slot.
	requests, misplaced int
}

func (l *slotLoad) arrive(i int, every time.Duration, left int) {
	if left == 0 {
		return
	}
	c := l.f.newCaller(0, i)
	c.open()
	l.awaitOpen(c, i)
	gap := time.Duration(l.f.rng.ExpFloat64() * float64(every))
	l.f.after(gap, func() { l.arrive(i+1, every, left-1) })
}

// awaitOpen sends the request once the connection is open.
func (l *slotLoad) awaitOpen(c *fakeCaller, i int) {
	if !c.established {
		l.f.after(time.Millisecond, func() { l.awaitOpen(c, i) })
		return
	}
	l.f.after(l.f.latency()+l.f.latency(), func() { l.run(c, i) })
}

func (l *slotLoad) target(c *fakeCaller) *fakeTarget {
	for _, t := range l.f.targets {
		if conn := t.conns[c.key]; conn != nil && conn.openerTag == c.openerTag {
			return t
		}
	}
	return nil
}

// run begins a request at the target that holds the connection.
func (l *slotLoad) run(c *fakeCaller, i int) {
	t := l.target(c)
	assert.Assert(l.f.t, t != nil)
	s := l.targets[t.endpoint]
	l.requests++
	if s.running >= l.slots {
		for _, other := range l.targets {
			if other.running < l.slots {
				l.misplaced++
				break
			}
		}
	}
	if t.quic {
		t.send(c.key, protocol.KindData, c.openerTag+1, 0, i+1) // end of the handshake, session ticket
	}
	work := func() { l.work(c, t, s, i) }
	if s.running >= l.slots {
		s.queue = append(s.queue, work)
		return
	}
	work()
}

func (l *slotLoad) work(c *fakeCaller, t *fakeTarget, s *slotTarget, i int) {
	s.running++
	l.f.after(time.Duration(l.f.rng.ExpFloat64()*float64(l.mean)), func() {
		s.running--
		s.served++
		for range 3 {
			t.send(c.key, protocol.KindData, c.openerTag+1, 0, i+1)
		}
		if t.quic {
			delete(t.conns, c.key) // the caller closes; nothing shows it
		} else {
			l.f.after(4*time.Millisecond, c.close)
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// measureSlots returns the share of misplaced requests and the maximum over mean of served requests.
func measureSlots(t *testing.T, seed uint64, s testService, busy float64, o Options) (share, ratio float64) {
	const requests = 20_000
	f := newFleet(t, seed, 7, testSet(s), o)
	l := &slotLoad{f: f, slots: int(s.slots), mean: 200 * time.Millisecond, targets: make(map[protocol.Endpoint]*slotTarget)}
	for self := range f.targets {
		l.targets[self] = &slotTarget{}
	}
	every := float64(l.mean) / (busy * float64(s.slots) * float64(s.targets))
	l.arrive(0, time.Duration(every), requests)
	f.advance(time.Duration(requests*every) + 5*time.Second)
	most := 0.0
	for _, one := range l.targets {
		most = math.Max(most, float64(one.served))
	}
	return float64(l.misplaced) / float64(l.requests), most * float64(s.targets) / float64(l.requests)
}

// Guards the slots goals: at 70 % busy, at most 3 % of requests with a visible
// close and 12 % with a hidden one meet a full target while another has a free slot.
func TestRequestsMeetFreeSlots(t *testing.T) {
	skipStatistics(t)
	goals := map[objects.Protocol]float64{objects.ProtocolTCP: 0.03, objects.ProtocolQUIC: 0.12}
	for protocol, goal := range goals {
		for _, preference := range []objects.Preference{objects.PreferenceAffinity, objects.PreferenceEvenness} {
			for _, slots := range []uint32{2, 3} {
				s := testService{protocol, preference, 14, slots, 2000}
				share, ratio := measureSlots(t, 1, s, 0.7, Options{})
				t.Logf("%s, %s, %d slots: %.4f met a full target, maximum over mean %.3f", protocol, preference, slots, share, ratio)
				assert.Assert(t, share <= goal)
			}
		}
	}
}
