package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A Watcher must poll rarely while nobody needs its changes, and immediately once somebody does.
func TestInterestSetsPollInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		interest := NewInterest()
		watcher := Watcher{Interval: 50 * time.Millisecond, Interest: interest}
		waited := func() time.Duration {
			start := time.Now()
			watcher.waitNext(context.Background())
			return time.Since(start)
		}
		require.Equal(t, idleInterval, waited())
		time.AfterFunc(300*time.Millisecond, func() { interest.Set(Immediate) })
		require.Equal(t, 300*time.Millisecond, waited())
		require.Equal(t, watcher.Interval, waited())
		interest.Set(Occasional)
		require.Equal(t, idleInterval, waited())
		interest.Set(Dormant)
		time.AfterFunc(10*time.Minute, func() { interest.Set(Occasional) })
		require.Equal(t, 10*time.Minute, waited())
		watcher.Interest = nil
		require.Equal(t, watcher.Interval, waited())
	})
}
