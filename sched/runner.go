package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// runner is a runner of the pool with what we have placed on it.
type runner struct {
	work.Runner
	lease     RunnerLease
	listed    bool      // it is in the platform's list
	inherited bool      // an earlier holder may have given it work
	known     bool      // it has told us under our token what it runs
	answered  time.Time // when a look was last answered
	asked     time.Time // when the oldest look that isn't answered was sent; zero where there is none
	missed    bool      // the last look wasn't answered; its lease isn't extended until one is
	doubt     bool      // it started anew while the holder wasn't sure of its place
	marked    bool      // the store may have it as silent; its lease isn't extended until that is taken back
	resolve   time.Time // where inherited: when all that an earlier holder ordered has surely ended
	seen      int64     // highest number of an end that was taken in
	acked     int64     // ends up to this number may be acknowledged
	ends      []pendingEnd
	runs      map[*run]struct{}
	used      work.Resources
	evacuate  bool
	keep      bool // it stays when the pool gives machines back
	due       bool // its machine will have to become empty soon
	health    health
	leavesAt  time.Time // while draining
}

// pendingEnd is an end that the store doesn't have yet.
type pendingEnd struct {
	n   int64
	job *job
	seq int64
}

func newRunner(w work.Runner) *runner {
	return &runner{Runner: w, runs: map[*run]struct{}{}}
}

func (r *runner) to() Target { return Target{r.ID, r.Addr} }

// place takes the room of a run.
func (r *runner) place(x *run) {
	r.runs[x] = struct{}{}
	if !x.task.step.spec.BestEffort {
		r.used = r.used.Add(x.task.step.spec.Resources)
	}
}

// remove frees the room of a run.
func (r *runner) remove(x *run) {
	if _, ok := r.runs[x]; !ok {
		return
	}
	delete(r.runs, x)
	if !x.task.step.spec.BestEffort {
		r.used = r.used.Sub(x.task.step.spec.Resources)
	}
}

// free returns the room that is left.
func (r *runner) free() work.Resources { return r.Room.Sub(r.used) }

// silent tells whether looks have stayed unanswered for too long.
func (r *runner) silent(now time.Time) bool {
	return !r.asked.IsZero() && now.Sub(r.asked) > answerLate
}

// takes tells whether the runner may get new work.
func (r *runner) takes(now time.Time) bool {
	return r.listed && r.known && !r.Draining && !r.evacuate && !r.missed && !r.marked && !r.doubt && r.lease.ClockKnown() && !r.health.out(now)
}

// rack returns the rack that the runner's labels name: by custom the last one.
func (r *runner) rack() string {
	if len(r.Labels) == 0 {
		return ""
	}
	return r.Labels[len(r.Labels)-1]
}

func (r *runner) labelled(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// count returns how many runs of the step the runner has.
func (r *runner) count(s *step) int {
	n := 0
	for x := range r.runs {
		if x.task.step == s {
			n++
		}
	}
	return n
}

// resolved tells whether it is known what an earlier holder left on the runner.
func (r *runner) resolved() bool { return !r.inherited || r.known }
