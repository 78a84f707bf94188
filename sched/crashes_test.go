package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

const (
	crashTick  = 100 * time.Millisecond
	taskLength = 1200 * time.Millisecond
)

// crashingPool is a fake pool with tasks that crash each runner that starts them. Other tasks are done after taskLength.
type crashingPool struct {
	*fakePool
	term             int
	jobs             map[work.ID]work.Job
	deadly           map[work.Task]struct{}
	downFor          time.Duration // from a runner's crash until it is back
	sameID           bool          // it is back under its ID, not as another runner of its machine
	backAt           map[string]time.Time
	startedAt        map[string]time.Time
	starts           map[work.Task]int
	crashes          map[work.Task]int
	startsAfterThree map[work.Task]int // after three crashes
	earlyCrashes     map[work.Task]int // within settleTime of a start, give or take a tick
}

func newCrashingPool(t *testing.T, runners int, cores int64) *crashingPool {
	return &crashingPool{
		fakePool: newFakePool(t, runners, cores), term: 1, jobs: map[work.ID]work.Job{}, deadly: map[work.Task]struct{}{}, downFor: 3300 * time.Millisecond,
		backAt: map[string]time.Time{}, startedAt: map[string]time.Time{}, starts: map[work.Task]int{}, crashes: map[work.Task]int{}, startsAfterThree: map[work.Task]int{}, earlyCrashes: map[work.Task]int{},
	}
}

// submit adds a job, and names its tasks with the given indexes of its first step as deadly.
func (f *crashingPool) submit(name string, step work.Step, deadly ...int) work.ID {
	id := f.accept(name, testQueue, step)
	f.jobs[id] = work.Job{Spec: name, Steps: []work.Step{step}}
	for _, i := range deadly {
		f.deadly[taskOf(id, 0, i)] = struct{}{}
	}
	return id
}

// step advances the clock by crashTick and reports whether a deadly task was started.
func (f *crashingPool) step() bool {
	f.restartRunners()
	for _, id := range f.runnerIDs() {
		for _, run := range f.runners[id].runs {
			job := f.jobs[run.Task.Job]
			if f.now.Sub(f.startedAt[run.Task.String()]) >= taskLength && !job.LongRunning() {
				f.endRun(id, run.Task, work.EndDone)
			}
		}
	}
	killed := false
	for _, order := range starts(f.advance(crashTick)) {
		f.starts[order.Task]++
		if f.crashes[order.Task] >= 3 {
			f.startsAfterThree[order.Task]++
		}
		f.startedAt[order.Task.String()] = f.now
		if _, ok := f.deadly[order.Task]; ok {
			killed = true
			f.crash(order.Runner)
		}
	}
	return killed
}

// crash crashes a runner with all that runs there.
func (f *crashingPool) crash(id string) {
	r := f.runners[id]
	if r.silent {
		return
	}
	for _, run := range r.runs {
		f.crashes[run.Task]++
		if f.now.Sub(f.startedAt[run.Task.String()]) <= settleTime+crashTick {
			f.earlyCrashes[run.Task]++
		}
	}
	r.runs, r.ends, r.silent = map[string]work.Run{}, nil, true
	f.backAt[id] = f.now.Add(f.downFor)
}

// restartRunners starts the crashed runners that are due.
func (f *crashingPool) restartRunners() {
	for id, at := range f.backAt {
		if f.now.Before(at) {
			continue
		}
		delete(f.backAt, id)
		info := f.runners[id].info
		info.Born = f.now.UnixMilli()
		if !f.sameID {
			delete(f.runners, id)
			info.ID = fmt.Sprintf("%s-%d", info.Machine, info.Born)
		}
		f.runners[info.ID] = &fakeRunner{info: info, runs: map[string]work.Run{}}
		f.pool.UpdateRunner(f.now, info)
	}
}

