package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Daemons use Now.
type Clock func() time.Time

// Now returns the wall-clock time of the process's start plus the time elapsed since then, including suspends. The
// result has no monotonic reading.
func Now() time.Time {
	return startTime.Add(sinceBoot() - bootAtStart)
}

var (
	startTime   = time.Now().Round(0)
	bootAtStart = sinceBoot()
)

// sinceBoot returns the time since the machine booted. Go's own monotonic clock stops while the machine is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, leases are not safe.
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
