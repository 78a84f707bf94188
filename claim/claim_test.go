package claim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// ledger counts how often each key's request ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

func (l *ledger) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.runs {
		n = max(n, c)
	}
	return n
}

// tally counts how claims of a run ended.
type tally struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (t *tally) add(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[kind]++
}

// attempt asks one entry to run the key's request, with pauses of the claimant, and says how it ended.
func attempt(t *testing.T, k *Keeper, l *ledger, key string, rng *rand.Rand) string {
	res, err := k.Claim(t.Context(), Ask{Caller: "c", Key: key, Digest: DigestOf("POST", key, nil), Life: time.Hour})
	if err != nil {
		return fault.KindOf(err).String()
	}
	if _, ok := res.(Stored); ok {
		return "stored"
	}
	ticket := res.(*Ticket)
	if rng.IntN(4) == 0 {
		time.Sleep(time.Duration(rng.IntN(20000)) * time.Millisecond)
	}
	if ticket.Gate() != nil || rng.IntN(8) == 0 {
		ticket.NotSent()
		return "unsent"
	}
	l.run(key)
	time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	if rng.IntN(4) == 0 {
		ticket.Unknown()
		return "unknown"
	}
	ticket.Done(&Answer{Status: 200})
	return "done"
}

// troubleOf makes the table bad in one half of the seeds and rather good in the other.
func troubleOf(seed uint64) float64 {
	if seed%2 == 0 {
		return 0.3
	}
	return 0.03
}

// storm lets several callers ask for few keys through several entries over a flaky table, and
// returns the most runs that a key had.
func storm(t *testing.T, seed uint64, opts ...Option) (int, map[string]int) {
	l := &ledger{runs: map[string]int{}}
	count := &tally{kinds: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		table := newFlaky(seed, troubleOf(seed), 5*time.Millisecond)
		nonce := 0
		var mu sync.Mutex
		opts := append([]Option{WithNonce(func() string {
			mu.Lock()
			defer mu.Unlock()
			nonce++
			return fmt.Sprint("n", nonce)
		}), WithBreach(func(err error) { t.Error(err) })}, opts...)
		var keepers []*Keeper
		for range 3 {
			keepers = append(keepers, NewKeeper(table, opts...))
		}
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				for n := range 40 {
					key := fmt.Sprintf("k%d-%d", n/2, rng.IntN(3))
					count.add(attempt(t, keepers[rng.IntN(3)], l, key, rng))
					time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				}
			})
		}
		wg.Wait()
		for _, k := range keepers {
			k.Close()
		}
		table.late.Wait()
	})
	return l.most(), count.kinds
}

func TestKeyRunsAtMostOnceOverAllEntries(t *testing.T) {
	sum := map[string]int{}
	for seed := range uint64(20) {
		most, kinds := storm(t, seed)
		require.LessOrEqual(t, most, 1, "seed %d", seed)
		for k, n := range kinds {
			sum[k] += n
		}
	}
	t.Logf("20 seeds: %v", sum)
	require.Positive(t, sum["done"])
	require.Positive(t, sum["stored"])
	require.Positive(t, sum["claimed"])
	require.Positive(t, sum["storedown"])
}

// withoutNonce is the design that the nonce replaces: a claim whose answer was lost takes the row
// that it then finds held to be its own.
func withoutNonce(have backing.Row, c *pending, now time.Time, unsent func(string) bool) verdict {
	v := judge(have, c, now, unsent)
	if s, ok := v.(settled); ok && fault.Is(s.err, fault.Claimed) && !c.started.IsZero() {
		return won{version: have.Version}
	}
	return v
}

func TestKeyRunsTwiceWithoutNonce(t *testing.T) {
	doubled := 0
	for seed := range uint64(20) {
		if most, _ := storm(t, seed, func(c *config) { c.judge = withoutNonce }); most > 1 {
			doubled++
		}
	}
	t.Logf("without the nonce: a key ran more than once in %d of 20 seeds", doubled)
	require.Positive(t, doubled)
}

func TestOutageIsAnsweredAtOnceAndHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFlaky(1, 0, 5*time.Millisecond)
		k := NewKeeper(table)
		defer k.Close()
		ask := func(n int) (time.Duration, error) {
			start := time.Now()
			res, err := k.Claim(t.Context(), Ask{Caller: "c", Key: fmt.Sprint(n), Life: time.Hour})
			if err == nil {
				res.(*Ticket).Done(nil)
			}
			return time.Since(start), err
		}
		refused, waited, longest := 0, 0, time.Duration(0)
		end := time.Now().Add(10 * time.Minute)
		table.setOutage(true)
		n := 0
		for ; time.Now().Before(end); n++ {
			d, err := ask(n)
			require.True(t, fault.Is(err, fault.StoreDown), "%v", err)
			require.GreaterOrEqual(t, fault.RetryAfter(err), time.Second)
			refused++
			if d > 0 {
				waited++
				longest = max(longest, d)
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("10 min outage: %d claims refused, %d of them not at once, longest %v", refused, waited, longest)
		require.LessOrEqual(t, longest, claimLimit)
		require.Less(t, waited*10, refused)
		table.setOutage(false)
		healed := time.Now()
		for ; ; n++ {
			if _, err := ask(n); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("claims again %v after the outage", time.Since(healed))
		require.LessOrEqual(t, time.Since(healed), downLimit+time.Second)
	})
}

func TestVerdicts(t *testing.T) {
	now := time.Now()
	mine := &pending{nonce: "me", ask: Ask{Digest: Digest{1}}}
	same, other := mine.ask.Digest[:], []byte("x")
	life := now.Add(time.Hour)
	for _, tc := range []struct {
		name string
		row  row
		want verdict
		kind fault.Kind
	}{
		{"my own", row{Nonce: "me", Digest: same, State: stateHeld, Until: life}, won{3}, 0},
		{"held by another", row{Nonce: "a", Digest: same, State: stateHeld, Until: life}, nil, fault.Claimed},
		{"held for another request", row{Nonce: "a", Digest: other, State: stateHeld, Until: life}, nil, fault.Reused},
		{"ran, answer not kept", row{Nonce: "a", Digest: same, State: stateDone, Until: life}, nil, fault.Claimed},
		{"given back", row{Nonce: "a", Digest: other, State: stateOpen, Until: life}, take{3}, 0},
		{"given up here", row{Nonce: "unsent", Digest: other, State: stateHeld, Until: life}, take{3}, 0},
		{"expired", row{Nonce: "a", Digest: other, State: stateDone, Until: now.Add(-2 * skewLimit)}, take{3}, 0},
		{"expired within the clocks' error", row{Nonce: "a", Digest: same, State: stateHeld, Until: now.Add(-skewLimit / 2)}, nil, fault.Claimed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			op, err := put("claim/x", 2, tc.row)
			require.NoError(t, err)
			got := judge(backing.Row{Key: "claim/x", Version: 3, Value: op.(backing.Put).Value}, mine, now, func(n string) bool { return n == "unsent" })
			if tc.want != nil {
				require.Equal(t, tc.want, got)
				return
			}
			require.Equal(t, tc.kind, fault.KindOf(got.(settled).err))
		})
	}
}