// changeLeader replaces the pool by that of a later leader, which knows what the store has.
func (f *crashingPool) changeLeader() {
	f.term++
	leases := testLeases
	leases.InheritedPlacements = true
	f.pool = New(f.now, f.term, leases, WithCheckInterval(0), WithViolationHook(func(err error) { f.violations = append(f.violations, err.Error()) }))
	for _, id := range f.runnerIDs() {
		f.pool.InheritRunner(f.runners[id].info, time.Time{}, time.Time{})
	}
	for id, job := range f.jobs {
		var progress *Progress
		if value, ok := f.stored[id]; ok {
			decoded, err := DecodeProgress(value)
			require.NoError(f.t, err)
			progress = &decoded
		}
		f.pool.RestoreJob(f.now, id, testQueue, job, f.now, progress)
	}
	for _, id := range f.runnerIDs() {
		if !f.runners[id].silent {
			f.pool.UpdateRunner(f.now, f.runners[id].info)
		}
	}
}

func (f *crashingPool) run(d time.Duration) {
	for range d / crashTick {
		f.step()
	}
}

// requireBudget checks that no task was started three times more after three runners had crashed under it.
func (f *crashingPool) requireBudget() {
	f.t.Helper()
	for task, n := range f.startsAfterThree {
		require.Less(f.t, n, 3, "task %s", task)
	}
}

// requireStates checks the states of jobs.
func (f *crashingPool) requireStates(want work.State, ids ...work.ID) {
	f.t.Helper()
	for _, id := range ids {
		got, _ := f.pool.State(id)
		require.Equal(f.t, want, got, "job %s", id)
	}
}

func TestTaskThatCrashesItsRunnersIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		step    work.Step
		downFor time.Duration
		sameID  bool
	}{
		"another runner is back":       {step: stepOf(2, 1000)},
		"the runner is back":           {step: stepOf(2, 1000), sameID: true},
		"after its lease":              {step: stepOf(2, 1000), downFor: 8 * time.Second},
		"the runner, after its lease":  {step: stepOf(2, 1000), downFor: 8 * time.Second, sameID: true},
		"long-running":                 {step: work.Step{Count: 2, Resources: work.Resources{CPU: 1000}, LongRunning: true}},
		"gang":                         {step: work.Step{Count: 2, Resources: work.Resources{CPU: 1000}, Estimate: time.Second, Gang: true}},
		"a task as large as a runner":  {step: stepOf(2, 8000)},
		"best effort":                  {step: work.Step{Count: 2, Resources: work.Resources{CPU: 1000}, LongRunning: true, BestEffort: true}},
		"one task on a runner at most": {step: work.Step{Count: 2, Resources: work.Resources{CPU: 1000}, Estimate: time.Second, MaxPerRunner: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashingPool(t, 4, 8)
			f.sameID = test.sameID
			f.downFor = max(f.downFor, test.downFor)
			var others []work.ID
			for i := range 6 {
				others = append(others, f.submit(fmt.Sprintf("a%d", i), stepOf(2, 1000)))
			}
			id := f.submit("d", test.step, 1)
			if test.step.Gang {
				f.deadly[taskOf(id, 0, 0)] = struct{}{} // without it the gang never runs
			}
			f.run(60 * time.Second)
			f.requireStates(work.Failed, id)
			f.requireStates(work.Done, others...)
			f.requireBudget()
		})
	}
}

func TestManyTasksThatCrashRunnersLeaveTheOthersToEnd(t *testing.T) {
	f := newCrashingPool(t, 6, 8)
	var others, deadly []work.ID
	for i := range 40 {
		if i%5 == 0 {
			deadly = append(deadly, f.submit(fmt.Sprintf("d%d", i), stepOf(3, 1000), i%3))
		} else {
			others = append(others, f.submit(fmt.Sprintf("a%d", i), stepOf(3, 1000)))
		}
		f.run(300 * time.Millisecond)
	}
	f.run(60 * time.Second)
	f.requireStates(work.Failed, deadly...)
	f.requireStates(work.Done, others...)
	f.requireBudget()
	for task := range f.deadly {
		require.LessOrEqual(t, f.starts[task], 3, "%s", task)
	}
}

