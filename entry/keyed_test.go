package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

// askKeyed sends one attempt of a keyed request through an entry and returns what it was told.
func askKeyed(t *testing.T, w *world, e int, key string, try int) *asked {
	a := &asked{id: fmt.Sprintf("%s-%d", key, try), key: key, size: 100, patient: true}
	a.send(t.Context(), w.client(e), rand.New(rand.NewPCG(1, 1)))
	return a
}

func TestKeyIsFreeAgainAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, parts{})
		for _, r := range w.runners {
			r.SetFaults(standin.RunnerFaults{Off: true})
		}
		require.Equal(t, "notrun", askKeyed(t, w, 0, "k", 0).outcome)
		for _, r := range w.runners {
			r.SetFaults(standin.RunnerFaults{})
		}
		time.Sleep(6 * time.Second)
		require.Equal(t, "ran", askKeyed(t, w, 1, "k", 1).outcome)
		time.Sleep(time.Second)
		require.Equal(t, "replay", askKeyed(t, w, 2, "k", 2).outcome)
		require.Equal(t, 1, w.seen()["k-1"])
		require.Zero(t, w.seen()["k-0"]+w.seen()["k-2"])
		w.stop()
	})
}

// TestTableOutage states what callers get while the table is down: keyed requests are refused at
// once and were not run, unkeyed ones go on.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, parts{})
		w.platform.SetFaults(standin.Faults{Freeze: true}, standin.ServiceTable)
		count := map[string]int{}
		atOnce := 0
		rng := rand.New(rand.NewPCG(1, 1))
		end := time.Now().Add(time.Minute)
		n := 0
		for ; time.Now().Before(end); n++ {
			a := &asked{id: fmt.Sprint("u", n), size: 100, patient: true}
			kind := "unkeyed "
			if n%2 == 0 {
				a.key, a.id, kind = fmt.Sprint("k", n), fmt.Sprintf("k%d-0", n), "keyed "
			}
			start := time.Now()
			a.send(t.Context(), w.client(rng.IntN(worldEntries)), rng)
			count[kind+a.outcome]++
			if a.key != "" && time.Since(start) < 100*time.Millisecond {
				atOnce++
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("table frozen for 1 min, half of the requests keyed: %v; %d keyed answered within 100 ms", count, atOnce)
		require.Equal(t, (n+1)/2, count["keyed notrun"])
		require.Equal(t, n/2, count["unkeyed ran"])
		require.Greater(t, atOnce*10, count["keyed notrun"]*9)
		for id, seen := range w.seen() {
			require.False(t, id[0] == 'k' && seen > 0, id)
		}
		w.platform.SetFaults(standin.Faults{}, standin.ServiceTable)
		time.Sleep(6 * time.Second)
		require.Equal(t, "ran", askKeyed(t, w, 0, "again", 0).outcome)
		w.stop()
	})
}
