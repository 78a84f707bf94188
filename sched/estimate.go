package sched

import "time"

// ratioWeight is the weight of a new observation in the average of real over declared run times.
const ratioWeight = 0.05

// Bounds on a single observation; one beyond them says more of the runner than of the estimate.
const (
	ratioLeast = 0.2
	ratioMost  = 5
)

// ratio is the average of real over declared run times of a queue's tasks.
type ratio struct{ mean float64 }

// add takes in one run.
func (r *ratio) add(real, declared time.Duration) {
	if declared <= 0 || real <= 0 {
		return
	}
	x := min(max(float64(real)/float64(declared), ratioLeast), ratioMost)
	if r.mean == 0 {
		r.mean = x
		return
	}
	r.mean += ratioWeight * (x - r.mean)
}

// of returns the expected real time of a declared one.
func (r *ratio) of(declared time.Duration) time.Duration {
	if r == nil || r.mean == 0 {
		return declared
	}
	return time.Duration(r.mean * float64(declared))
}
