package standin

import (
	"fmt"
	"time"

	"gypsumlead/work"
)

// startRun starts a run and returns an empty string, or the reason of a refusal as the protocol names it. Repeating an
// order for an active run succeeds; the caller holds r.mu.
func (r *Runner) startRun(o wireOrder, delayed bool) string {
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	if deadline < r.clock() {
		return "late"
	}
	r.extendLease(deadline)
	if run := r.runs[o.Task]; run != nil && run.number == o.Run {
		return ""
	}
	if r.lastRuns[o.Task] >= o.Run || r.runs[o.Task] != nil {
		return "old"
	}
	if r.policy != nil && !r.policy.valid(o.Task, r.ID, o.Ticket) {
		return "ticket"
	}
	t, taskOK := work.ParseTask(o.Task)
	spec, specOK := parseSpec(o.Spec)
	if !taskOK || !specOK || t.Step >= len(spec.Steps) {
		return "bad"
	}
	step := spec.Steps[t.Step]
	if !r.Unguarded && !r.fits(step, r.room) {
		return "room"
	}
	run := &activeRun{name: o.Task, number: o.Run, spec: step, startedAt: time.Now(), pace: 100, total: time.Duration(step.RunMS) * time.Millisecond}
	if step.isSlow(o.Task, o.Run, r.ID) {
		run.total *= slowFactor
	}
	if o.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscanf(o.Checkpoint, "%d", &ms); err != nil {
			r.checker.addViolation("invalid checkpoint %s in the order to start %s", o.Checkpoint, o.Task)
		}
		run.restored = time.Duration(ms) * time.Millisecond
		run.total += restoreTime
	}
	if r.Unguarded && !r.fitsRecentRoom(step, delayed) {
		r.checker.roomExceeded(r, o.Task)
	}
	r.runs[o.Task] = run
	run.endTimer = time.AfterFunc(time.Hour*24*365, func() {})
	r.scheduleEnd(run)
	r.checker.runStarted(r, t, o.Run, delayed)
	if !delayed && !r.drainingAt.IsZero() {
		r.checker.startedWhileDraining(r, o)
	}
	if step.CrashesRunner {
		time.AfterFunc(crashDelay, func() { r.crashUnder(run) })
	}
	if step.LongRunning {
		r.checker.serviceStarted(r, o.Task, time.Now().Add(step.startup()))
	}
	return ""
}

// crashUnder crashes the runner if a run is still in progress.
func (r *Runner) crashUnder(run *activeRun) {
	r.mu.Lock()
	active, hook := r.runs[run.name] == run, r.onCrash
	r.mu.Unlock()
	if active {
		hook()
	}
}

// scheduleEnd sets the timer of a run's end by its remaining time and the runner's faults; the caller holds r.mu.
func (r *Runner) scheduleEnd(run *activeRun) {
	run.endTimer.Stop()
	if r.faults.FailRuns {
		run.endTimer = time.AfterFunc(stopTime, func() { r.finishRun(run, work.EndFailed) })
		return
	}
	if run.spec.LongRunning || r.faults.StallRuns {
		return
	}
	reason := work.EndDone
	if run.spec.AlwaysFails {
		reason = work.EndFailed
	}
	remaining := max(0, run.total-run.restored-time.Since(run.startedAt))
	run.endTimer = time.AfterFunc(time.Duration(float64(remaining)*max(1, r.faults.SlowdownFactor)), func() { r.finishRun(run, reason) })
}

// shrunkRoomGrace is how long a room that has shrunk still counts for starts, from the platform's documentation: the time
// in which daemons get in touch, and one heartbeat of the runner.
const shrunkRoomGrace = 4500 * time.Millisecond

// fitsRecentRoom reports whether a task of a step fits into the runner's room, or into one that it had so recently that the
// leader may not know better; the caller holds r.mu.
func (r *Runner) fitsRecentRoom(step SpecStep, delayed bool) bool {
	grace := shrunkRoomGrace
	if delayed {
		grace += maxOrderDelay
	}
	if r.fits(step, r.room) {
		return true
	}
	for _, past := range r.pastRooms {
		if time.Since(past.until) <= grace && r.fits(step, past.room) {
			return true
		}
	}
	return false
}

// fits reports whether a task of a step fits into a room beside the active runs, also those that are being stopped.
// The caller holds r.mu.
func (r *Runner) fits(step SpecStep, room work.Resources) bool {
	used := work.Resources{}
	for _, run := range r.runs {
		used = used.Add(run.spec.occupied())
	}
	return step.occupied().Fits(room.Sub(used))
}

// stopRun stops a task's runs up to the order's number, and blocks later starts of them; the caller holds r.mu.
func (r *Runner) stopRun(o wireOrder, delayed bool) {
	r.lastRuns[o.Task] = max(r.lastRuns[o.Task], o.Run)
	if run := r.runs[o.Task]; run != nil && run.number <= o.Run {
		if !run.stopping {
			r.checker.serviceOrdered(r, o.Task, "a stop", delayed)
		}
		run.stopping = true
		run.endTimer.Stop()
		run.endTimer = time.AfterFunc(run.spec.stopTime(), func() { r.finishRun(run, work.EndStopped) })
	}
}

// extendLease extends the lease to until on the runner's clock, at most maxLease from now. It never shortens the lease;
// the caller holds r.mu.
func (r *Runner) extendLease(until time.Duration) {
	until = min(until, r.clock()+r.maxLease)
	if until <= r.leaseUntil {
		return
	}
	r.leaseUntil = until
	if r.leaseTimer != nil {
		r.leaseTimer.Stop()
	}
	remaining := time.Duration(float64(until-r.clock()) / r.clockRate)
	r.leaseTimer = time.AfterFunc(remaining+time.Millisecond, r.expireLease)
}

// expireLease ends all runs if the lease has expired.
func (r *Runner) expireLease() {
	r.mu.Lock()
	if r.clock() < r.leaseUntil {
		r.mu.Unlock()
		return
	}
	var runs []*activeRun
	for _, run := range r.runs {
		run.endTimer.Stop()
		runs = append(runs, run)
	}
	r.checker.runnerLost(r)
	r.mu.Unlock()
	for _, run := range runs {
		r.finishRun(run, work.EndLeaseExpired)
	}
}

// finishRun ends an active run and adds its end to the list for the leader.
func (r *Runner) finishRun(run *activeRun, reason work.EndReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[run.name] != run {
		return
	}
	delete(r.runs, run.name)
	r.lastRuns[run.name] = max(r.lastRuns[run.name], run.number)
	checkpoint := ""
	if run.spec.Checkpointing && reason != work.EndDone {
		checkpoint = fmt.Sprintf("%d", min(run.total, run.restored+time.Since(run.startedAt)).Milliseconds())
	}
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, run.name, run.number, string(reason), checkpoint})
	r.checker.runEnded(r, r.lastEnd, run.name, run.number, reason)
	r.checker.serviceGone(r, run.name)
	r.wakeWaiters()
}
