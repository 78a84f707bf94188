package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// fake is a pool with runners that do what they are told, on a clock that the test moves.
type fake struct {
	t       *testing.T
	p       *Pool
	now     time.Time
	runners map[string]*fakeRunner
	orders  []Order
	broken  []string
}

type fakeRunner struct {
	w     work.Runner
	runs  map[string]work.Run
	ends  []work.RunEnd
	n     int64
	mute  bool
	clock time.Duration
}

var bounds = LeaseConfig{TTL: 4500 * time.Millisecond, InheritedTTL: 13 * time.Second}

func newFake(t *testing.T, runners int, cores int64) *fake {
	f := &fake{t: t, now: time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC), runners: map[string]*fakeRunner{}}
	f.p = New(f.now, 1, bounds, WithCheckInterval(0), WithViolationHook(func(err error) { f.broken = append(f.broken, err.Error()) }))
	for i := range runners {
		w := work.Runner{
			ID: fmt.Sprintf("r%d", i), Machine: fmt.Sprintf("m%d", i), Service: "s", Room: work.Resources{CPU: cores * 1000, Mem: 1 << 20},
			Labels: []string{"a", fmt.Sprintf("rack%d", i/2)}, Born: 1,
		}
		f.runners[w.ID] = &fakeRunner{w: w, runs: map[string]work.Run{}}
		f.p.UpdateRunner(f.now, w)
	}
	f.look()
	return f
}

var queue = work.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Aim: 600 * time.Millisecond}

// accept hands a job in.
func (f *fake) accept(id string, q work.Queue, steps ...work.Step) work.ID {
	full := work.ID(fmt.Sprintf("%016s", id))
	f.p.Accept(f.now, full, q, work.Job{Spec: id, Steps: steps})
	return full
}

func (f *fake) ids() []string {
	var list []string
	for id := range f.runners {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// look has every runner that isn't mute tell what it runs.
func (f *fake) look() {
	for _, id := range f.ids() {
		r := f.runners[id]
		f.p.PollSent(f.now, id, 0)
		f.p.ExtendLease(f.now, id)
		if r.mute {
			f.p.HandlePollFailure(f.now, id)
			continue
		}
		l := work.PollResult{Clock: r.clock, Born: r.w.Born, Ends: slices.Clone(r.ends)}
		for _, x := range r.runs {
			l.Runs = append(l.Runs, x)
		}
		f.p.HandlePollResult(f.now, id, f.now, l)
	}
}

// step moves the clock, has the runners told on, plans, and carries the orders out.
func (f *fake) step(d time.Duration) []Order {
	f.now = f.now.Add(d)
	for _, r := range f.runners {
		r.clock += d
	}
	f.look()
	f.p.MarkCommitted(f.now, f.p.UncommittedBatch(f.now, 100, true))
	f.orders = f.p.Plan(f.now, f.now, true)
	for _, o := range f.orders {
		f.carryOut(o)
	}
	require.Empty(f.t, f.broken)
	return f.orders
}

func (f *fake) carryOut(o Order) {
	switch o := o.(type) {
	case Start:
		r := f.runners[o.Runner]
		if r.mute {
			f.p.HandleStartResult(f.now, o, OutcomeUnknown, "", 0)
			return
		}
		r.runs[o.Task.String()] = work.Run{Task: o.Task, Run: o.Run}
		f.p.HandleStartResult(f.now, o, OutcomeDone, "", r.clock)
	case Stop:
		r := f.runners[o.Runner]
		if r.mute {
			f.p.HandleStopResult(f.now, o, OutcomeUnknown)
			return
		}
		f.end(o.Runner, o.Task, work.EndStopped)
		f.p.HandleStopResult(f.now, o, OutcomeDone)
	case Pace, ApprovalRequest:
	}
}

// end ends a task's run on a runner.
func (f *fake) end(runner string, t work.Task, how work.EndReason) {
	r := f.runners[runner]
	x, ok := r.runs[t.String()]
	if !ok {
		return
	}
	delete(r.runs, t.String())
	r.n++
	r.ends = append(r.ends, work.RunEnd{N: r.n, Task: t, Run: x.Run, Reason: how})
}

// where returns the runner of a task, or "".
func (f *fake) where(t work.Task) string {
	for _, id := range f.ids() {
		if _, ok := f.runners[id].runs[t.String()]; ok {
			return id
		}
	}
	return ""
}

// set changes what a runner says of a task's run.
func (f *fake) set(t work.Task, percent int, load float64) {
	id := f.where(t)
	x := f.runners[id].runs[t.String()]
	x.Percent, x.Load = percent, load
	f.runners[id].runs[t.String()] = x
}

// only returns the orders of one kind.
func only[T Order](orders []Order) []T {
	var list []T
	for _, o := range orders {
		if x, ok := o.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func starts(orders []Order) []Start { return only[Start](orders) }
func stops(orders []Order) []Stop   { return only[Stop](orders) }
func paces(orders []Order) []Pace   { return only[Pace](orders) }

func stepOf(count int, cpu int64) work.Step {
	return work.Step{Count: count, Resources: work.Resources{CPU: cpu}, Estimate: time.Second}
}

func taskOf(id work.ID, n, i int) work.Task { return work.Task{Job: id, Step: n, Index: i} }
