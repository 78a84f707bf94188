package app

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
	"gypsumlead/settings"
)

func TestSparePoolLendsUnderLoadAndTakesBack(t *testing.T) {
	b := newBench(t, func(s *settings.Settings) {
		s.Duties.Life = time.Second
		s.Duties.Step = 20 * time.Millisecond
		s.Lend = settings.Lend{Step: 20 * time.Millisecond, Smooth: 200 * time.Millisecond, Sustain: 200 * time.Millisecond, Rest: 500 * time.Millisecond}
	})
	b.put("texts", &record.Pool{Budget: record.Budget{Out: 1}})
	b.put("accounts", &record.Pool{Budget: record.Budget{Out: 2}, Spare: true, Floor: 1})
	b.put("notices", &record.Service{Pool: "texts", Works: []record.Work{{Name: "closure", Mean: 100}}})
	b.addRunner("runner-1", "texts")
	for i := range 3 {
		b.addRunner(fmt.Sprintf("spare-%d", i), "accounts")
	}
	require.Eventually(t, func() bool { return b.app.Ready() }, patience, time.Millisecond)

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var callers sync.WaitGroup
	for range 30 {
		callers.Go(func() {
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/notices/send", b.app.Addrs().Callers), nil)
				if err != nil {
					return
				}
				if res, err := http.DefaultClient.Do(req); err == nil {
					res.Body.Close()
				}
			}
		})
	}
	require.Eventually(t, func() bool { return b.members("texts") == 3 }, patience, 10*time.Millisecond, "the load needs more than one runner")
	require.Equal(t, 1, b.members("accounts"), "the spare pool keeps its floor")

	stop()
	callers.Wait()
	require.Eventually(t, func() bool { return b.members("texts") == 1 && b.members("accounts") == 3 }, patience, 10*time.Millisecond, "what was lent comes back")
	require.Zero(t, b.app.metrics.breaches.Load())
}
