package sched

import "time"

// LeaseConfig are the platform's figures that decisions rest on.
type LeaseConfig struct {
	TTL          time.Duration // lease that a look or a start gives a runner
	MaxTTL       time.Duration // longest lease that a runner grants, whatever it is asked for
	InheritedTTL time.Duration // after a change of holder: longest that an earlier holder's runs can last on a silent runner
}

// Times of the scheduler's own.
const (
	resend     = 500 * time.Millisecond  // between two orders to stop the same run; some round trips
	answerLate = 1500 * time.Millisecond // a runner whose looks stay unanswered so long gets no new work
	lazy       = 250 * time.Millisecond  // progress that nobody waits for is committed within this, well within the bound on acknowledgements
)

// MaxClockSkew is how slow a runner's clock may be, from the runners' interface.
const MaxClockSkew = 0.02

// runsPerTerm separates the run numbers of one holder from those of the next: more than a task is started in one tenure.
const runsPerTerm = 1000
