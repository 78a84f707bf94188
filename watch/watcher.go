package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Timing of polls.
const (
	// LongPollTimeout is how long the store holds a poll without changes. It is short because a connection may be
	// silently dead.
	LongPollTimeout = 1500 * time.Millisecond

	callSlack    = time.Second            // beyond LongPollTimeout, for the response; a slow store takes some hundred milliseconds
	maxCallSlack = 5 * time.Second        // limit of the slack, which doubles after each failed poll
	retryDelay   = 250 * time.Millisecond // after a failed poll
	idleInterval = time.Second            // between polls while nobody needs the changes immediately
	dormantCheck = time.Minute            // between checks of whether somebody needs the changes again, besides the wake-up
)

// FromSnapshot is the FromVersion of a Watcher that begins by reading all rows.
const FromSnapshot = -1

// Watcher reads all rows of one partition of a table, or of all partitions, and then every change of the table.
type Watcher struct {
	Store         *platform.Store
	Table         string
	Partition     string        // partition whose rows are read first
	AllPartitions bool          // read the rows of all partitions first
	FromVersion   int64         // version to continue from, or FromSnapshot
	Interval      time.Duration // between polls; changes of one interval are applied together
	Interest      *Interest     // how soon changes are needed; nil is always Immediate
	Log           *zap.Logger
	// Apply applies rows; snapshot reports that they are all rows that exist. After an error the same rows are
	// delivered again.
	Apply func(ctx context.Context, page platform.Page, snapshot bool) error
	// OnError is called after each failed poll; it may be nil.
	OnError func()
	// OnAnswer is called after each poll whose rows have been applied, with a time, by Now, of which all rows are known. It
	// may be nil.
	OnAnswer func(asOf time.Time)
	Now      clock.Clock // needed with OnAnswer
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	slack := callSlack
	for ctx.Err() == nil {
		started := time.Now()
		err := w.poll(ctx, slack)
		switch {
		case err == nil:
			slack = callSlack
			w.waitNext(ctx)
		case fault.Is(err, fault.Missing):
			w.FromVersion = FromSnapshot // the store no longer has the changes since FromVersion: read all rows again
		case ctx.Err() == nil:
			w.Log.Warn("failed to poll table", zap.String("table", w.Table), zap.Int64("after", w.FromVersion),
				zap.Duration("waited", time.Since(started)), zap.Duration("limit", LongPollTimeout+slack), zap.Error(err))
			slack = min(2*slack, maxCallSlack)
			if w.OnError != nil {
				w.OnError()
			}
			sleep.ForOrWake(ctx, retryDelay, nil)
		}
	}
	return nil
}

// waitNext waits until the next poll is due.
func (w *Watcher) waitNext(ctx context.Context) {
	if w.Interest == nil {
		sleep.ForOrWake(ctx, w.Interval, nil)
		return
	}
	switch w.Interest.Level() {
	case Immediate:
		sleep.ForOrWake(ctx, w.Interval, nil)
	case Occasional:
		sleep.ForOrWake(ctx, idleInterval, w.Interest.wake)
	case Dormant:
		for ctx.Err() == nil && w.Interest.Level() == Dormant {
			sleep.ForOrWake(ctx, dormantCheck, w.Interest.wake)
		}
	}
}

// poll reads and applies all rows, or the changes since FromVersion.
func (w *Watcher) poll(ctx context.Context, slack time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, LongPollTimeout+slack)
	defer cancel()
	snapshot := w.FromVersion < 0
	var sentAt time.Time
	if w.OnAnswer != nil {
		sentAt = w.Now()
	}
	var page platform.Page
	var err error
	switch {
	case snapshot && w.AllPartitions:
		page, err = w.Store.ScanTable(callCtx, w.Table)
	case snapshot:
		page, err = w.Store.ScanPartition(callCtx, w.Table, w.Partition)
	default:
		page, err = w.Store.Changes(callCtx, w.Table, w.FromVersion, LongPollTimeout)
	}
	if err != nil {
		return err
	}
	if err := w.Apply(ctx, page, snapshot); err != nil {
		return err
	}
	w.FromVersion = page.Version
	if w.OnAnswer != nil && !page.More {
		w.OnAnswer(w.answeredAsOf(sentAt, !snapshot && len(page.Rows) == 0))
	}
	return nil
}

// answeredAsOf returns the earliest time at which the store can have answered a poll. The arrival of the answer doesn't count:
// a process that was suspended meanwhile takes an old answer for a new one. The store holds a poll for changes that has none
// for LongPollTimeout.
func (w *Watcher) answeredAsOf(sentAt time.Time, held bool) time.Time {
	if end := sentAt.Add(LongPollTimeout); held && !w.Now().Before(end) {
		return end
	}
	return sentAt
}
