package sched

import "time"

// Parameters of pacing best-effort runs.
const (
	paceDelay            = 300 * time.Millisecond // tail latency above its target for this long slows best-effort runs on the runner
	paceInterval         = 500 * time.Millisecond // between two changes for one run; tail latency is measured over the last half second
	paceIncrease         = 15                     // percentage points restored at a time
	paceRestoreThreshold = 0.75                   // share of the target below which pace is restored
)

// paceAll slows best-effort runs on runners with serving tasks above their latency target, and restores their pace in
// steps.
func (p *Pool) paceAll(now time.Time) {
	for _, r := range p.runnersWhere(func(r *runner) bool { return r.bestEffortRuns > 0 }) {
		worst, sustained := r.worstTail(now)
		if worst == 0 {
			continue
		}
		for _, run := range r.sortedRuns() {
			if run.phase != running || !run.task.step.spec.BestEffort || now.Sub(run.pacedAt) < paceInterval {
				continue
			}
			next := nextPace(run.pace, worst, sustained)
			if next == run.pace {
				continue
			}
			run.pace, run.pacedAt = next, now
			p.orders = append(p.orders, Pace{p.target(r), run.task.name, run.number, next, "tail of a serving task beside it"})
		}
	}
}

// worstTail returns the highest ratio of tail latency to target among the runner's serving tasks, and whether one of
// them has been above its target for at least paceDelay.
func (r *runner) worstTail(now time.Time) (float64, bool) {
	worst, sustained := 0.0, false
	for run := range r.runs {
		target := run.task.step.spec.LatencyTarget
		if target <= 0 || run.phase != running || run.percent < 100 {
			continue
		}
		ratio := run.load / float64(target.Milliseconds())
		worst = max(worst, ratio)
		if ratio <= 1 {
			run.overTargetSince = time.Time{}
			continue
		}
		if run.overTargetSince.IsZero() {
			run.overTargetSince = now
		}
		sustained = sustained || now.Sub(run.overTargetSince) >= paceDelay
	}
	return worst, sustained
}

// nextPace returns the next pace of a best-effort run, in percent. Reduced paces are multiples of 5.
func nextPace(pace int, worst float64, sustained bool) int {
	switch {
	case worst > 1 && sustained:
		return pace / 2 / 5 * 5
	case worst < paceRestoreThreshold:
		return min(100, pace+paceIncrease)
	}
	return pace
}
