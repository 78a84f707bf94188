package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

// answer is the outcome of one poll.
type answer struct {
	page     platform.Page
	snapshot bool      // the page has all rows that exist
	asOf     time.Time // of which the page is known to be up to date; zero without OnAnswer
	err      error
}

// poll returns the first answer to a poll. While a poll is overdue, another one is sent on a new connection, and the store
// doesn't hold that one: the overdue poll's connection may be silent for good. The store may also be slow, so the overdue poll
// goes on until attemptTimeout.
func (w *Watcher) poll(ctx context.Context) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timing := newTiming(w.Within)
	hold := timing.hold
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
			w.startPoll(ctx, hold, answers)
			due.Reset(timing.hold + timing.patience)
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

// sending is when a poll was sent, and how many calls the store had answered by then.
type sending struct {
	at      time.Time
	answers int64
}

// isSilentSince reports whether the store has answered no call since a poll was sent. While it is silent, the daemon's few
// other calls show soon enough when it is back.
func (w *Watcher) isSilentSince(sent sending) bool {
	return w.Store.Answers() == sent.answers && time.Since(sent.at) < maxSilence
}

// handleOverdue prepares for a further poll. Idle connections are as old as the one that is silent.
func (w *Watcher) handleOverdue(sent sending) {
	w.Log.Warn("poll of table is overdue", zap.String("table", w.Table), zap.Int64("after", w.FromVersion), zap.Duration("waited", time.Since(sent.at)))
	w.noteFailure()
	w.Store.Close()
}

// startPoll sends one poll in a goroutine that ends with ctx.
func (w *Watcher) startPoll(ctx context.Context, hold time.Duration, answers chan<- answer) {
	from := w.FromVersion // it may change while an earlier poll ends
	go func() {
		select {
		case answers <- w.pollOnce(ctx, from, hold):
		case <-ctx.Done():
		}
	}()
}

// pollOnce reads all rows, or the changes since a version.
func (w *Watcher) pollOnce(ctx context.Context, from int64, hold time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	a := answer{snapshot: from < 0}
	var sentAt time.Time
	if w.OnAnswer != nil {
		sentAt = w.Now()
	}
	switch {
	case a.snapshot && w.AllPartitions:
		a.page, a.err = w.Store.ScanTable(ctx, w.Table)
	case a.snapshot:
		a.page, a.err = w.Store.ScanPartition(ctx, w.Table, w.Partition)
	default:
		a.page, a.err = w.Store.Changes(ctx, w.Table, from, hold)
	}
	if w.OnAnswer != nil {
		held := a.err == nil && !a.snapshot && len(a.page.Rows) == 0
		a.asOf = w.answeredAsOf(sentAt, hold, held)
	}
	return a
}

// answeredAsOf returns the earliest time at which the store can have answered a poll. The arrival of the answer doesn't count:
// a process that was suspended meanwhile takes an old answer for a new one. The store holds a poll for changes that has none.
func (w *Watcher) answeredAsOf(sentAt time.Time, hold time.Duration, held bool) time.Time {
	if end := sentAt.Add(hold); held && !w.Now().Before(end) {
		return end
	}
	return sentAt
}
