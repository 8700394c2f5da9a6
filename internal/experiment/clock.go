// Package experiment measures the decision code under seeded load and failures:
// broken flows, use of slots, and imbalance across targets. Several dispatchers
// with their own views run over a small emulated network with fake time.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to run at a time; sequence keeps the order of events of one time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// clock is the fake time of one run, with its events and its random numbers.
type clock struct {
	now      time.Time
	start    time.Time
	queue    eventQueue
	sequence uint64
	random   *rand.Rand
}

func newClock(seed uint64) *clock {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &clock{now: start, start: start, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// after runs f when d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.sequence, run: f})
}

// every runs f each interval until the run ends.
func (c *clock) every(interval time.Duration, f func()) {
	c.after(interval, func() {
		f()
		c.every(interval, f)
	})
}

// runUntil processes events up to the given time since the start.
func (c *clock) runUntil(d time.Duration) {
	end := c.start.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// within returns a random duration in [low, high).
func (c *clock) within(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// exponential returns a random duration with the given mean.
func (c *clock) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}
