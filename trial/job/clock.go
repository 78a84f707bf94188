package jobtrial

import (
	"context"
	"time"
)

// Clock is virtual time, which moves only when it is told to or slept on.
type Clock struct {
	at time.Time
}

// NewClock returns a clock that shows a fixed date.
func NewClock() *Clock {
	return &Clock{at: time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)}
}

// Now returns the clock's time.
func (c *Clock) Now() time.Time {
	return c.at
}

// Move moves the clock.
func (c *Clock) Move(d time.Duration) {
	c.at = c.at.Add(d)
}

// Sleep moves the clock at once.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) error {
	c.Move(d)
	return ctx.Err()
}
