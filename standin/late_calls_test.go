package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

const (
	testLease = 6 * time.Second
	testTask  = "00000000000000aa.0.0.0"
)

// newTestRunner returns a runner with room for several tasks.
func newTestRunner(c *Checker, id string) *Runner {
	room := work.Resources{CPU: 4000, Mem: 4000}
	return NewRunner(id, id, "s0", netip.MustParseAddrPort("10.0.0.1:80"), "c1", "r1", room, testLease, c, rand.New(rand.NewPCG(1, 1)))
}

// call makes a call whose caller waits for limit, and returns the status of the reply, or 0 without one.
func call(t *testing.T, r *Runner, path string, o wireOrder, limit time.Duration) int {
	t.Helper()
	body, err := json.Marshal(o)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	reply := httptest.NewRecorder()
	r.ServeHTTP(reply, httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body)))
	if ctx.Err() != nil {
		return 0
	}
	return reply.Code
}

// startOrder orders the start of testTask's run, with a deadline on the clock of a runner that has run for uptime.
func startOrder(run int, uptime time.Duration) wireOrder {
	spec := Spec{Steps: []SpecStep{{RunMS: time.Hour.Milliseconds(), CPU: 1000, Mem: 100}}}
	return wireOrder{Task: testTask, Run: run, Spec: spec.Text(), DeadlineMs: (uptime + testLease/2).Milliseconds()}
}

func countRuns(r *Runner) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func newTestChecker() *Checker {
	c := NewChecker()
	c.Submitted("00000000000000aa", work.Job{Steps: []work.Step{{Count: 1}}}, 2)
	return c
}

// Guards against tests in which no call that was meant for a runner's former life reaches the new one.
func TestCallsForTheFormerLifeReachTheNewOne(t *testing.T) {
	const uptime = time.Minute
	for name, play := range map[string]func(t *testing.T, r *Runner){
		"delayed order": func(t *testing.T, r *Runner) {
			r.SetFaults(RunnerFaults{DelayedOrderRate: 1, DelayUntil: time.Now().Add(3 * time.Second)})
			require.Zero(t, call(t, r, "/gypsumlead/run-start", startOrder(1, uptime), time.Second))
			r.Crash()
			r.Restart()
			time.Sleep(2100 * time.Millisecond)
		},
		"order while it is down": func(t *testing.T, r *Runner) {
			r.Crash()
			time.AfterFunc(time.Second, r.Restart)
			require.Equal(t, http.StatusOK, call(t, r, "/gypsumlead/run-start", startOrder(1, uptime), 3*time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRunner(newTestChecker(), "r0")
				time.Sleep(uptime)
				play(t, r)
				require.Equal(t, 1, countRuns(r))
				time.Sleep(testLease - 200*time.Millisecond)
				require.Equal(t, 1, countRuns(r), "a deadline of the former clock gives the longest lease")
				time.Sleep(time.Second)
				require.Zero(t, countRuns(r))
			})
		})
	}
}

// Guards against a lease that a poll for the former life doesn't prolong in the new one.
func TestDelayedPollForTheFormerLifeProlongsTheLeaseOfTheNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRunner(newTestChecker(), "r0")
		time.Sleep(time.Minute)
		r.SetFaults(RunnerFaults{DelayedPollRate: 1, DelayUntil: time.Now().Add(2 * time.Second)})
		require.Zero(t, call(t, r, pollPath, wireOrder{DeadlineMs: 64_000}, time.Second))
		r.Crash()
		r.Restart()
		require.Equal(t, http.StatusOK, call(t, r, "/gypsumlead/run-start", startOrder(1, 0), time.Second))
		time.Sleep(testLease)
		require.Equal(t, 1, countRuns(r))
		time.Sleep(2 * time.Second)
		require.Zero(t, countRuns(r))
	})
}

// Guards against a checker that misses a second run beside one of a runner that has restarted, or counts a run that ended with
// its runner's crash.
func TestRunsBesideThoseOfARestartedRunnerAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestChecker()
		first, second := newTestRunner(c, "r0"), newTestRunner(c, "r1")
		require.Equal(t, http.StatusOK, call(t, first, "/gypsumlead/run-start", startOrder(1, 0), time.Second))
		first.Crash()
		first.Restart()
		require.Equal(t, http.StatusOK, call(t, first, "/gypsumlead/run-start", startOrder(2, 0), time.Second))
		require.Empty(t, c.Violations)
		require.Equal(t, http.StatusOK, call(t, second, "/gypsumlead/run-start", startOrder(3, 0), time.Second))
		require.Len(t, c.Violations, 1)
		time.Sleep(2 * testLease)
	})
}
