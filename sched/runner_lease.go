package sched

import "time"

// RunnerLease tracks until when a runner may continue its runs. Its deadlines are on the runner's clock, which it
// relates to the local one.
type RunnerLease struct {
	clock     time.Duration // the runner's clock, read at clockAt or earlier
	clockAt   time.Time     // local time when the answer with clock was received
	deadline  time.Duration // latest deadline sent, on the runner's clock
	keepUntil time.Time     // local time until which orders from before the present incarnation may keep a run alive
}

// ObserveClock records the runner's clock from an answer that was received at the given time.
func (l *RunnerLease) ObserveClock(clock time.Duration, received time.Time) {
	if clock > l.clock || l.clockAt.IsZero() {
		l.clock, l.clockAt = clock, received
	}
}

// Reset clears the lease, as for a new incarnation of the runner.
func (l *RunnerLease) Reset() { *l = RunnerLease{} }

// KeepUntil records that orders from before the runner's present incarnation may keep a run alive until t, a local
// time.
func (l *RunnerLease) KeepUntil(t time.Time) { l.keepUntil = later(l.keepUntil, t) }

// KeepOnlyUntil replaces the time that KeepUntil recorded.
func (l *RunnerLease) KeepOnlyUntil(t time.Time) { l.keepUntil = t }

// ClockKnown reports whether the runner's clock has been observed.
func (l *RunnerLease) ClockKnown() bool { return !l.clockAt.IsZero() }

// Extend extends the lease by an order sent now that grants ttl, and returns the order's deadline on the runner's
// clock, or 0 if that clock is unknown.
func (l *RunnerLease) Extend(now time.Time, ttl time.Duration) time.Duration {
	if !l.ClockKnown() {
		return 0
	}
	deadline := (l.clock + now.Sub(l.clockAt) + ttl).Truncate(time.Millisecond)
	l.deadline = max(l.deadline, deadline)
	return deadline
}

// Expiry returns the local time by which all runs that the deadlines kept alive have certainly ended. It returns false
// if there were no deadlines.
func (l *RunnerLease) Expiry() (time.Time, bool) {
	if l.deadline == 0 {
		return l.keepUntil, !l.keepUntil.IsZero()
	}
	left := float64(l.deadline-l.clock) / (1 - MaxClockSkew)
	return later(l.clockAt.Add(time.Duration(left)), l.keepUntil), true
}
