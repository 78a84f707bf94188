package leader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

const (
	resolveDelay     = 400 * time.Millisecond // a runner that works has answered a new leader within this time
	resolveInterval  = time.Second            // between readings of the list of machines while runners are waited for
	maxLoggedRunners = 8
)

// resolveLoop finds out about the runners of earlier leaders that don't answer, until none is left: the machines of many
// have moved to another pool since, which ended all that ran there.
func (l *Leader) resolveLoop(ctx context.Context) error {
	startedAt, waited := l.Now(), false
	sleep.ForOrWake(ctx, resolveDelay, nil)
	for ctx.Err() == nil {
		l.removeMoved(ctx)
		l.mu.Lock()
		runners, jobs := l.pool.Unresolved()
		l.mu.Unlock()
		if len(runners) == 0 {
			break
		}
		if !waited {
			l.logWaiting(runners, jobs)
			waited = true
		}
		sleep.ForOrWake(ctx, resolveInterval, nil)
	}
	if waited && ctx.Err() == nil {
		l.Log.Info("no inherited runner is waited for any more", zap.Duration("after", l.Now().Sub(startedAt)))
	}
	return nil
}

// removeMoved removes the unresolved runners whose machines are in another pool.
func (l *Leader) removeMoved(ctx context.Context) {
	l.mu.Lock()
	runners, _ := l.pool.Unresolved()
	l.mu.Unlock()
	if l.Machines == nil || len(runners) == 0 {
		return
	}
	machines, ok := l.Machines(ctx)
	if !ok {
		return // asked again after resolveInterval
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for _, r := range runners {
		if machine, ok := machines[r.Machine]; ok && machine.Pool != l.lease.Service {
			l.pool.SetEndPlanned(now, r.Machine)
		}
		if l.moved(r, machines) {
			l.pool.RunnerGone(now, r.ID)
		}
	}
	sleep.Wake(l.wakePlan)
	sleep.Wake(l.wakeCommit)
}

// moved reports whether a runner's machine is in another pool or has another runner. A runner doesn't survive a move.
func (l *Leader) moved(r work.Runner, machines map[string]platform.Machine) bool {
	machine, ok := machines[r.Machine]
	return ok && (machine.Pool != l.lease.Service || (machine.RunnerID != "" && machine.RunnerID != r.ID))
}

// logWaiting logs the runners that a new leader waits for.
func (l *Leader) logWaiting(runners []work.Runner, jobs int) {
	var names []string
	for _, r := range runners[:min(len(runners), maxLoggedRunners)] {
		names = append(names, r.ID+" in "+r.Centre)
	}
	l.Log.Warn("inherited runners don't answer; jobs that may run there wait", zap.Int("runners", len(runners)), zap.Strings("first", names), zap.Int("jobs", jobs))
}
