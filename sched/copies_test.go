package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// copied is a pool with a step of four tasks, the first of which is slow and has a copy.
type copied struct {
	*fakePool
	id         work.ID
	task       work.Task
	slow, copy string // runners
}

// newSlowStep returns a pool of five runners of 40 cores and a step of four tasks, of which the first reports progress that
// makes it seven times as slow as the others.
func newSlowStep(t *testing.T, spec work.Step) copied {
	f := newFakePool(t, 5, 40)
	id := f.accept("a", testQueue, spec)
	f.advance(0)
	f.advance(350 * time.Millisecond)
	for i := range spec.Count {
		f.setProgress(taskOf(id, 0, i), 70, 0)
	}
	c := copied{fakePool: f, id: id, task: taskOf(id, 0, 0)}
	c.slow = f.runnerOf(c.task)
	f.setProgress(c.task, 10, 0)
	return c
}

func speculative() work.Step {
	s := stepOf(4, 4000)
	s.Speculative, s.MaxPerRunner = true, 1
	return s
}

// newCopied returns a pool in which the slow task has got its copy.
func newCopied(t *testing.T) copied {
	c := newSlowStep(t, speculative())
	got := starts(c.advance(350 * time.Millisecond))
	require.Len(t, got, 1, "the slow task gets one copy, the others none")
	require.Equal(t, c.task, got[0].Task)
	require.Greater(t, got[0].Run, 1)
	c.copy = got[0].Runner
	require.NotEqual(t, c.slow, c.copy)
	c.advance(100 * time.Millisecond)
	return c
}

// runnersOf returns the runners that have a run of the task.
func (c copied) runnersOf() []string {
	return slices.DeleteFunc(c.runnerIDs(), func(id string) bool { _, ok := c.runners[id].runs[c.task.String()]; return !ok })
}

// finishOthers ends the step's other tasks.
func (c copied) finishOthers() {
	for i := 1; i < 4; i++ {
		c.finish(taskOf(c.id, 0, i))
	}
}

func (c copied) state() work.State { state, _ := c.pool.State(c.id); return state }

// Whichever run is first counts, and the other is stopped without counting against its task or its runner.
func TestFirstRunToEndCounts(t *testing.T) {
	for name, copyWins := range map[string]bool{"copy": true, "original": false} {
		t.Run(name, func(t *testing.T) {
			c := newCopied(t)
			winner, loser := c.slow, c.copy
			if copyWins {
				winner, loser = c.copy, c.slow
			}
			c.endRun(winner, c.task, work.EndDone)
			stopped := stops(c.advance(50 * time.Millisecond))
			require.Len(t, stopped, 1)
			require.Equal(t, loser, stopped[0].Runner)
			c.finishOthers()
			for range 3 {
				require.Empty(t, starts(c.advance(50*time.Millisecond)))
			}
			require.Equal(t, work.Done, c.state())
			tk := c.pool.jobs[c.id].findTask(c.task)
			require.Empty(t, tk.failedRuns)
			require.Empty(t, tk.failedOn)
			require.Empty(t, c.pool.runners[loser].health.strikes)
			stats := c.pool.Stats(c.now).Copies
			require.Equal(t, Copies{Started: 1, Won: stats.Won, Lost: 1 - stats.Won}, stats)
			require.Equal(t, copyWins, stats.Won == 1)
			require.Equal(t, copyWins, c.pool.runners[c.slow].health.slowdown > 1, "a run that a copy overtakes shows a slow runner")
		})
	}
}

// A loser that fails or crashes its runner before its stop arrives isn't held against the task.
func TestLoserFailsAfterTaskIsDone(t *testing.T) {
	c := newCopied(t)
	c.endRun(c.copy, c.task, work.EndDone)
	c.poll()
	c.endRun(c.slow, c.task, work.EndFailed)
	c.advance(50 * time.Millisecond)
	require.Empty(t, c.pool.jobs[c.id].findTask(c.task).failedRuns)
	require.Empty(t, c.pool.runners[c.slow].health.strikes)
}

// One failure counts once and leaves the other run going; after both have failed the attempts are used up.
func TestCopyFailures(t *testing.T) {
	c := newCopied(t)
	c.endRun(c.copy, c.task, work.EndFailed)
	require.Empty(t, stops(c.advance(50*time.Millisecond)))
	require.Equal(t, []string{c.slow}, c.runnersOf())
	require.Len(t, c.pool.jobs[c.id].findTask(c.task).failedRuns, 1)
	for range 10 {
		require.Empty(t, starts(c.advance(50*time.Millisecond)), "with one of two attempts left both runs of a further copy could fail")
	}
	c.endRun(c.slow, c.task, work.EndFailed)
	require.Empty(t, starts(c.advance(50*time.Millisecond)))
	require.Equal(t, work.Failed, c.state())
	require.Len(t, c.pool.jobs[c.id].findTask(c.task).failedRuns, testQueue.Attempts)
}

// The loss of one run's runner leaves the other; the task neither waits nor fails.
func TestRunnerOfOneCopyIsLost(t *testing.T) {
	c := newCopied(t)
	c.runners[c.slow].silent = true
	for range 120 {
		c.advance(50 * time.Millisecond)
		r := c.runners[c.copy].runs[c.task.String()]
		r.Percent = min(99, r.Percent+1)
		c.runners[c.copy].runs[c.task.String()] = r
	}
	require.Len(t, c.pool.jobs[c.id].findTask(c.task).runs, 1)
	c.endRun(c.copy, c.task, work.EndDone)
	c.advance(50 * time.Millisecond)
	require.True(t, c.pool.jobs[c.id].findTask(c.task).done)
}

