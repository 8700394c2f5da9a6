// Package boottime reads a clock that also counts the time for which the machine was
// suspended. The monotonic clock of package time stops during a suspension, so a process
// that used it would take its data and permissions for more recent than they are.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the monotonic time at the start of the process, bootEpoch the time since the
// machine booted at that moment.
var epoch, bootEpoch = time.Now(), sinceBoot()

// Now returns the current time. The difference between two results includes the time of
// suspensions between them and is not affected by steps of the wall clock. The results
// must not be compared with those of time.Now.
func Now() time.Time { return epoch.Add(sinceBoot() - bootEpoch) }

// Since returns the time elapsed since t, which must be a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// sinceBoot returns the time since the machine booted, including suspensions. The clock
// exists on every supported kernel, so a failure to read it breaks an invariant.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
