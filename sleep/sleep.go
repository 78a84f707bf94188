package sleep

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends and returns its error.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ForOrWake waits for d, until wake brings something, or until ctx ends; a nil wake never does.
func ForOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}

// Every calls f each time that d has passed, until ctx ends.
func Every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Wake puts a token into a channel that holds one.
func Wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is awake already
	}
}
