package follow

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
		n := NewNeed()
		f := Follower{Gap: 50 * time.Millisecond, Need: n}
		took := func() time.Duration {
			from := time.Now()
			f.rest(context.Background())
			return time.Since(from)
		}
		require.Equal(t, idleGap, took())
		time.AfterFunc(300*time.Millisecond, func() { n.Set(true) })
		require.Equal(t, 300*time.Millisecond, took())
		require.Equal(t, f.Gap, took())
		n.Set(false)
		require.Equal(t, idleGap, took())
		f.Need = nil
		require.Equal(t, f.Gap, took())
	})
}
