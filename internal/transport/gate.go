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
	gap   time.Duration
	start time.Time
	// last is the time of the last beat, since start on the monotonic clock.
	last   atomic.Int64
	closed atomic.Bool
	// frozen wakes the supervisor.
	frozen chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	readers int
	waiting int
}

func newGate(now time.Time, gap time.Duration, readers int) *gate {
	g := &gate{gap: gap, start: now, readers: readers, frozen: make(chan struct{}, 1)}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// beat records that the process runs. It reports false, and closes the gate,
// when the last beat is too long ago.
func (g *gate) beat(now time.Time) bool {
	if !g.fresh(now) {
		return false
	}
	g.last.Store(int64(now.Sub(g.start)))
	return true
}

// fresh reports whether a datagram that was just read may be handled. When the
// last beat is too long ago, it closes the gate and wakes the supervisor.
func (g *gate) fresh(now time.Time) bool {
	if g.closed.Load() {
		return false
	}
	if now.Sub(g.start)-time.Duration(g.last.Load()) <= g.gap {
		return true
	}
	g.closed.Store(true)
	select {
	case g.frozen <- struct{}{}:
	default:
	}
	return false
}

// enter makes a reader wait until the gate is open.
func (g *gate) enter() {
	if !g.closed.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting++
	g.changed.Broadcast()
	for g.closed.Load() {
		g.changed.Wait()
	}
	g.waiting--
}

// leave tells that a reader has ended.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	g.changed.Broadcast()
}

// awaitReaders returns when every reader waits at the closed gate, so that none
// holds a datagram that it read before.
func (g *gate) awaitReaders() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.waiting < g.readers {
		g.changed.Wait()
	}
}

// open lets readers continue.
func (g *gate) open(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.frozen: // a reader noticed the same gap
	default:
	}
	g.last.Store(int64(now.Sub(g.start)))
	g.closed.Store(false)
	g.changed.Broadcast()
}
