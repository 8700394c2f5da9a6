// Package experiment measures the decision code under seeded load and failures:
// broken flows, use of slots, and imbalance across targets. Several dispatchers
// with their own views run over a small emulated network with fake time.
package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/faketime"
)

// clock is the fake time of one run, with its events and its random numbers.
type clock struct {
	now    time.Time
	start  time.Time
	queue  faketime.Queue
	random *rand.Rand
}

func newClock(seed uint64) *clock {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &clock{now: start, start: start, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// after runs f when d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.queue.Schedule(c.now.Add(d), f)
}

// every runs f each interval until the run ends.
func (c *clock) every(interval time.Duration, f func()) {
	c.after(interval, func() {
		f()
		c.every(interval, f)
	})
}

// runUntil processes events up to the given time since the start.
func (c *clock) runUntil(d time.Duration) { c.queue.RunUntil(&c.now, c.start.Add(d)) }

// within returns a random duration in [low, high).
func (c *clock) uniform(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// exponential returns a random duration with the given mean.
func (c *clock) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}
