package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time; Now is the one that daemons use.
type Clock func() time.Time

// Now returns the time of day at the process's start plus the time since then, suspends included; it has no monotonic reading.
func Now() time.Time {
	return start.Add(boot() - startBoot)
}

var (
	start     = time.Now().Round(0)
	startBoot = boot()
)

// boot returns the time since the machine's boot; Go's own monotonic clock stands still in a suspend.
func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it leases can't be kept safely.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
