package transport

import (
	"sync"
	"sync/atomic"
	"time"
)

// gate detects that the process was frozen and keeps readers from reading the data
// socket until the balancer has recovered. The supervisor calls heartbeat at short
// intervals; an interval longer than freezeGap means that the process did not run.
type gate struct {
	freezeGap time.Duration
	start     time.Time
	// lastHeartbeat is the time of the last heartbeat, in nanoseconds since start on
	// the monotonic clock.
	lastHeartbeat atomic.Int64
	closed        atomic.Bool
	// freezeDetected signals the supervisor that the gate was closed.
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

// heartbeat records that the process is running. It returns false without recording
// if the gate is closed or the last heartbeat is more than freezeGap ago. In the
// latter case it closes the gate.
func (g *gate) heartbeat(now time.Time) bool {
	if !g.checkHeartbeat(now) {
		return false
	}
	g.lastHeartbeat.Store(int64(now.Sub(g.start)))
	return true
}

// checkHeartbeat reports whether a datagram that was just read may be handled: the
// gate is open and the last heartbeat is at most freezeGap ago. If the heartbeat is
// older, it closes the gate and signals the supervisor.
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

// waitUntilOpen blocks the calling reader until the gate is open.
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

// removeReader records that a reader has ended, so that waitForReaders does not wait for it.
func (g *gate) removeReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeReaders--
	g.stateChanged.Broadcast()
}

// waitForReaders returns once every reader waits at the closed gate. No reader then
// holds a datagram that it read before the gate closed.
func (g *gate) waitForReaders() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.waitingReaders < g.activeReaders {
		g.stateChanged.Wait()
	}
}

// open restarts the heartbeat interval at now, opens the gate and wakes the waiting readers.
func (g *gate) open(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.freezeDetected: // a reader detected the same freeze
	default:
	}
	g.lastHeartbeat.Store(int64(now.Sub(g.start)))
	g.closed.Store(false)
	g.stateChanged.Broadcast()
}
