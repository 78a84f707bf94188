package leader

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/standin"
	"gypsumlead/work"
)

var restartLeases = sched.LeaseConfig{TTL: 4500 * time.Millisecond, MaxTTL: 6 * time.Second}

// pollOnce passes the answer of a runner's incarnation to the scheduler.
func pollOnce(l *Leader, id string, born int64) {
	now, fence := time.Now(), l.pool.Fence(id)
	l.pool.PollSent(now, id, 0)
	l.pool.ExtendLease(now, id)
	l.pool.HandlePollResult(now, id, now, fence, work.PollResult{Born: born, Clock: time.Second})
}

// newRestartLeader returns a leader with the leases of the tests of restarts.
func newRestartLeader(store *platform.Store) *Leader {
	l := newConfirmedLeader(store)
	l.Log = zap.NewNop()
	l.pool = sched.New(time.Now(), 1, sched.LeaseConfig{TTL: restartLeases.TTL, MaxTTL: restartLeases.MaxTTL, LateOrders: lateOrders}, sched.WithToken(1))
	return l
}

// Guards against a second run beside one that an order for the runner's earlier incarnation keeps alive.
func TestNextLeaderWaitsForRunsThatOrdersForEarlierIncarnationsKeepAlive(t *testing.T) {
	longest := time.Duration(float64(restartLeases.MaxTTL) / (1 - sched.MaxClockSkew))
	ordinary := slowed(restartLeases.TTL)
	for _, scenario := range []struct {
		name      string
		restarts  int64 // that the earlier leader knows of
		confirmed bool  // the runner has answered a poll with the token of its last incarnation
		entryBorn int64 // incarnation that the runner's entry shows to the next leader
		want      time.Duration
	}{
		{name: "no restart", entryBorn: 1, want: ordinary},
		{name: "restarted, and fenced since", restarts: 1, confirmed: true, entryBorn: 2, want: longest},
		{name: "restarted three times", restarts: 3, confirmed: true, entryBorn: 4, want: longest},
		{name: "restarted, its entry is late", restarts: 1, confirmed: true, entryBorn: 1, want: longest},
		{name: "restarted, not fenced yet", restarts: 1, entryBorn: 2, want: lateOrders + longest},
		{name: "restarted, which only its entry shows", entryBorn: 2, want: lateOrders + longest},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			store := newTestStore(t, standin.NewStore(rand.New(rand.NewPCG(1, 1))))
			runner := work.Runner{ID: "r", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1}
			earlier := newRestartLeader(store)
			earlier.RunnerListed(runner)
			earlier.commitOnce(t.Context())
			pollOnce(earlier, "r", 1)
			for restart := range scenario.restarts {
				pollOnce(earlier, "r", 2+restart)
				earlier.commitOnce(t.Context())
				earlier.commitOnce(t.Context())
				require.False(t, earlier.pool.AwaitsRecord("r"))
				if scenario.confirmed {
					pollOnce(earlier, "r", 2+restart)
					earlier.commitOnce(t.Context())
				}
			}

			begun := time.Now()
			config := restartLeases
			next := New(Lease{AcquiredAt: begun, InheritedTTL: ordinary}, config, earlier.Deps)
			require.NoError(t, next.Restore(t.Context()))
			runner.Born = scenario.entryBorn
			next.RunnerListed(runner)
			waited := time.Duration(0)
			for {
				next.pool.Plan(begun.Add(waited), begun.Add(waited), true)
				if waiting, _ := next.pool.Unresolved(); len(waiting) == 0 {
					break
				}
				waited += 50 * time.Millisecond
			}
			// The restart was up to a second before the next leader took over.
			require.InDelta(t, scenario.want.Seconds(), waited.Seconds(), 1.1)
			require.Greater(t, waited.Seconds(), scenario.want.Seconds()-0.5)
		})
	}
}

// Guards against a second run after two changes of leader: the leader between them had learnt of the restart, and had given the
// runner work, but its first commit doesn't say so.
func TestLeaderStoresARestartWithItsFirstCommit(t *testing.T) {
	store := newTestStore(t, standin.NewStore(rand.New(rand.NewPCG(1, 1))))
	runner := work.Runner{ID: "r", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1}
	first := newRestartLeader(store)
	first.RunnerListed(runner)
	first.commitOnce(t.Context())
	pollOnce(first, "r", 1)

	ordinary := slowed(restartLeases.TTL)
	second := New(Lease{AcquiredAt: time.Now(), Row: first.leaseRow, Version: first.leaseVersion, Token: first.leaseVersion, InheritedTTL: ordinary}, restartLeases, first.Deps)
	require.NoError(t, second.Restore(t.Context()))
	second.RunnerListed(runner)
	pollOnce(second, "r", 2) // a poll of the first leader may have given it the longest lease just before
	second.commitOnce(t.Context())
	require.Contains(t, second.pool.RestartedRunners(time.Now()), "r")

	begun := time.Now()
	third := New(Lease{AcquiredAt: begun, InheritedTTL: ordinary}, restartLeases, first.Deps)
	require.NoError(t, third.Restore(t.Context()))
	runner.Born = 2
	third.RunnerListed(runner)
	waited := time.Duration(0)
	for {
		third.pool.Plan(begun.Add(waited), begun.Add(waited), true)
		if waiting, _ := third.pool.Unresolved(); len(waiting) == 0 {
			break
		}
		waited += 50 * time.Millisecond
	}
	require.GreaterOrEqual(t, waited.Seconds(), 6/(1-sched.MaxClockSkew)-0.2)
}

