package transport

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Guards against handling packets that were queued during a freeze. With the stale
// view, this balancer could refuse an opener or select a target in contradiction to the
// flow's new owner.
func TestFreezeDiscardsBacklog(t *testing.T) {
	const backlog = 200
	core := &fakeCore{}
	h := newHarness(t, core)
	datagram := protocol.AppendGRE(nil, syn)
	for range backlog {
		h.send(h.fabric, datagram)
	}
	h.clock.advance(5 * time.Second) // as if the process had been frozen since New
	h.start()
	h.waitForCounter(groupFreeze, "freezes", 1)
	discarded := h.b.Counter(groupFreeze, "discarded") + h.b.Counter("drop", reasonReadAfterFreeze)
	assert.Equal(t, discarded, int64(backlog))
	assert.Equal(t, core.handledPackets.Load(), int64(0))
	assert.Equal(t, core.freezeCount.Load(), int64(1))
	assert.Equal(t, h.controlPlane.refreshCount.Load(), int64(1))
	assert.Equal(t, core.confirmCount.Load(), int64(1))

	h.send(h.fabric, datagram, datagram, datagram)
	h.waitForCounter("drop", "test", 3)
	assert.Equal(t, h.b.Counter(groupFreeze, "freezes"), int64(1))
}

// Guards against confirming a stale view when no peer responds after a freeze. The
// balancer would admit openers with it.
func TestFailedRefreshDoesNotConfirmView(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.controlPlane.failRefresh.Store(true)
	h.start()
	h.clock.advance(5 * time.Second)
	h.waitForCounter(groupFreeze, "freezes", 1)
	assert.Equal(t, h.controlPlane.refreshCount.Load(), int64(1))
	assert.Equal(t, core.confirmCount.Load(), int64(0))
}

// Guards against a reader that was blocked in a read when the process froze and then
// handles its packet as if it had just arrived. Also guards against readers that do not
// resume after recovery.
func TestReadersResumeAfterEachFreeze(t *testing.T) {
	core := &fakeCore{}
	h := newHarness(t, core)
	h.start()
	datagram := protocol.AppendGRE(nil, syn)
	for round := int64(1); round <= 5; round++ {
		h.send(h.fabric, datagram)
		h.waitForCounter("drop", "test", round)
		h.clock.advance(2 * time.Second)
		h.waitForCounter(groupFreeze, "freezes", round)
	}
	assert.Equal(t, core.freezeCount.Load(), int64(5))
}

// Guards against recovery that completes while a reader still holds a datagram that it
// read before the gate closed.
func TestRecoveryWaitsForReaders(t *testing.T) {
	start := time.Now()
	g := newGate(start, time.Second, 2)
	g.waitUntilOpen()
	assert.Assert(t, g.heartbeat(start.Add(900*time.Millisecond)))
	assert.Assert(t, g.checkHeartbeat(start.Add(1800*time.Millisecond)))
	frozenUntil := start.Add(2 * time.Second)
	assert.Assert(t, !g.checkHeartbeat(frozenUntil))
	assert.Assert(t, !g.heartbeat(frozenUntil))
	recovered := make(chan struct{})
	var ended atomic.Int64
	go func() {
		g.waitForReaders()
		assert.Check(t, ended.Load() == 1)
		g.open(frozenUntil)
		close(recovered)
	}()
	go g.waitUntilOpen()
	ended.Add(1)
	g.removeReader()
	<-recovered
	assert.Assert(t, g.checkHeartbeat(frozenUntil))
	assert.Equal(t, len(g.freezeDetected), 0)
}
