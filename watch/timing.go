package watch

import "time"

// Limits of polls.
const (
	maxHold        = 1500 * time.Millisecond // a poll without changes is answered after this at the latest
	maxSilence     = 2500 * time.Millisecond // between polls while the store answers nothing
	silenceCheck   = 100 * time.Millisecond  // between checks of whether it has answered something
	defaultWithin  = 2500 * time.Millisecond // after which changes are known that no bound is set for
	attemptTimeout = 6500 * time.Millisecond // a store that takes longer to answer a poll serves nobody
	retryDelay     = 250 * time.Millisecond  // after a poll that failed
	idleInterval   = time.Second             // between polls while nobody needs the changes immediately
	dormantCheck   = time.Minute             // between checks of whether somebody needs the changes again, besides the wake-up
)

// timing is how long the store holds a poll without changes, and the time after that from which the poll is overdue.
type timing struct {
	hold     time.Duration
	patience time.Duration
}

// overdue returns the time after which a poll is overdue.
func (t timing) overdue() time.Duration { return t.hold + t.patience }

// newTiming returns the timing with which a change is known within a time of being stored, also if the poll that should
// return it is never answered: a fifth of that time is left for the next poll.
func newTiming(within time.Duration) timing {
	if within <= 0 {
		within = defaultWithin
	}
	return timing{hold: min(maxHold, within*11/20), patience: within / 4}
}
