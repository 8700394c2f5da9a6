package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncLines is how many log lines wait for a slow reader of the log stream.
	asyncQueueLines = 1024
	// asyncRate and asyncBurst bound the log volume of a process, in lines a second
	// and lines. Three times the openers of a balancer at the size of two years fit.
	asyncLinesPerSecond = rate.Limit(250)
	asyncBurstLines     = 1000
	// asyncFlush is how long Close waits for lines that were not written yet.
	asyncCloseTimeout = 200 * time.Millisecond
)

// AsyncWriter passes log lines on without ever blocking the process. Lines
// beyond its rate or its queue are lost and counted.
type AsyncWriter struct {
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	// closing is closed by Close, done once the queued lines are written.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer that passes lines on to w.
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

// Write queues one line. It never fails and never blocks.
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

// Dropped is the number of lines that were lost.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits for a short time until the queued lines are written. Lines that
// other parts of the process write after it are lost.
func (a *AsyncWriter) Close() error {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(asyncCloseTimeout):
	}
	return nil
}

// pass writes lines until the writer is closed and its queue is empty.
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
		a.dropped.Add(1) // the log stream is the only place to report to
	}
}
