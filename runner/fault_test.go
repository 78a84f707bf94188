package runner

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

// silence opens four connections, makes them silent and counts how many of the next requests fail.
func silence(t *testing.T, idempotent bool, opts ...Option) (failed int, longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(1, standin.WithRun(10*time.Millisecond))
		f := newFleet(t, 1, append(opts, WithDial(m.dial), WithIdle(time.Minute))...)
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				_, err := within(t, f, request(fmt.Sprint("warm", i), 0), time.Second)
				if err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		m.runners[0].Silence()
		for i := range 6 {
			name := fmt.Sprint("q", i)
			req := request(name, 0)
			req.Idempotent = idempotent
			start := time.Now()
			_, err := within(t, f, req, 2*time.Second)
			longest = max(longest, time.Since(start))
			if err != nil {
				failed++
				require.True(t, fault.Is(err, fault.Timeout), "%v", err)
			}
			require.LessOrEqual(t, m.runners[0].Account().Of(name).Seen, 1)
		}
		f.Close()
		m.close()
	})
	return failed, longest
}

func TestSilentConnections(t *testing.T) {
	with, longest := silence(t, false)
	without, _ := silence(t, false, func(c *config) { c.off.condemn = true })
	again, half := silence(t, true)
	t.Logf("4 connections went silent; of 6 requests %d failed (longest %v), %d without condemning siblings; idempotent ones: %d failed, longest %v",
		with, longest, without, again, half)
	require.Equal(t, 1, with)
	require.Equal(t, 4, without)
	require.Zero(t, again)
	require.LessOrEqual(t, longest, 2*time.Second)
	require.Less(t, half, 1100*time.Millisecond)
}

func TestQuietConnectionsAreNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(1)
		f := newFleet(t, 1, WithDial(m.dial))
		_, err := within(t, f, request("a", 0), time.Second)
		require.NoError(t, err)
		time.Sleep(idleDefault + time.Millisecond)
		m.runners[0].Silence()
		_, err = within(t, f, request("b", 0), time.Second)
		require.NoError(t, err)
		require.Zero(t, f.Stats().Reuses)
		f.Close()
		m.close()
	})
}

// failFast lets callers in turn ask four runners of which one fails everything at once, and
// returns the share of the requests that reached it.
func failFast(t *testing.T, opts ...Option) float64 {
	share := 0.0
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(4, standin.WithRun(20*time.Millisecond))
		m.runners[0].SetFaults(standin.RunnerFaults{Mishaps: []standin.Mishap{standin.MishapRefuse}})
		f := newFleet(t, 4, append(opts, WithDial(m.dial))...)
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				for n := range 50 {
					_, err := within(t, f, request(fmt.Sprintf("%d-%d", i, n), 0), time.Second)
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		share = float64(m.runners[0].Account().Total().Seen) / float64(m.seen())
		f.Close()
		m.close()
	})
	return share
}

func TestFastFailingRunnerAttractsLittle(t *testing.T) {
	with := failFast(t)
	without := failFast(t, func(c *config) { c.off.doubt = true })
	t.Logf("share of the requests that a runner got that fails everything at once: %.1f%%, without doubt %.1f%%", 100*with, 100*without)
	require.Less(t, with, 0.10)
	require.Greater(t, without, 0.25)
}

// amplified floods runners that break every answer off with idempotent requests, and returns
// how many sends a request cost.
func amplified(t *testing.T, opts ...Option) float64 {
	cost := 0.0
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(4, standin.WithRun(time.Millisecond))
		for _, r := range m.runners {
			r.SetFaults(standin.RunnerFaults{Mishaps: []standin.Mishap{standin.MishapRan}})
		}
		f := newFleet(t, 4, append(opts, WithDial(m.dial))...)
		const all = 600
		for i := range all {
			req := request(fmt.Sprint(i), 0)
			req.Idempotent = true
			_, err := within(t, f, req, time.Second)
			require.True(t, fault.Is(err, fault.Broken), "%v", err)
		}
		cost = float64(m.seen()) / all
		f.Close()
		m.close()
	})
	return cost
}

func TestRetriesDoNotAmplify(t *testing.T) {
	with := amplified(t)
	without := amplified(t, func(c *config) { c.off.budget = true })
	t.Logf("sends a request while every answer breaks off: %.2f, without the budget %.2f", with, without)
	require.Less(t, with, 1.2)
	require.Greater(t, without, 2.9)
}

func TestConnectionsOfOneEntryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(2, standin.WithRun(50*time.Millisecond), standin.WithConns(8))
		f := newFleet(t, 2, WithDial(m.dial), WithConns(8))
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				_, err := within(t, f, request(fmt.Sprint(i), 0), 10*time.Second)
				if err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		for _, r := range m.runners {
			a := r.Account()
			require.Zero(t, a.Shed)
			require.LessOrEqual(t, a.Peak, 8)
		}
		f.Close()
		m.close()
	})
}

func TestUnreachableRunnersAreBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(2)
		f := newFleet(t, 2, WithDial(m.dial))
		m.runners[0].Close()
		for i := range 200 {
			_, err := within(t, f, request(fmt.Sprint(i), 0), time.Second)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		s := f.Stats()
		// 10 s of failing dials with pauses of 0.1 to 5 s.
		require.LessOrEqual(t, s.Resends, int64(12))
		m.runners[1].Close()
		start := time.Now()
		_, err := within(t, f, request("none", 0), 20*time.Millisecond)
		require.True(t, fault.Is(err, fault.NoUpstream) || fault.Is(err, fault.Overload), "%v", err)
		require.Equal(t, fault.NotRun, fault.AnswerTo(fault.KindOf(err)).Outcome)
		require.LessOrEqual(t, time.Since(start), 20*time.Millisecond)
		f.Close()
	})
}

func TestOneAttemptTooManyIsABreach(t *testing.T) {
	for _, tc := range []struct {
		name       string
		sent       int
		idempotent bool
		told       fault.Kind
		want       fault.Kind
	}{
		{"not sent, not run", 0, false, fault.NoUpstream, fault.NoUpstream},
		{"sent, unknown", 1, false, fault.Timeout, fault.Timeout},
		{"sent, not run", 1, false, fault.NoUpstream, fault.Breach},
		{"sent twice", 2, false, fault.Timeout, fault.Breach},
		{"idempotent, sent twice", 2, true, fault.Timeout, fault.Timeout},
		{"idempotent, sent, not run", 1, true, fault.NoUpstream, fault.Breach},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := &exchange{req: request("a", 0), sent: tc.sent}
			x.req.Idempotent = tc.idempotent
			require.Equal(t, tc.want, fault.KindOf(x.check(fault.New(tc.told, "x"))))
			require.Equal(t, tc.sent > 0 && !tc.idempotent, fault.Is(x.begin(), fault.Breach))
			sentButNotRun := tc.sent > 0 && fault.AnswerTo(tc.told).Outcome == fault.NotRun
			require.Equal(t, sentButNotRun, fault.Is(x.attempted(tc.sent > 0, fault.New(tc.told, "x")), fault.Breach))
		})
	}
}
