package sched

import (
	"time"

	"gypsumlead/work"
)

// Limits for excluding a runner.
const (
	maxStrikes        = 2                // different jobs that fail or stall on a runner without a success between them, before it is excluded
	minExclusion      = 3 * time.Second  // first exclusion; a runner's trouble lasts some seconds
	maxExclusion      = 12 * time.Second // longest exclusion before the runner is tried again
	jobAtFaultRunners = 2                // a job whose tasks fail on this many other runners is itself at fault
)

// health is the record of a runner's successes and failures.
type health struct {
	strikes       map[work.ID]struct{} // jobs that failed there since the last success or exclusion
	excludedUntil time.Time
	backoff       time.Duration // length of the last exclusion; 0 after a success
	slowdown      float64       // moving average of real over expected run times; 0 is unknown
}

// excluded reports whether the runner gets no work for now.
func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }

// suspect reports whether jobs have failed on the runner since its last success or exclusion.
func (h *health) suspect() bool { return len(h.strikes) > 0 }

// recordSuccess records that a run has succeeded.
func (h *health) recordSuccess() {
	h.strikes = nil
	h.backoff = 0
}

// recordRunTime records how long a run took and how long it was expected to take.
func (h *health) recordRunTime(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	observed := min(float64(took)/float64(expected), maxRatio)
	if h.slowdown == 0 {
		h.slowdown = 1
	}
	h.slowdown += slowdownWeight * (observed - h.slowdown)
}

// recordFailure records a failure of a job that isn't itself at fault, and reports whether the runner is now excluded.
func (h *health) recordFailure(id work.ID, now time.Time) bool {
	if h.strikes == nil {
		h.strikes = map[work.ID]struct{}{}
	}
	h.strikes[id] = struct{}{}
	// A runner that was excluded is excluded again at its first failure.
	if len(h.strikes) < maxStrikes && h.backoff == 0 {
		return false
	}
	h.backoff = min(max(minExclusion, 2*h.backoff), maxExclusion)
	h.excludedUntil = now.Add(h.backoff)
	h.strikes = nil
	return true
}
