package sched

import (
	"time"

	"gypsumlead/work"
)

// Bounds of the judgement on a runner.
const (
	strikesOut  = 2                // jobs that fail or stand still on a runner in a row before it gets no more work
	outFirst    = 3 * time.Second  // first time without work; a runner's trouble lasts some seconds
	outMost     = 12 * time.Second // longest time without work between two trials
	jobsTrusted = 2                // a job whose tasks fail on this many runners is itself suspect
)

// health is the evidence for and against a runner.
type health struct {
	strikes map[work.ID]struct{} // jobs that failed there since the last success
	until   time.Time            // no work until then
	pause   time.Duration
	slow    float64 // run times there over those elsewhere; 0 is unknown
}

// out tells whether the runner gets no work for now.
func (h *health) out(now time.Time) bool { return now.Before(h.until) }

// suspect tells whether there is anything against the runner.
func (h *health) suspect() bool { return len(h.strikes) > 0 }

// good takes in a success.
func (h *health) good() {
	h.strikes = nil
	h.pause = 0
}

// timed takes in how long a run took, against what was expected of it.
func (h *health) timed(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	x := min(float64(took)/float64(expected), ratioMost)
	if h.slow == 0 {
		h.slow = 1
	}
	h.slow += slowWeight * (x - h.slow)
}

// bad takes in a failure of a job that isn't itself suspect, and tells whether the runner is now out.
func (h *health) bad(id work.ID, now time.Time) bool {
	if h.strikes == nil {
		h.strikes = map[work.ID]struct{}{}
	}
	h.strikes[id] = struct{}{}
	// A runner on trial after a pause is out again at its first failure.
	if len(h.strikes) < strikesOut && h.pause == 0 {
		return false
	}
	h.pause = min(max(outFirst, 2*h.pause), outMost)
	h.until = now.Add(h.pause)
	h.strikes = nil
	return true
}
