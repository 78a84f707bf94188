package follow

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
	Wait      = 1500 * time.Millisecond // an answer waits so long for a change; short, since a connection may be silent for good
	callSlack = time.Second             // beyond Wait, for an answer; a slow store takes some hundred milliseconds
	slowest   = 5 * time.Second         // for an answer, once the store has been too slow for callSlack
	retryGap  = 250 * time.Millisecond  // after a call that failed
	idleGap   = time.Second             // between two looks where nobody needs the changes at once
)

// Start says that a Follower is to begin with all rows of its part.
const Start = -1

// Follower reads all rows of one part of a table, or of all parts, once, and then every change of the table.
type Follower struct {
	Store *platform.Store
	Table string
	Part  string        // the part whose rows are read first
	Parts bool          // the rows of all parts are read first
	After int64         // version to go on from, or Start
	Gap   time.Duration // between two looks; changes of this time come together
	Need  *Need         // while it is off, looks are rare; nil is always on
	Log   *zap.Logger
	// Apply takes in rows; whole says that these are all there are. After an error the same rows come again.
	Apply func(ctx context.Context, page platform.Page, whole bool) error
	// Lost is called after each look that failed; it may be nil.
	Lost func()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	slack := callSlack
	for ctx.Err() == nil {
		err := f.once(ctx, slack)
		switch {
		case err == nil:
			slack = callSlack
			f.rest(ctx)
		case fault.Is(err, fault.Missing):
			f.After = Start // the history is gone: read everything
		case ctx.Err() == nil:
			slack = min(2*slack, slowest)
			f.Log.Warn("table not followed", zap.String("table", f.Table), zap.Error(err))
			if f.Lost != nil {
				f.Lost()
			}
			sleep.ForOrWake(ctx, retryGap, nil)
		}
	}
	return nil
}

// rest waits until the next look.
func (f *Follower) rest(ctx context.Context) {
	if f.Need == nil || f.Need.on.Load() {
		sleep.ForOrWake(ctx, f.Gap, nil)
		return
	}
	sleep.ForOrWake(ctx, idleGap, f.Need.wake)
}

func (f *Follower) once(ctx context.Context, slack time.Duration) error {
	call, cancel := context.WithTimeout(ctx, Wait+slack)
	defer cancel()
	whole := f.After < 0
	var page platform.Page
	var err error
	switch {
	case whole && f.Parts:
		page, err = f.Store.ScanTable(call, f.Table)
	case whole:
		page, err = f.Store.ScanPartition(call, f.Table, f.Part)
	default:
		page, err = f.Store.Changes(call, f.Table, f.After, Wait)
	}
	if err != nil {
		return err
	}
	if err := f.Apply(ctx, page, whole); err != nil {
		return err
	}
	f.After = page.Version
	return nil
}
