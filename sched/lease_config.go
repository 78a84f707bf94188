package sched

import "time"

// LeaseConfig holds the durations of runners' leases.
type LeaseConfig struct {
	TTL          time.Duration // lease that a poll or a start gives a runner
	MaxTTL       time.Duration // longest lease that a runner accepts, whatever is asked for
	LateOrders   time.Duration // after which an order that wasn't answered isn't carried out any more
	InheritedTTL time.Duration // after a change of leader: longest that an earlier leader's runs can last on a silent runner
	// InheritedPlacements states that earlier leaders stored on which runners they placed each job.
	InheritedPlacements bool
}

// Intervals and delays of the scheduler.
const (
	stopRetryInterval = 500 * time.Millisecond  // between stop orders for the same run; several round trips
	silentAfter       = 1500 * time.Millisecond // a runner whose polls are unanswered for longer than this is silent
	commitDelay       = 250 * time.Millisecond  // progress that nobody waits for is committed within this, well before ends have to be acknowledged
)

// MaxClockSkew is the fraction by which a runner's clock may be slow, as stated by the runners' interface.
const MaxClockSkew = 0.02

// runsPerTerm separates the run numbers of successive leaders. It is larger than the number of runs of a task in one
// term.
const runsPerTerm = 1000