// A new leader finds both runs on their runners and keeps both.
func TestNewLeaderAdoptsBothRuns(t *testing.T) {
	c := newCopied(t)
	progress, err := DecodeProgress(c.stored[c.id])
	require.NoError(t, err)
	spec := c.pool.jobs[c.id].spec
	c.pool = New(c.now, 2, testLeases, WithCheckInterval(0), WithViolationHook(func(err error) { c.violations = append(c.violations, err.Error()) }))
	for _, id := range c.runnerIDs() {
		c.pool.InheritRunner(c.runners[id].info, time.Time{}, time.Time{})
	}
	c.pool.RestoreJob(c.now, c.id, testQueue, spec, c.now, &progress)
	for _, id := range c.runnerIDs() {
		c.pool.UpdateRunner(c.now, c.runners[id].info)
	}
	for range 3 {
		require.Empty(t, c.advance(50*time.Millisecond))
	}
	require.Len(t, c.pool.jobs[c.id].findTask(c.task).runs, 2)
	c.endRun(c.copy, c.task, work.EndDone)
	require.Len(t, stops(c.advance(50*time.Millisecond)), 1)
	require.Equal(t, int64(1), c.pool.Stats(c.now).Copies.Won)
}

// A start that wasn't answered may be carried out seconds later. If the earlier run's end was acknowledged before that, the
// task would start after it is done.
func TestEndIsAcknowledgedOnceCopyCannotStart(t *testing.T) {
	c := newSlowStep(t, speculative())
	c.now = c.now.Add(350 * time.Millisecond)
	c.poll()
	order := starts(c.planCommitted(true))[0]
	c.pool.HandleStartResult(c.now, order, OutcomeUnknown, "", 0)
	c.endRun(c.slow, c.task, work.EndDone)
	c.poll()
	c.commit()
	stop := stops(c.pool.Plan(c.now, c.now, true))
	require.Len(t, stop, 1)
	require.Zero(t, c.pool.AckCursor(c.slow))
	c.pool.HandleStopResult(c.now, stop[0], OutcomeDone)
	c.pool.Plan(c.now, c.now, true)
	require.Equal(t, int64(1), c.pool.AckCursor(c.slow))
}

// Both runs of a cancelled job's task are stopped.
func TestCancelStopsBothRuns(t *testing.T) {
	c := newCopied(t)
	c.pool.Cancel(c.now, c.id)
	c.advance(50 * time.Millisecond)
	c.advance(50 * time.Millisecond)
	require.Empty(t, c.runnersOf())
}

// Copies must not take room that others need, exceed their share, exceed the attempts, or run where the step doesn't allow them.
func TestNoCopy(t *testing.T) {
	for name, set := range map[string]func(*copied){
		"tasks of equal precedence wait": func(c *copied) { c.accept("b", testQueue, stepOf(1, 41000), stepOf(1, 40000)) },
		"more urgent tasks wait": func(c *copied) {
			urgent := testQueue
			urgent.Priority = -1
			c.accept("b", urgent, stepOf(1, 40000))
		},
		"no attempt left":          func(c *copied) { c.pool.jobs[c.id].findTask(c.task).failedRuns = []int{7} },
		"the task is suspect":      func(c *copied) { c.pool.jobs[c.id].findTask(c.task).suspect = true },
		"checkpoint to go on from": func(c *copied) { c.pool.jobs[c.id].findTask(c.task).checkpoint = "x" },
		"store takes no commits":   func(c *copied) { c.pool.SetStoreAvailable(false) },
		"more than a twentieth":    func(c *copied) { c.pool.jobs[c.id].spec.Steps[0].Resources.CPU = 10001 },
		"copies never win":         func(c *copied) { c.pool.copyRecords["q"] = &copyRecord{lost: 20, startedAt: c.now} },
		"not speculative":          func(c *copied) { c.pool.jobs[c.id].spec.Steps[0].Speculative = false },
	} {
		t.Run(name, func(t *testing.T) {
			c := newSlowStep(t, speculative())
			set(&c)
			c.now = c.now.Add(350 * time.Millisecond)
			c.poll()
			for _, s := range starts(c.pool.Plan(c.now, c.now, true)) {
				require.NotEqual(t, c.task, s.Task)
			}
			require.Zero(t, c.pool.Stats(c.now).Copies.Started)
		})
	}
}

// Guards against slow tasks that get no copies while a task waits that no runner can ever take.
func TestTaskThatNoRunnerCanTakeKeepsNoRoomFromCopies(t *testing.T) {
	c := newSlowStep(t, speculative())
	c.accept("b", testQueue, stepOf(1, 41000))
	require.Len(t, starts(c.advance(350*time.Millisecond)), 1)
}

// Tasks that are long wherever they run make copies lose: the queue gets no more, but for one now and then.
func TestQueueStopsCopiesThatNeverWin(t *testing.T) {
	record := &copyRecord{}
	made := 0
	for copyPays(6*time.Second, time.Second, record.odds()) {
		record.record(false)
		made++
	}
	require.Positive(t, made)
	require.Less(t, made, 6)
	require.True(t, copyPays(6*time.Second, time.Second, new(copyRecord).odds()))
	require.False(t, copyPays(1500*time.Millisecond, time.Second, 1), "the run is hardly slow")
}
