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

// Values of the FromVersion of a Watcher that begins anew.
const (
	FromSnapshot = -1 // with all rows of the partition
	FromNewest   = -2 // with the changes to come; for tables whose rows are written again and again
)

// Watcher reads all rows of one partition of a table, or none, and then every change of the table.
type Watcher struct {
	Store       *platform.Store
	Table       string
	Partition   string        // partition whose rows are read first
	FromVersion int64         // version to continue from, FromSnapshot or FromNewest
	Within      time.Duration // a change is known this long after it was stored, if the store answers; 0 is defaultWithin
	Interval    time.Duration // between polls; changes of one interval are applied together
	Interest    *Interest     // how soon changes are needed; nil is always Immediate
	Log         *zap.Logger
	// Apply applies rows; snapshot reports that they are all rows that exist. After an error the same rows are
	// delivered again.
	Apply func(ctx context.Context, page platform.Page, snapshot bool) error
	// OnError is called after each poll that failed or is overdue; it may be nil.
	OnError func()
	// OnGap is called when FromNewest begins anew, so that changes before that are not delivered; it may be nil.
	OnGap func()
	// OnAnswer is called after each poll whose rows have been applied, with a time, by Now, of which all rows are known. It
	// may be nil.
	OnAnswer func(asOf time.Time)
	Now      clock.Clock // needed with OnAnswer
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	anew := w.FromVersion
	w.awaitInterest(ctx)
	for ctx.Err() == nil {
		more, err := w.advance(ctx)
		switch {
		case err == nil && more:
		case err == nil:
			w.waitNext(ctx)
		case fault.Is(err, fault.Missing):
			w.FromVersion = anew // the store no longer has the changes since FromVersion
			if w.OnGap != nil {
				w.OnGap()
			}
		case ctx.Err() == nil:
			w.handleFailure(err)
			sleep.ForOrWake(ctx, retryDelay, nil)
		}
	}
	return nil
}

// advance reads and applies all rows, or the changes since FromVersion, and reports whether further changes follow at once.
func (w *Watcher) advance(ctx context.Context) (more bool, err error) {
	a, snapshot := w.read(ctx)
	if a.err != nil {
		return false, a.err
	}
	if err := w.Apply(ctx, a.page, snapshot); err != nil {
		return false, err
	}
	w.FromVersion = a.page.Version
	if w.OnAnswer != nil && !a.page.More {
		w.OnAnswer(a.asOf)
	}
	return a.page.More && len(a.page.Rows) > 0, nil
}

// handleFailure logs and notes a poll that failed.
func (w *Watcher) handleFailure(err error) {
	w.Log.Warn("failed to poll table", zap.String("table", w.Table), zap.Int64("after", w.FromVersion), zap.Error(err))
	w.noteFailure()
}

func (w *Watcher) noteFailure() {
	if w.OnError != nil {
		w.OnError()
	}
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
		w.awaitInterest(ctx)
	}
}

// awaitInterest waits while the changes aren't needed at all.
func (w *Watcher) awaitInterest(ctx context.Context) {
	for ctx.Err() == nil && w.Interest != nil && w.Interest.Level() == Dormant {
		sleep.ForOrWake(ctx, dormantCheck, w.Interest.wake)
	}
}
