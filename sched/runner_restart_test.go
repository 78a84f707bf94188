package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// reborn starts a task on one of two runners, lets that runner start anew under its name, and returns the
// runner's name. Where listed is set a look has listed the task before; where arrived is set the order has
// reached the new life.
func reborn(t *testing.T, listed, arrived bool) (*fake, work.Task, string) {
	f := newFake(t, 2, 4)
	id := f.accept("a", queue, stepOf(1, 2000))
	require.Len(t, starts(f.step(tickTime)), 1)
	task := taskOf(id, 0, 0)
	on := f.where(task)
	if listed {
		f.look()
	}
	r := f.runners[on]
	r.w.Born++
	r.n, r.ends, r.clock = 0, nil, time.Second
	if !arrived {
		r.runs = map[string]work.Run{}
	}
	f.p.UpdateRunner(f.now, r.w)
	return f, task, on
}

// plan plans without a look before.
func (f *fake) plan() []Order {
	f.orders = f.p.Plan(f.now, f.now, true)
	for _, o := range f.orders {
		f.carryOut(o)
	}
	require.Empty(f.t, f.broken)
	return f.orders
}

func TestOrderThatReachedTheNewLifeOfItsRunnerIsNotGivenAgain(t *testing.T) {
	f, task, on := reborn(t, false, true)
	require.Empty(t, starts(f.plan()), "the runner may have the task in its new life")
	for range 5 {
		require.Empty(t, starts(f.step(tickTime)))
	}
	require.Equal(t, on, f.where(task))
	f.end(on, task, work.EndDone)
	f.step(tickTime)
	s, _ := f.p.State(task.Job)
	require.Equal(t, work.Done, s)
}

func TestOrderThatDidNotReachTheNewLifeIsForbiddenAndThenGivenAgain(t *testing.T) {
	f, task, _ := reborn(t, false, false)
	require.Empty(t, starts(f.plan()))
	var again []Start
	stopped := false
	for range 10 {
		orders := f.step(tickTime)
		for _, o := range orders {
			if s, ok := o.(Stop); ok && s.Task == task {
				stopped = true
			}
		}
		again = append(again, starts(orders)...)
		if len(again) > 0 {
			break
		}
	}
	require.True(t, stopped, "nothing may start before the old order is forbidden")
	require.Len(t, again, 1)
}

func TestTaskThatTheOldLifeListedIsStartedAgainAtOnce(t *testing.T) {
	f, _, _ := reborn(t, true, false)
	require.Len(t, starts(f.plan()), 1)
}

// A new life that never answers must not keep the task for good.
func TestNewLifeThatStaysSilentKeepsItsTaskForALeaseOnly(t *testing.T) {
	f, task, on := reborn(t, false, false)
	f.runners[on].mute = true
	f.p.HandlePollFailure(f.now, on)
	began := f.now
	for f.now.Sub(began) < 2*bounds.TTL {
		for _, o := range starts(f.step(tickTime)) {
			require.Equal(t, task, o.Task)
			require.NotEqual(t, on, o.Runner)
			require.GreaterOrEqual(t, f.now.Sub(began), bounds.TTL)
			return
		}
	}
	t.Fatal("the task wasn't started again")
}
