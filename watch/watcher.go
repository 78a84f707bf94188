package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Times of following.
const (
	LongPollTimeout = 1500 * time.Millisecond // an answer waits so long for a change; short, since a connection may be silent for good
	callSlack       = time.Second             // beyond LongPollTimeout, for an answer; a slow store takes some hundred milliseconds
	slowest         = 5 * time.Second         // for an answer, once the store has been too slow for callSlack
	retryGap        = 250 * time.Millisecond  // after a call that failed
	idleGap         = time.Second             // between two looks where nobody needs the changes at once
)

// FromSnapshot says that a Watcher is to begin with all rows of its part.
const FromSnapshot = -1

// Watcher reads all rows of one part of a table, or of all parts, once, and then every change of the table.
type Watcher struct {
	Store         *platform.Store
	Table         string
	Partition     string        // the part whose rows are read first
	AllPartitions bool          // the rows of all parts are read first
	FromVersion   int64         // version to go on from, or FromSnapshot
	Interval      time.Duration // between two looks; changes of this time come together
	Interest      *Interest     // while it is off, looks are rare; nil is always on
	Log           *zap.Logger
	// Apply takes in rows; whole says that these are all there are. After an error the same rows come again.
	Apply func(ctx context.Context, page platform.Page, whole bool) error
	// OnError is called after each look that failed; it may be nil.
	OnError func()
}

// Run follows until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	slack := callSlack
	for ctx.Err() == nil {
		err := f.once(ctx, slack)
		switch {
		case err == nil:
			slack = callSlack
			f.rest(ctx)
		case fault.Is(err, fault.Missing):
			f.FromVersion = FromSnapshot // the history is gone: read everything
		case ctx.Err() == nil:
			slack = min(2*slack, slowest)
			f.Log.Warn("table not followed", zap.String("table", f.Table), zap.Error(err))
			if f.OnError != nil {
				f.OnError()
			}
			sleep.ForOrWake(ctx, retryGap, nil)
		}
	}
	return nil
}

// rest waits until the next look.
func (f *Watcher) rest(ctx context.Context) {
	if f.Interest == nil || f.Interest.on.Load() {
		sleep.ForOrWake(ctx, f.Interval, nil)
		return
	}
	sleep.ForOrWake(ctx, idleGap, f.Interest.wake)
}

func (f *Watcher) once(ctx context.Context, slack time.Duration) error {
	call, cancel := context.WithTimeout(ctx, LongPollTimeout+slack)
	defer cancel()
	whole := f.FromVersion < 0
	var page platform.Page
	var err error
	switch {
	case whole && f.AllPartitions:
		page, err = f.Store.ScanTable(call, f.Table)
	case whole:
		page, err = f.Store.ScanPartition(call, f.Table, f.Partition)
	default:
		page, err = f.Store.Changes(call, f.Table, f.FromVersion, LongPollTimeout)
	}
	if err != nil {
		return err
	}
	if err := f.Apply(ctx, page, whole); err != nil {
		return err
	}
	f.FromVersion = page.Version
	return nil
}
