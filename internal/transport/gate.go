package transport

import (
	"sync"
	"sync/atomic"
	"time"
)

// gate notices that the process was frozen and keeps readers from the data
// socket until the balancer has recovered. The supervisor calls beat at short
// intervals; an interval longer than the gap means that the process did not run.
type gate struct {
	freezeGap time.Duration
	start     time.Time
	// last is the time of the last beat, since start on the monotonic clock.
	lastHeartbeat atomic.Int64
	closed        atomic.Bool
	// frozen wakes the supervisor.
	freezeDetected chan struct{}

	mu             sync.Mutex
	stateChanged   *sync.Cond
	activeReaders  int
	waitingReaders int
}

func newGate(now time.Time, freezeGap time.Duration, readers int) *gate {
	g := &gate{freezeGap: freezeGap, start: now, activeReaders: readers, freezeDetected: make(chan struct{}, 1)}
	g.stateChanged = sync.NewCond(&g.mu)
	return g
}

// beat records that the process runs. It reports false, and closes the gate,
// when the last beat is too long ago.
func (g *gate) heartbeat(now time.Time) bool {
	if !g.checkHeartbeat(now) {
		return false
	}
	g.lastHeartbeat.Store(int64(now.Sub(g.start)))
	return true
}

// fresh reports whether a datagram that was just read may be handled. When the
// last beat is too long ago, it closes the gate and wakes the supervisor.
func (g *gate) checkHeartbeat(now time.Time) bool {
	if g.closed.Load() {
		return false
	}
	if now.Sub(g.start)-time.Duration(g.lastHeartbeat.Load()) <= g.freezeGap {
		return true
	}
	g.closed.Store(true)
	select {
	case g.freezeDetected <- struct{}{}:
	default:
	}
	return false
}

// enter makes a reader wait until the gate is open.
func (g *gate) waitUntilOpen() {
	if !g.closed.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitingReaders++
	g.stateChanged.Broadcast()
	for g.closed.Load() {
		g.stateChanged.Wait()
	}
	g.waitingReaders--
}

// leave tells that a reader has ended.
func (g *gate) removeReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeReaders--
	g.stateChanged.Broadcast()
}

// awaitReaders returns when every reader waits at the closed gate, so that none
// holds a datagram that it read before.
func (g *gate) waitForReaders() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.waitingReaders < g.activeReaders {
		g.stateChanged.Wait()
	}
}

// open lets readers continue.
func (g *gate) open(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.freezeDetected: // a reader noticed the same gap
	default:
	}
	g.lastHeartbeat.Store(int64(now.Sub(g.start)))
	g.closed.Store(false)
	g.stateChanged.Broadcast()
}
