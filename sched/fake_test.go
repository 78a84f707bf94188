package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// fakePool is a pool with fake runners that carry out its orders, on a clock that the test advances.
type fakePool struct {
	t          *testing.T
	pool       *Pool
	now        time.Time
	runners    map[string]*fakeRunner
	orders     []Order
	violations []string
	stored     map[work.ID][]byte // committed progress
	version    int64              // of the store
}

type fakeRunner struct {
	info    work.Runner
	runs    map[string]work.Run
	ends    []work.RunEnd
	lastEnd int64
	silent  bool // answers nothing
	clock   time.Duration
	cutAt   int // ends in one answer; 0 is no limit, and ends are never dropped then
}

var testLeases = LeaseConfig{TTL: 4500 * time.Millisecond, InheritedTTL: 13 * time.Second}

func newFakePool(t *testing.T, runners int, cores int64) *fakePool {
	f := &fakePool{t: t, now: time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC), runners: map[string]*fakeRunner{}, stored: map[work.ID][]byte{}}
	f.pool = New(f.now, 1, testLeases, WithCheckInterval(0), WithStopTime(200*time.Millisecond), WithViolationHook(func(err error) { f.violations = append(f.violations, err.Error()) }))
	for i := range runners {
		f.addRunner(fmt.Sprintf("r%d", i), cores)
	}
	f.poll()
	return f
}

// addRunner adds a runner; two with successive numbers share a rack.
func (f *fakePool) addRunner(id string, cores int64) {
	i := len(f.runners)
	info := work.Runner{
		ID: id, Machine: fmt.Sprintf("m%d", i), Service: "s", Room: work.Resources{CPU: cores * 1000, Mem: 1 << 20},
		Labels: []string{"a", fmt.Sprintf("rack%d", i/2)}, Born: 1,
	}
	f.runners[id] = &fakeRunner{info: info, runs: map[string]work.Run{}}
	f.pool.UpdateRunner(f.now, info)
}

// restart restarts a runner under its ID.
func (f *fakePool) restart(id string) {
	r := f.runners[id]
	r.info.Born++
	r.lastEnd, r.ends, r.clock, r.runs = 0, nil, 0, map[string]work.Run{}
}

var testQueue = work.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Aim: 600 * time.Millisecond}

// accept adds a job to the pool and returns its ID.
func (f *fakePool) accept(id string, q work.Queue, steps ...work.Step) work.ID {
	jobID := work.ID(fmt.Sprintf("%016s", id))
	f.pool.Accept(f.now, jobID, q, work.Job{Spec: id, Steps: steps})
	return jobID
}

