package contact

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const freshness = 700 * time.Millisecond

var errSilent = errors.New("no answer")

// fakeEnd is the other end of a Link; it answers pings after a delay, or not at all.
type fakeEnd struct {
	silent bool
	pings  int
}

func (f *fakeEnd) ping(context.Context) error {
	f.pings++
	time.Sleep(100 * time.Millisecond)
	if f.silent {
		return errSilent
	}
	return nil
}

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name   string
		heard  bool
		wait   time.Duration // before the check
		silent bool
		pings  int
		err    error
	}{
		{"an end that has answered lately isn't asked", true, freshness / 2, true, 0, nil},
		{"an end that has not answered lately is asked", true, freshness, false, 1, nil},
		{"a silent end is reported", true, freshness, true, 1, errSilent},
		{"an end that never answered is asked", false, 0, false, 1, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := &fakeEnd{silent: tc.silent}
				l := New(end.ping, freshness, time.Now)
				if tc.heard {
					l.Heard()
				}
				time.Sleep(tc.wait)
				require.Equal(t, tc.err, l.Check(t.Context()))
				require.Equal(t, tc.pings, end.pings)
				require.Equal(t, tc.err == nil, l.Fresh())
			})
		})
	}
}

func TestConcurrentChecksShareOnePing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := &fakeEnd{silent: true}
		l := New(end.ping, freshness, time.Now)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { require.ErrorIs(t, l.Check(t.Context()), errSilent) })
		}
		wg.Wait()
		require.Equal(t, 1, end.pings)
	})
}

func TestFailureIsForgottenWithTheNextAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := &fakeEnd{silent: true}
		l := New(end.ping, freshness, time.Now)
		require.ErrorIs(t, l.Check(t.Context()), errSilent)
		l.Heard()
		require.NoError(t, l.Check(t.Context()))
		require.Equal(t, 1, end.pings)
	})
}

func TestDoubtfulEndIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := &fakeEnd{}
		l := New(end.ping, freshness, time.Now)
		l.Heard()
		l.Doubt()
		require.NoError(t, l.Check(t.Context()))
		require.Equal(t, 1, end.pings)
	})
}

func TestCheckEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := &fakeEnd{}
		l := New(end.ping, freshness, time.Now)
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { require.NoError(t, l.Check(context.Background())) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, l.Check(ctx), context.DeadlineExceeded)
		require.Equal(t, 1, end.pings)
	})
}

// The caller whose check began the ping waited for its end, beyond its own deadline.
func TestCheckThatAsksEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New((&fakeEnd{}).ping, freshness, time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		start := time.Now()
		require.ErrorIs(t, l.Check(ctx), context.DeadlineExceeded)
		require.Equal(t, 10*time.Millisecond, time.Since(start))
		time.Sleep(time.Second) // the ping ends
	})
}
