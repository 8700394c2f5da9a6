package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncQueueLines is the maximum number of log lines that are queued for a slow
	// reader of the log stream.
	asyncQueueLines = 1024
	// asyncLinesPerSecond and asyncBurstLines limit the log volume of a process. A
	// balancer stays within them at three times the rate of openers that it would
	// receive at the fleet size expected in two years.
	asyncLinesPerSecond = rate.Limit(250)
	asyncBurstLines     = 1000
	// asyncCloseTimeout limits how long Close waits for the queued lines to be written.
	asyncCloseTimeout = 200 * time.Millisecond
)

// AsyncWriter writes log lines without ever blocking the process. Lines that exceed
// the rate limit or the queue are dropped and counted.
type AsyncWriter struct {
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	// closing is closed by Close; done is closed when the queued lines are written.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer that writes the lines to w from its own goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		queue:   make(chan []byte, asyncQueueLines),
		limiter: rate.NewLimiter(asyncLinesPerSecond, asyncBurstLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.writeQueued(w)
	return a
}

// Write queues one line, or drops it. It never fails and never blocks.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.limiter.Allow() {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits until the queued lines are written, or until asyncCloseTimeout. Lines
// written after Close are lost.
func (a *AsyncWriter) Close() error {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(asyncCloseTimeout):
	}
	return nil
}

// writeQueued writes queued lines until the writer is closed and the queue is empty.
func (a *AsyncWriter) writeQueued(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.queue:
			a.writeLine(w, line)
			continue
		default:
		}
		select {
		case line := <-a.queue:
			a.writeLine(w, line)
		case <-a.closing:
			if len(a.queue) == 0 {
				return
			}
		}
	}
}

func (a *AsyncWriter) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		a.dropped.Add(1) // the error cannot be logged: this is the log stream
	}
}
