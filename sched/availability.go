package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxDescribedTasks limits the tasks that a stop's description of its step names.
const maxDescribedTasks = 32

// Longest time from a stop order to the end of its run.
const (
	defaultStopTime = time.Second           // if it isn't configured
	stopSlack       = 50 * time.Millisecond // until the runner no longer lists the run
)

// WithStopTime sets the longest time that runners take to stop a run.
func WithStopTime(d time.Duration) Option {
	return func(p *Pool) { p.stopTime = d }
}

// available reports whether one of the task's runs is known to be fully started and to stay. A run on a runner that
// hasn't answered recently doesn't count: it may have ended since. Nor does one on a runner that drains: it ends soon.
func (t *task) available(now time.Time) bool {
	for _, run := range t.runs {
		if run.phase == running && run.percent >= 100 && now.Sub(run.runner.polledAt) < silentAfter && !run.mayBeStopping() && !run.runner.Draining {
			return true
		}
	}
	return false
}

// mayBeStopping reports whether an earlier leader may have ordered the run to stop: runners list a run until it has ended.
// A runner that has answered this leader takes no more orders of earlier ones, so that a run which it still lists after the
// longest time of a stop, by its own clock, is not being stopped.
func (r *taskRun) mayBeStopping() bool {
	return r.adopted && r.runner.listedClock < r.stoppedBy
}

// countUnavailable returns the number of the step's tasks, except one, that aren't available.
func (s *step) countUnavailable(now time.Time, except *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != except && !t.available(now) {
			n++
		}
	}
	return n
}

// mayRestartStalled reports whether a task that lasts may be stopped because its run doesn't get to full progress. It may
// be at work all the same, so the allowance of its step holds. Others that stall aren't counted as away: if they were, none
// of them would ever be restarted.
func (s *step) mayRestartStalled(now time.Time, except *task) bool {
	if !s.spec.HasMaxUnavailable {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != except && !t.available(now) && !t.stalled(now) {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// stalled reports whether a run of the task is known to stay, but hasn't got to full progress within longRunningStartup.
func (t *task) stalled(now time.Time) bool {
	return slices.ContainsFunc(t.runs, func(run *taskRun) bool {
		polledAt := run.runner.polledAt
		return run.phase == running && now.Sub(polledAt) < silentAfter && polledAt.Sub(run.confirmedAt) > longRunningStartup && !run.mayBeStopping()
	})
}

// describeOthers says what is known of the step's tasks, except one, those that aren't available first.
func (s *step) describeOthers(now time.Time, except *task) string {
	var away, atWork []string
	for _, t := range s.tasks {
		switch {
		case t == except:
		case t.available(now):
			atWork = append(atWork, t.describe(now))
		default:
			away = append(away, t.describe(now))
		}
	}
	summary := fmt.Sprintf("%d away, %d may be", len(away), s.spec.MaxUnavailable)
	named := slices.Concat(away, atWork)
	if left := len(named) - maxDescribedTasks; left > 0 {
		named = append(named[:maxDescribedTasks], fmt.Sprintf("%d more at work", left))
	}
	return strings.Join(append([]string{summary}, named...), "; ")
}

// describe says what is known of a task: its index, and of each run its number, state, age, source and runner, and the
// age of what the runner listed.
func (t *task) describe(now time.Time) string {
	if len(t.runs) == 0 {
		return fmt.Sprintf("%d no run for %v", t.name.Index, now.Sub(t.waitingSince).Round(time.Millisecond))
	}
	var runs []string
	for _, run := range t.runs {
		source := "started"
		if run.adopted {
			source = "adopted"
		}
		runs = append(runs, fmt.Sprintf("run %d %s %d%% %s %v ago on %s polled %v ago", run.number, run.phase, run.percent,
			source, now.Sub(run.sentAt).Round(time.Millisecond), run.runner.ID, now.Sub(run.runner.polledAt).Round(time.Millisecond)))
	}
	return fmt.Sprintf("%d %s", t.name.Index, strings.Join(runs, ", "))
}

// String returns the phase's name in logs.
func (p phase) String() string {
	switch p {
	case planned:
		return "planned"
	case sending:
		return "sending"
	case unconfirmed:
		return "unconfirmed"
	case running:
		return "running"
	case stopping:
		return "stopping"
	}
	return "unknown"
}