// Guards against a task that is started for ever because each leader counts its crashes from the beginning.
func TestCrashesCountUnderLaterLeaders(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		for kills := range 4 {
			t.Run(fmt.Sprintf("same ID %v, %d leaders lost", sameID, kills), func(t *testing.T) {
				f := newCrashingPool(t, 4, 8)
				f.sameID = sameID
				other := f.submit("a", stepOf(2, 1000))
				id := f.submit("d", stepOf(2, 1000), 1)
				left := kills
				for range 120 * time.Second / crashTick {
					started := f.step()
					// The first leader to be lost is that of the second start: it has counted one crash.
					if started && left > 0 && f.starts[taskOf(id, 0, 1)] > 1 {
						left--
						f.changeLeader()
					}
				}
				f.requireStates(work.Failed, id)
				f.requireStates(work.Done, other)
				f.requireBudget()
			})
		}
	}
}

// A crash within settleTime of a start, twice running, is all that looks like a task that crashes its runners.
func TestCrashesOfRunnersFailOnlyTasksThatHadJustStartedThereTwice(t *testing.T) {
	failed, jobs := 0, 0
	for seed := range uint64(20) {
		f := newCrashingPool(t, 6, 8)
		f.sameID = seed%2 == 0
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range 60 {
			f.submit(fmt.Sprintf("a%d", i), stepOf(1+rng.IntN(6), 1000))
			for range 4 {
				f.step()
				if rng.IntN(32) == 0 {
					f.crash(f.runnerIDs()[rng.IntN(6)])
				}
			}
		}
		f.run(60 * time.Second)
		for id, job := range f.jobs {
			jobs++
			state, _ := f.pool.State(id)
			if state == work.Done {
				continue
			}
			failed++
			require.Equal(t, work.Failed, state, "job %s", id)
			early := 0
			for i := range job.Steps[0].Count {
				early = max(early, f.earlyCrashes[taskOf(id, 0, i)])
			}
			require.GreaterOrEqual(t, early, 2, "job %s", id)
		}
	}
	require.Less(t, failed, jobs/200)
}

func TestSuspectsOfDifferentJobsDoNotShareARunner(t *testing.T) {
	f := newCrashingPool(t, 4, 8)
	var ids []work.ID
	for i := range 3 {
		ids = append(ids, f.submit(fmt.Sprintf("a%d", i), stepOf(1, 1000)))
	}
	f.step()
	crashed := f.runnerOf(taskOf(ids[0], 0, 0))
	require.Equal(t, crashed, f.runnerOf(taskOf(ids[2], 0, 0)), "the tightest fit puts them together")
	f.crash(crashed)
	for range 5 * time.Second / crashTick {
		f.step()
		jobs := map[string]work.ID{}
		for _, id := range ids {
			at := f.runnerOf(taskOf(id, 0, 0))
			if age := f.now.Sub(f.startedAt[taskOf(id, 0, 0).String()]); at == "" || age >= settleTime {
				continue
			}
			require.Empty(t, jobs[at])
			jobs[at] = id
		}
	}
	f.run(10 * time.Second)
	f.requireStates(work.Done, ids...)
}

func TestPlannedEndsOfRunnersAreNoCrashes(t *testing.T) {
	ends := map[string]func(f *crashingPool, info work.Runner){
		"evacuated": func(f *crashingPool, info work.Runner) {
			f.pool.SetEvacuating(info.ID, true)
			info.ID, info.Born = info.ID+"x", info.Born+1
			f.pool.UpdateRunner(f.now, info)
		},
		"draining": func(f *crashingPool, info work.Runner) {
			info.Draining = true
			f.pool.UpdateRunner(f.now, info)
			info.ID, info.Born, info.Draining = info.ID+"x", info.Born+1, false
			f.pool.UpdateRunner(f.now, info)
		},
		"moved": func(f *crashingPool, info work.Runner) {
			info.ID, info.Born, info.Service = info.ID+"x", info.Born+1, "other"
			f.pool.HandleReplacement(f.now, info)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newCrashingPool(t, 2, 8)
			id := f.submit("a", stepOf(1, 1000))
			f.step()
			end(f, f.runners[f.runnerOf(taskOf(id, 0, 0))].info)
			require.Empty(t, f.pool.jobs[id].findTask(taskOf(id, 0, 0)).crashes)
		})
	}
}

