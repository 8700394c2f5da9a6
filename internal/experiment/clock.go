// Package experiment measures the dispatcher under simulated load and failures:
// broken flows, slot use, and imbalance across targets. Several dispatchers, each
// with its own view, run on a small emulated network in fake time. The same seed
// gives the same result.
package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/faketime"
)

// clock holds the fake time, the event queue and the random number generator of one run.
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

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) {
	c.queue.Schedule(c.now.Add(d), f)
}

// every schedules f to run at each interval until the run ends.
func (c *clock) every(interval time.Duration, f func()) {
	c.after(interval, func() {
		f()
		c.every(interval, f)
	})
}

// runUntil processes all events up to the given time since the start.
func (c *clock) runUntil(d time.Duration) { c.queue.RunUntil(&c.now, c.start.Add(d)) }

// uniform returns a uniformly distributed random duration in [low, high).
func (c *clock) uniform(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// exponential returns an exponentially distributed random duration with the given mean.
func (c *clock) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}
