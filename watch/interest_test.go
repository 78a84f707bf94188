package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A follower whose changes nobody needs looks rarely, and at once when somebody does.
func TestNeedSetsHowOftenATableIsLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewInterest()
		f := Watcher{Interval: 50 * time.Millisecond, Interest: n}
		took := func() time.Duration {
			from := time.Now()
			f.rest(context.Background())
			return time.Since(from)
		}
		require.Equal(t, idleGap, took())
		time.AfterFunc(300*time.Millisecond, func() { n.Set(true) })
		require.Equal(t, 300*time.Millisecond, took())
		require.Equal(t, f.Interval, took())
		n.Set(false)
		require.Equal(t, idleGap, took())
		f.Interest = nil
		require.Equal(t, f.Interval, took())
	})
}
