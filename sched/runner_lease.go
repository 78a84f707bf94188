package sched

import "time"

// RunnerLease relates a runner's clock to ours, and knows until when the runner may keep running what it runs.
type RunnerLease struct {
	clock time.Duration // the runner's clock, not later than at
	at    time.Time     // our clock when that answer came
	until time.Duration // highest deadline sent, on the runner's clock
	least time.Time     // our clock: orders of before its present life may keep something alive until then
}

// ObserveClock takes the clock that an answer bears; received is when it came.
func (l *RunnerLease) ObserveClock(clock time.Duration, received time.Time) {
	if clock > l.clock || l.at.IsZero() {
		l.clock, l.at = clock, received
	}
}

// Reset forgets a life of the runner.
func (l *RunnerLease) Reset() { *l = RunnerLease{} }

// KeepUntil says that orders of before the runner's present life may keep something alive until a time on our clock.
func (l *RunnerLease) KeepUntil(till time.Time) { l.least = later(l.least, till) }

// ClockKnown tells whether the runner's clock has been heard.
func (l *RunnerLease) ClockKnown() bool { return !l.at.IsZero() }

// Extend returns the deadline, on the runner's clock, of an order sent now that gives it hold; it is remembered.
func (l *RunnerLease) Extend(now time.Time, hold time.Duration) time.Duration {
	if !l.ClockKnown() {
		return 0
	}
	until := (l.clock + now.Sub(l.at) + hold).Truncate(time.Millisecond)
	l.until = max(l.until, until)
	return until
}

// Expiry returns when, on our clock, everything that these deadlines kept alive has surely ended; ok is false where there was none.
func (l *RunnerLease) Expiry() (time.Time, bool) {
	if l.until == 0 {
		return l.least, !l.least.IsZero()
	}
	left := float64(l.until-l.clock) / (1 - MaxClockSkew)
	return later(l.at.Add(time.Duration(left)), l.least), true
}
