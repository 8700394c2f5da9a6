package transport

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards against packets queued during a freeze that are decided with a stale
// view: a refusal or a target choice could contradict the new owner.
func TestFreezeDiscardsBacklog(t *testing.T) {
	const backlog = 200
	core := &fakeCore{}
	h := newHarness(t, core)
	datagram := protocol.AppendGRE(nil, syn)
	for range backlog {
		h.send(h.fabric, datagram)
	}
	h.clock.advance(5 * time.Second) // the balancer did not run since New
	h.run()
	h.waitCount(groupFreeze, "freezes", 1)
	discarded := h.b.Counter(groupFreeze, "discarded") + h.b.Counter("drop", reasonStale)
	assert.Equal(t, discarded, int64(backlog))
	assert.Equal(t, core.handled.Load(), int64(0))
	assert.Equal(t, core.freezes.Load(), int64(1))
	assert.Equal(t, h.plane.refreshed.Load(), int64(1))
	assert.Equal(t, core.confirmed.Load(), int64(1))

	h.send(h.fabric, datagram, datagram, datagram)
	h.waitCount("drop", "test", 3)
	assert.Equal(t, h.b.Counter(groupFreeze, "freezes"), int64(1))
}

// Guards against admissions with a stale view when no peer answered after a freeze.
func TestFreezeWithoutAnswerConfirmsNothing(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.plane.silent.Store(true)
	h.run()
	h.clock.advance(5 * time.Second)
	h.waitCount(groupFreeze, "freezes", 1)
	assert.Equal(t, h.plane.refreshed.Load(), int64(1))
	assert.Equal(t, core.confirmed.Load(), int64(0))
}

// Guards against a reader that waited in the socket before the freeze and takes
// its packet for a fresh one, and against readers that stay locked out.
func TestFreezeWhileReading(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.run()
	datagram := protocol.AppendGRE(nil, syn)
	for round := int64(1); round <= 5; round++ {
		h.send(h.fabric, datagram)
		h.waitCount("drop", "test", round)
		h.clock.advance(2 * time.Second)
		h.waitCount(groupFreeze, "freezes", round)
	}
	assert.Equal(t, core.freezes.Load(), int64(5))
}

// Guards against recovery that ends while a reader still holds a datagram from
// before the freeze.
func TestGateWaitsForReaders(t *testing.T) {
	start := time.Now()
	g := newGate(start, time.Second, 2)
	g.enter()
	assert.Assert(t, g.beat(start.Add(900*time.Millisecond)))
	assert.Assert(t, g.fresh(start.Add(1800*time.Millisecond)))
	late := start.Add(2 * time.Second)
	assert.Assert(t, !g.fresh(late))
	assert.Assert(t, !g.beat(late))
	recovered := make(chan struct{})
	var ended atomic.Int64
	go func() {
		g.awaitReaders()
		assert.Check(t, ended.Load() == 1)
		g.open(late)
		close(recovered)
	}()
	go g.enter()
	ended.Add(1)
	g.leave()
	<-recovered
	assert.Assert(t, g.fresh(late))
	assert.Equal(t, len(g.frozen), 0)
}
