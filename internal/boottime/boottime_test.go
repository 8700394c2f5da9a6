package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a clock that runs backwards, that stands still, or whose results lose
// their monotonic reading, so that a step of the wall clock would change differences.
func TestNowAdvances(t *testing.T) {
	before := Now()
	time.Sleep(5 * time.Millisecond)
	after := Now()
	assert.Assert(t, after.Sub(before) >= 5*time.Millisecond, "%s", after.Sub(before))
	assert.Assert(t, Since(after) >= 0)
	assert.Assert(t, before.Round(0) != before, "the result has no monotonic reading")
}

// Guards against a clock that never counts a suspension, or that runs backwards after it.
func TestClockCountsSuspensions(t *testing.T) {
	var suspended time.Duration
	c := NewClock(func() time.Time { return Now().Add(suspended) })
	before := c.Refresh()
	suspended = 20 * time.Second
	assert.Assert(t, c.Now().Sub(before) < suspended, "the suspension counts from the next call of Refresh")
	woken := c.Refresh()
	assert.Assert(t, woken.Sub(before) >= suspended)
	for range 1000 {
		now := c.Now()
		assert.Assert(t, now.Sub(before) >= suspended)
		assert.Assert(t, c.Refresh().Sub(now) >= -time.Millisecond)
	}
}