func (f *fakePool) runnerIDs() []string {
	var list []string
	for id := range f.runners {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// poll polls every runner. Silent ones don't answer.
func (f *fakePool) poll() {
	for _, id := range f.runnerIDs() {
		r := f.runners[id]
		f.pool.PollSent(f.now, id, 0)
		f.pool.ExtendLease(f.now, id)
		if r.silent {
			f.pool.HandlePollFailure(f.now, id)
			continue
		}
		result := work.PollResult{Clock: r.clock, Born: r.info.Born, Ends: slices.Clone(r.ends)}
		if r.cutAt > 0 {
			acked := f.pool.AckCursor(id)
			r.ends = slices.DeleteFunc(r.ends, func(e work.RunEnd) bool { return e.N <= acked })
			result.Ends = slices.Clone(r.ends[:min(len(r.ends), r.cutAt)])
			result.MoreEnds = len(result.Ends) == r.cutAt
		}
		for _, run := range r.runs {
			result.Runs = append(result.Runs, run)
		}
		f.pool.HandlePollResult(f.now, id, f.now, f.pool.Fence(id), result)
	}
}

// advance advances the clock, polls the runners, commits, plans and executes the orders.
func (f *fakePool) advance(d time.Duration) []Order {
	f.now = f.now.Add(d)
	for _, r := range f.runners {
		r.clock += d
	}
	f.poll()
	f.commit()
	return f.plan()
}

// commit commits the progress that isn't committed.
func (f *fakePool) commit() {
	batch := f.pool.UncommittedBatch(f.now, 100, true)
	for _, b := range batch {
		value, err := b.Progress.Encode()
		require.NoError(f.t, err)
		f.stored[b.ID] = value
	}
	f.pool.MarkCommitted(f.now, batch)
	f.version++
	keeps := f.pool.RestartedRunners(f.now)
	for _, id := range f.runnerIDs() {
		f.pool.IncarnationRecorded(f.now, id, f.pool.Fence(id).Born, f.version, keeps[id])
	}
}

// plan plans and executes the orders.
func (f *fakePool) plan() []Order {
	f.orders = f.planCommitted(true)
	for _, o := range f.orders {
		f.execute(o)
	}
	require.Empty(f.t, f.violations)
	return f.orders
}

// planCommitted returns the orders of a plan and of the one after it, by which the store has the placements of the runs
// that the first one planned.
func (f *fakePool) planCommitted(confirmed bool) []Order {
	orders := slices.Clone(f.pool.Plan(f.now, f.now, confirmed))
	f.commit()
	return append(orders, f.pool.Plan(f.now, f.now, confirmed)...)
}

func (f *fakePool) execute(o Order) {
	switch order := o.(type) {
	case Start:
		r := f.runners[order.Runner]
		if r.silent {
			f.pool.HandleStartResult(f.now, order, OutcomeUnknown, "", 0)
			return
		}
		r.runs[order.Task.String()] = work.Run{Task: order.Task, Run: order.Run}
		f.pool.HandleStartResult(f.now, order, OutcomeDone, "", r.clock)
	case Stop:
		r := f.runners[order.Runner]
		if r.silent {
			f.pool.HandleStopResult(f.now, order, OutcomeUnknown)
			return
		}
		f.endRun(order.Runner, order.Task, work.EndStopped)
		f.pool.HandleStopResult(f.now, order, OutcomeDone)
	case Pace, ApprovalRequest:
	}
}

// endRun ends a task's run on a runner.
func (f *fakePool) endRun(runner string, t work.Task, reason work.EndReason) {
	r := f.runners[runner]
	run, ok := r.runs[t.String()]
	if !ok {
		return
	}
	delete(r.runs, t.String())
	r.lastEnd++
	r.ends = append(r.ends, work.RunEnd{N: r.lastEnd, Task: t, Run: run.Run, Reason: reason})
}

// runnerOf returns the ID of the runner that has a run of the task, or "".
func (f *fakePool) runnerOf(t work.Task) string {
	for _, id := range f.runnerIDs() {
		if _, ok := f.runners[id].runs[t.String()]; ok {
			return id
		}
	}
	return ""
}

// setProgress sets what the task's runner reports of its run.
func (f *fakePool) setProgress(t work.Task, percent int, load float64) {
	id := f.runnerOf(t)
	run := f.runners[id].runs[t.String()]
	run.Percent, run.Load = percent, load
	f.runners[id].runs[t.String()] = run
}

// ordersOfType returns the orders of type T.
func ordersOfType[T Order](orders []Order) []T {
	var list []T
	for _, o := range orders {
		if order, ok := o.(T); ok {
			list = append(list, order)
		}
	}
	return list
}

func starts(orders []Order) []Start { return ordersOfType[Start](orders) }
func stops(orders []Order) []Stop   { return ordersOfType[Stop](orders) }
func paces(orders []Order) []Pace   { return ordersOfType[Pace](orders) }

func stepOf(count int, cpu int64) work.Step {
	return work.Step{Count: count, Resources: work.Resources{CPU: cpu}, Estimate: time.Second}
}

func taskOf(id work.ID, stepIndex, index int) work.Task {
	return work.Task{Job: id, Step: stepIndex, Index: index}
}

// loseRunnerOf runs a new job's task on r0, makes r0 silent, and returns once the task has started again on a new runner.
func (f *fakePool) loseRunnerOf(job string) {
	task := taskOf(f.accept(job, testQueue, stepOf(1, 2000)), 0, 0)
	for begun := f.now; f.runnerOf(task) == ""; f.advance(tickInterval) {
		require.Less(f.t, f.now.Sub(begun), time.Second)
	}
	f.runners["r0"].silent = true
	f.addRunner("r1", 4)
	var again []Start
	for len(again) == 0 {
		again = starts(f.advance(tickInterval))
	}
	require.Equal(f.t, "r1", again[0].Runner)
}
