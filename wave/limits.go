package wave

import (
	"time"
)

// Limits are the bounds that a wave judges its instances by.
type Limits struct {
	Patience time.Duration // longest that a reboot may take before the instance counts as late
	Again    time.Duration // pause before a reboot that left no trace is asked for again
	Late     int           // instances late at once that stop the wave
	Rack     int           // unplanned losses in one rack that stop the wave
	Over     int           // unplanned losses in a pool over its budget that stop the wave
	Ask      time.Duration // longest wait for one entry's answer
	Parallel int           // entries asked at once
	Refresh  time.Duration // age at which the table's rows are read again though nothing happened
}

// DefaultLimits returns the limits in use where none are set.
func DefaultLimits() Limits {
	return Limits{
		Patience: 15 * time.Minute,
		Again:    1 * time.Minute,
		Late:     2,
		Rack:     2,
		Over:     2,
		Ask:      1 * time.Second,
		Parallel: 8,
		Refresh:  5 * time.Second,
	}
}
