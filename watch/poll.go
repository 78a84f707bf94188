package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

// answer is the outcome of one call.
type answer struct {
	page platform.Page
	asOf time.Time // of which the page is known to be up to date; zero without OnAnswer
	err  error
}

// call asks the store for a page. The store may hold it until there is a change.
type call func(ctx context.Context, hold time.Duration) (platform.Page, error)

// read reads what FromVersion asks for, and reports whether it is all rows that exist.
func (w *Watcher) read(ctx context.Context) (a answer, snapshot bool) {
	switch w.FromVersion {
	case FromSnapshot:
		return w.readAll(ctx), true
	case FromNewest:
		return w.readNewest(ctx), false
	}
	from := w.FromVersion
	return w.first(ctx, newTiming(w.Within).hold, func(ctx context.Context, hold time.Duration) (platform.Page, error) {
		return w.Store.Changes(ctx, w.Table, from, hold)
	}), false
}

// readAll reads all rows of the partition, page by page, as of the first page's version.
func (w *Watcher) readAll(ctx context.Context) answer {
	all := w.readRows(ctx, "", 0)
	for last := all; last.err == nil && last.page.More && len(last.page.Rows) > 0; {
		last = w.readRows(ctx, last.page.Next(), 0)
		all.page.Rows = append(all.page.Rows, last.page.Rows...)
		all.err = last.err
	}
	all.page.More = false
	return all
}

// readNewest reads the store's version without the rows that exist.
func (w *Watcher) readNewest(ctx context.Context) answer {
	a := w.readRows(ctx, "", 1)
	a.page.Rows, a.page.More = nil, false
	return a
}

// readRows reads rows of the partition from a key on; a limit of 0 is the store's own.
func (w *Watcher) readRows(ctx context.Context, from string, limit int) answer {
	return w.first(ctx, 0, func(ctx context.Context, _ time.Duration) (platform.Page, error) {
		return w.Store.Get(ctx, w.Table, w.Partition, from, "", limit)
	})
}

// first makes a call and returns the first answer to it. While the call is overdue, it is made again on a new connection, and
// the store doesn't hold that one: the overdue call's connection may be silent for good. The store may also be slow, so the
// overdue call goes on until attemptTimeout.
func (w *Watcher) first(ctx context.Context, hold time.Duration, ask call) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := newTiming(w.Within).overdue()
	answers := make(chan answer)
	due := time.NewTimer(0)
	defer due.Stop()
	var sent sending
	for pending := 0; ; {
		select {
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		case <-due.C:
			if pending > 1 && w.isSilentSince(sent) {
				due.Reset(silenceCheck)
				continue
			}
			if pending > 0 {
				w.handleOverdue(sent)
				hold = 0
			}
			sent = sending{at: time.Now(), answers: w.Store.Answers()}
			pending++
			w.start(ctx, hold, ask, answers)
			due.Reset(patience)
		case a := <-answers:
			pending--
			if a.err == nil || pending == 0 || fault.Is(a.err, fault.Missing) {
				return a
			}
			w.handleFailure(a.err)
			due.Reset(retryDelay)
		}
	}
}

// sending is when a call was sent, and how many calls the store had answered by then.
type sending struct {
	at      time.Time
	answers int64
}

// isSilentSince reports whether the store has answered no call since one was sent. While it is silent, the daemon's few
// other calls show soon enough when it is back.
func (w *Watcher) isSilentSince(sent sending) bool {
	return w.Store.Answers() == sent.answers && time.Since(sent.at) < maxSilence
}

// handleOverdue prepares for a further call. Idle connections are as old as the one that is silent.
func (w *Watcher) handleOverdue(sent sending) {
	w.Log.Warn("poll of table is overdue", zap.String("table", w.Table), zap.Int64("after", w.FromVersion), zap.Duration("waited", time.Since(sent.at)))
	w.noteFailure()
	w.Store.Close()
}

// start makes a call in a goroutine that ends with ctx.
func (w *Watcher) start(ctx context.Context, hold time.Duration, ask call, answers chan<- answer) {
	go func() {
		select {
		case answers <- w.attempt(ctx, hold, ask):
		case <-ctx.Done():
		}
	}()
}

// attempt makes a call once.
func (w *Watcher) attempt(ctx context.Context, hold time.Duration, ask call) answer {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if w.OnAnswer == nil {
		page, err := ask(ctx, hold)
		return answer{page: page, err: err}
	}
	sentAt := w.Now()
	page, err := ask(ctx, hold)
	return answer{page, w.answeredAsOf(sentAt, hold, err == nil && len(page.Rows) == 0), err}
}

// answeredAsOf returns the earliest time at which the store can have answered a call. The arrival of the answer doesn't count:
// a process that was suspended meanwhile takes an old answer for a new one. The store holds a poll for changes that has none.
func (w *Watcher) answeredAsOf(sentAt time.Time, hold time.Duration, held bool) time.Time {
	if end := sentAt.Add(hold); held && !w.Now().Before(end) {
		return end
	}
	return sentAt
}
