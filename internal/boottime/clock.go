package boottime

import (
	"sync/atomic"
	"time"
)

// Clock is an approximation of Now that is cheap enough to be read for each packet. It
// counts a suspension from the first call of Refresh after it.
type Clock struct {
	read      func() time.Time
	suspended atomic.Int64
}

// NewClock returns a clock that follows read, or Now if read is nil.
func NewClock(read func() time.Time) *Clock {
	if read == nil {
		read = Now
	}
	return &Clock{read: read}
}

// Now returns the time as of the last call of Refresh plus the monotonic time since.
func (c *Clock) Now() time.Time {
	return time.Now().Add(time.Duration(c.suspended.Load()))
}

// Refresh reads the exact time and returns it.
func (c *Clock) Refresh() time.Time {
	now := c.read()
	// The monotonic clock is read last, so that a delay between the two reads does not
	// count as a suspension.
	suspended := int64(time.Until(now))
	for {
		known := c.suspended.Load()
		if suspended <= known || c.suspended.CompareAndSwap(known, suspended) {
			return now
		}
	}
}
