package sleep

import (
	"context"
	"time"
)

// For sleeps for d. If ctx ends first, it returns the context's error.
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

// ForOrWake sleeps for d, until wake receives a value, or until ctx ends, whichever is first. A nil wake never
// receives one. It reports whether wake received a value.
func ForOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
		return true
	}
	return false
}

// Every calls f at intervals of d until ctx ends.
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

// Wake sends a wake-up to a channel that buffers one, without blocking.
func Wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a wake-up is already pending
	}
}
