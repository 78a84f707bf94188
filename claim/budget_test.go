package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

// load is what a run of claims at a steady rate cost.
type load struct {
	asked, won int
	p50, p99   time.Duration
	stats      []Stats
}

// offer asks rate claims a second of each of seven entries for some seconds, a share of them repeats.
func offer(t *testing.T, rate int, repeats float64, d time.Duration) load {
	var out load
	synctest.Test(t, func(t *testing.T) {
		table := newFlaky(1, 0, 5*time.Millisecond)
		table.Table = standin.New().Table
		var mu sync.Mutex
		var delays []time.Duration
		var wg sync.WaitGroup
		var keepers []*Keeper
		for e := range 7 {
			k := NewKeeper(table)
			keepers = append(keepers, k)
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(1, uint64(e)))
				for n := range rate * int(d/time.Second) {
					key := fmt.Sprintf("%d-%d", e, n)
					if n > 100 && rng.Float64() < repeats {
						key = fmt.Sprintf("%d-%d", (e+1)%7, n-50)
					}
					wg.Go(func() {
						start := time.Now()
						res, err := k.Claim(t.Context(), Ask{Caller: "c", Key: key, Life: time.Hour})
						took := time.Since(start)
						mu.Lock()
						defer mu.Unlock()
						out.asked++
						if err != nil {
							return
						}
						delays = append(delays, took)
						if ticket, ok := res.(*Ticket); ok {
							out.won++
							ticket.Done(&Answer{Status: 200, Body: []byte("ok")})
						}
					})
					time.Sleep(time.Second / time.Duration(rate))
				}
			})
		}
		wg.Wait()
		for _, k := range keepers {
			out.stats = append(out.stats, k.Stats())
			k.Close()
		}
		slices.Sort(delays)
		out.p50 = delays[len(delays)/2]
		out.p99 = delays[len(delays)*99/100]
	})
	return out
}

func TestClaimsKeepTheWriteBudget(t *testing.T) {
	const seconds = 4
	for _, tc := range []struct {
		rate    int
		repeats float64
	}{{5, 0}, {20, 0}, {100, 0}, {300, 0}, {100, 0.1}} {
		l := offer(t, tc.rate, tc.repeats, seconds*time.Second)
		commits, reads, rows := int64(0), int64(0), int64(0)
		for _, s := range l.stats {
			commits += s.Commits
			reads += s.Reads
			rows += s.Rows
		}
		t.Logf("7 entries, %d claims/s each, %.0f%% repeats: asked %d, won %d, %d claims/s in all, %d writes/s, %d reads/s, %d rows/s, added delay p50 %v p99 %v",
			tc.rate, 100*tc.repeats, l.asked, l.won, l.won/seconds, commits/seconds, reads/seconds, rows/seconds, l.p50, l.p99)
		require.LessOrEqual(t, commits, int64(7*(writesDefault*(seconds+1)+burst)))
		if tc.repeats == 0 {
			require.Equal(t, l.asked, l.won)
		}
	}
}
