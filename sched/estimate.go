package sched

import "time"

// ratioWeight is the weight of a new observation in the average of real over declared run times.
const ratioWeight = 0.05

// Bounds on a single observation. A ratio beyond them is due to the runner rather than to the estimate.
const (
	minRatio = 0.2
	maxRatio = 5
)

// estimateRatio is the moving average of real over declared run times of a queue's tasks.
type estimateRatio struct{ mean float64 }

// observe adds the run time of one run to the average.
func (r *estimateRatio) observe(real, declared time.Duration) {
	if declared <= 0 || real <= 0 {
		return
	}
	observed := min(max(float64(real)/float64(declared), minRatio), maxRatio)
	if r.mean == 0 {
		r.mean = observed
		return
	}
	r.mean += ratioWeight * (observed - r.mean)
}

// expected returns the expected real run time for a declared one.
func (r *estimateRatio) expected(declared time.Duration) time.Duration {
	if r == nil || r.mean == 0 {
		return declared
	}
	return time.Duration(r.mean * float64(declared))
}