func pendingRestart(t *testing.T) (*Leader, work.Runner) {
	store := newTestStore(t, standin.NewStore(rand.New(rand.NewPCG(1, 1))))
	l := newRestartLeader(store)
	runner := work.Runner{ID: "r", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1}
	l.RunnerListed(runner)
	l.commitOnce(t.Context())
	pollOnce(l, "r", 1)
	pollOnce(l, "r", 1)
	return l, runner
}

func settle(t *testing.T, l *Leader) {
	for range 5 {
		l.commitOnce(t.Context())
		pollOnce(l, "r", l.pool.Fence("r").Born)
	}
}

// Guards against a runner that gets no work for ever because it was out of the list while its restart was being stored.
func TestRunnerThatIsListedAgainWhileItsRestartIsStoredGetsWork(t *testing.T) {
	l, runner := pendingRestart(t)
	runner.Born = 2
	l.RunnerListed(runner)
	require.True(t, l.pool.AwaitsRecord("r"))
	batch, tx, err := l.prepareCommit(time.Now())
	require.NoError(t, err)
	l.RunnerUnlisted("r")
	require.False(t, l.pool.HasRunner("r"))
	stamp, err := l.Store.Commit(t.Context(), tx)
	require.NoError(t, err)
	l.handleCommitResult(batch, stamp, time.Now(), nil)
	l.RunnerListed(runner) // before the commit loop has looked at the list again
	require.True(t, l.pool.AwaitsRecord("r"))
	settle(t, l)
	require.False(t, l.pool.AwaitsRecord("r"))
}

// Guards against a runner that gets no work for ever because its third incarnation came shortly after its second, at another
// address.
func TestRunnerThatRestartsTwiceAtOnceGetsWork(t *testing.T) {
	l, runner := pendingRestart(t)
	pollOnce(l, "r", 2) // the restart is known
	runner.Addr, runner.Born = netip.MustParseAddrPort("10.0.0.2:80"), 3
	l.RunnerListed(runner)
	l.commitOnce(t.Context())
	require.True(t, l.pool.AwaitsRecord("r"))
	settle(t, l)
	require.False(t, l.pool.AwaitsRecord("r"))
}

// slowAnswers answers each call late; what the store says of its clock is as old as the answer is late.
type slowAnswers struct {
	inner http.Handler
	delay time.Duration
}

func (s *slowAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, r)
	time.Sleep(s.delay)
	for key, values := range answer.Header() {
		w.Header()[key] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// Guards against a next leader that waits too briefly because an answer of the store was slow.
func TestNextLeaderWaitsLongEnoughThoughAnswersOfTheStoreAreSlow(t *testing.T) {
	handler := &slowAnswers{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1)))}
	l := newRestartLeader(newTestStore(t, handler))
	runner := work.Runner{ID: "r", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1}
	l.RunnerListed(runner)
	handler.delay = 1500 * time.Millisecond
	l.commitOnce(t.Context())
	handler.delay = 0
	pollOnce(l, "r", 1)
	pollOnce(l, "r", 1)
	pollOnce(l, "r", 2)
	l.commitOnce(t.Context())
	want := l.storedKeepUntil["r"]
	require.False(t, want.IsZero())
	next := New(Lease{AcquiredAt: time.Now()}, restartLeases, l.Deps)
	require.NoError(t, next.Restore(t.Context()))
	require.False(t, next.storedKeepUntil["r"].Before(want), "it is %s early", want.Sub(next.storedKeepUntil["r"]))
}

// Guards against work on a runner that the store doesn't list, because it came back while a commit without it was on its way.
func TestRunnerThatComesBackDuringACommitGetsNoWorkBeforeTheStoreListsIt(t *testing.T) {
	l, runner := pendingRestart(t)
	l.RunnerUnlisted("r")
	batch, tx, err := l.prepareCommit(time.Now())
	require.NoError(t, err)
	require.NotContains(t, batch.runners, "r")
	l.RunnerListed(runner)
	stamp, err := l.Store.Commit(t.Context(), tx)
	require.NoError(t, err)
	l.handleCommitResult(batch, stamp, time.Now(), nil)
	require.NotContains(t, l.storedRunners, "r")
	require.False(t, l.pool.HasRunner("r"), "the next leader doesn't know of it")
}