func TestTaskThatHasRunAwhileIsCleared(t *testing.T) {
	f := newCrashingPool(t, 3, 8)
	id := f.submit("a", work.Step{Count: 1, Resources: work.Resources{CPU: 1000}, LongRunning: true})
	task := taskOf(id, 0, 0)
	for range 8 {
		f.run(5 * time.Second)
		require.False(t, f.pool.jobs[id].findTask(task).suspect)
		f.crash(f.runnerOf(task))
	}
	f.run(5 * time.Second)
	f.requireStates(work.Running, id)
}

func TestProgressKeepsCrashesAndTrials(t *testing.T) {
	f := newCrashingPool(t, 3, 8)
	id := f.submit("d", stepOf(2, 1000), 1)
	for f.starts[taskOf(id, 0, 1)] < 2 {
		f.step()
	}
	pr, err := DecodeProgress(f.stored[id])
	require.NoError(t, err)
	require.Empty(t, pr.Occurrences)
	require.Equal(t, []Crash{{Run: 1, Certain: true}}, pr.Tasks.Crashes[1])
	require.Equal(t, 2, pr.Tasks.Trials[1].Run)
	require.NotEmpty(t, pr.Tasks.Trials[1].Machine)

	old, err := DecodeProgress([]byte(`{"state":"running","turns":[{"turn":0,"steps":[{"fails":{"1":[1]}}]}]}`))
	require.NoError(t, err)
	require.Empty(t, old.Occurrences[0].Steps[0].Crashes)
	require.Equal(t, []int{1}, old.Occurrences[0].Steps[0].FailedRuns[1])
}

func TestPollOfARunnerWithATrialIsAnsweredWhenItHasSettled(t *testing.T) {
	f := newCrashingPool(t, 2, 8)
	id := f.submit("a", stepOf(1, 1000))
	f.step()
	first := f.runnerOf(taskOf(id, 0, 0))
	require.Equal(t, time.Second, f.pool.PollWait(f.now, first, time.Second))
	f.crash(first)
	for f.starts[taskOf(id, 0, 0)] < 2 {
		f.step()
	}
	second := f.runnerOf(taskOf(id, 0, 0))
	require.Equal(t, settleTime, f.pool.PollWait(f.now, second, time.Second))
	require.Equal(t, settleTime-crashTick, f.pool.PollWait(f.now.Add(crashTick), second, time.Second))
	f.run(settleTime + crashTick)
	require.Equal(t, time.Second, f.pool.PollWait(f.now, second, time.Second))
}

// Guards against a suspect that waits for ever because more urgent tasks keep starting on every runner.
func TestSuspectStartsThoughMoreUrgentTasksKeepStarting(t *testing.T) {
	f := newCrashingPool(t, 4, 8)
	id := f.submit("a", stepOf(1, 1000))
	task := taskOf(id, 0, 0)
	f.step()
	f.crash(f.runnerOf(task))
	urgent, crashedAt := testQueue, f.now
	urgent.Name, urgent.Priority = "urgent", -1
	spread := work.Step{Count: 4, Resources: work.Resources{CPU: 500}, Estimate: time.Second, MaxPerRunner: 1}
	for i := 0; f.starts[task] < 2; i++ {
		f.jobs[f.accept(fmt.Sprintf("b%d", i), urgent, spread)] = work.Job{Steps: []work.Step{spread}}
		f.step()
		f.step()
		require.Less(t, f.now.Sub(crashedAt), f.downFor+2*time.Second)
	}
}
