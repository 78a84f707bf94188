package sched

import "time"

// Steps of the pace of what fills.
const (
	paceFirst = 300 * time.Millisecond // a tail over its target for this long slows what fills beside it
	paceGap   = 500 * time.Millisecond // between two changes for one run: the tail is a figure of the last half second
	paceUp    = 15                     // percent given back at a time
	paceCalm  = 0.75                   // share of the target below which pace is given back
)

// paceAll slows what fills beside serving tasks over their target, and gives the pace back in steps.
func (p *Pool) paceAll(now time.Time) {
	for _, r := range p.ordered() {
		worst, over := r.tail(now)
		if worst == 0 {
			continue
		}
		for _, x := range r.sorted() {
			if x.phase != running || !x.task.step.spec.BestEffort || now.Sub(x.paced) < paceGap {
				continue
			}
			want := paceFor(x.pace, worst, over)
			if want == x.pace {
				continue
			}
			x.pace, x.paced = want, now
			p.orders = append(p.orders, Pace{r.to(), x.task.name, x.n, want, "tail of a serving task beside it"})
		}
	}
}

// tail returns the worst tail over target of the runner's serving tasks, and whether one has been over it for a while.
func (r *runner) tail(now time.Time) (float64, bool) {
	worst, long := 0.0, false
	for x := range r.runs {
		target := x.task.step.spec.LatencyTarget
		if target <= 0 || x.phase != running || x.percent < 100 {
			continue
		}
		share := x.load / float64(target.Milliseconds())
		worst = max(worst, share)
		if share <= 1 {
			x.over = time.Time{}
			continue
		}
		if x.over.IsZero() {
			x.over = now
		}
		long = long || now.Sub(x.over) >= paceFirst
	}
	return worst, long
}

// paceFor returns the next pace of a run that fills.
func paceFor(pace int, worst float64, over bool) int {
	switch {
	case worst > 1 && over:
		return pace / 2 / 5 * 5
	case worst < paceCalm:
		return min(100, pace+paceUp)
	}
	return pace
}
