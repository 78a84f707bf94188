package standin

import (
	"fmt"
	"time"

	"gypsumlead/work"
)

func (r *Runner) start(o wireOrder) string {
	until := time.Duration(o.DeadlineMs) * time.Millisecond
	if until < r.clock() {
		return "late"
	}
	r.extend(until)
	if x := r.runs[o.Task]; x != nil && x.n == o.Run {
		return ""
	}
	if r.past[o.Task] >= o.Run || r.runs[o.Task] != nil {
		return "old"
	}
	t, ok := work.ParseTask(o.Task)
	s, ok2 := specOf(o.Spec)
	if !ok || !ok2 || t.Step >= len(s.Steps) {
		return "bad"
	}
	step := s.Steps[t.Step]
	if !step.BestEffort && !r.roomFor(step) {
		return "room"
	}
	x := &running{name: o.Task, n: o.Run, spec: step, since: time.Now(), pace: 100, total: time.Duration(step.RunMS) * time.Millisecond}
	if o.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscanf(o.Checkpoint, "%d", &ms); err != nil {
			r.judge.breach("a checkpoint that no run made: %s of %s", o.Checkpoint, o.Task)
		}
		x.base = time.Duration(ms) * time.Millisecond
		x.total += restoring
	}
	r.runs[o.Task] = x
	x.end = time.AfterFunc(time.Hour*24*365, func() {})
	r.rest(x)
	r.judge.started(r, t, o.Run)
	return ""
}

// rest sets when a run ends.
func (r *Runner) rest(x *running) {
	x.end.Stop()
	if r.faults.FailRuns {
		x.end = time.AfterFunc(stopTime, func() { r.finish(x, work.EndFailed) })
		return
	}
	if x.spec.LongRunning || r.faults.StallRuns {
		return
	}
	how := work.EndDone
	if x.spec.AlwaysFails {
		how = work.EndFailed
	}
	left := max(0, x.total-x.base-time.Since(x.since))
	x.end = time.AfterFunc(time.Duration(float64(left)*max(1, r.faults.SlowdownFactor)), func() { r.finish(x, how) })
}

func (r *Runner) roomFor(s SpecStep) bool {
	used := work.Resources{}
	for _, x := range r.runs {
		if !x.spec.BestEffort {
			used = used.Add(work.Resources{CPU: x.spec.CPU, Mem: x.spec.Mem})
		}
	}
	return (work.Resources{CPU: s.CPU, Mem: s.Mem}).Fits(r.Room.Sub(used))
}

func (r *Runner) stop(o wireOrder) {
	r.past[o.Task] = max(r.past[o.Task], o.Run)
	if x := r.runs[o.Task]; x != nil && x.n <= o.Run {
		x.stops = true
		x.end.Stop()
		x.end = time.AfterFunc(stopTime, func() { r.finish(x, work.EndStopped) })
	}
}

// extend moves the end of the lease; it never comes nearer.
func (r *Runner) extend(until time.Duration) {
	until = min(until, r.clock()+r.most)
	if until <= r.until {
		return
	}
	r.until = until
	if r.lapse != nil {
		r.lapse.Stop()
	}
	left := time.Duration(float64(until-r.clock()) / r.rate)
	r.lapse = time.AfterFunc(left+time.Millisecond, r.lapsed)
}

// lapsed ends everything whose lease has run out.
func (r *Runner) lapsed() {
	r.mu.Lock()
	if r.clock() < r.until {
		r.mu.Unlock()
		return
	}
	var list []*running
	for _, x := range r.runs {
		x.end.Stop()
		list = append(list, x)
	}
	r.judge.lapse(r)
	r.mu.Unlock()
	for _, x := range list {
		r.finish(x, work.EndLeaseExpired)
	}
}

// finish ends a run and lists its end.
func (r *Runner) finish(x *running, how work.EndReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[x.name] != x {
		return
	}
	delete(r.runs, x.name)
	r.past[x.name] = max(r.past[x.name], x.n)
	saved := ""
	if x.spec.Checkpointing && how != work.EndDone {
		saved = fmt.Sprintf("%d", min(x.total, x.base+time.Since(x.since)).Milliseconds())
	}
	r.n++
	r.ends = append(r.ends, []any{r.n, x.name, x.n, string(how), saved})
	r.judge.ended(r, r.n, x.name, x.n, how)
	r.stir()
}
