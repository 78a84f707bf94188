package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// flight is what one commit holds.
type flight struct {
	commits  int64
	intents  []*intent
	progress []sched.JobProgress
	runners  map[string]work.Runner // those that may have work; nil where nothing about them has changed
	silent   map[string]time.Time   // those that don't answer; with runners
	spell    int64                  // of the signs of life when it was sent
	proof    bool                   // it is to show that the seat is still ours
}

func (f flight) empty() bool {
	return len(f.intents) == 0 && len(f.progress) == 0 && f.runners == nil && !f.proof
}

// retryStore is when a caller may come back after the store refused.
const retryStore = time.Second

// commitLoop commits what there is, one transaction after the other.
func (h *Leader) commitLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, tick, h.commit)
		for ctx.Err() == nil && h.commitOnce(ctx) {
		}
	}
	return nil
}

// commitOnce runs one transaction and tells whether another is to follow at once.
func (h *Leader) commitOnce(ctx context.Context) bool {
	h.mu.Lock()
	f, tx, err := h.prepare(h.Now())
	h.mu.Unlock()
	if err != nil {
		h.Log.Error("commit can't be encoded", zap.Error(err))
		return false
	}
	if f.empty() {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callLimit)
	stamp, err := h.Store.Commit(call, tx)
	cancel()
	h.mu.Lock()
	again := h.committed(f, stamp, err)
	h.mu.Unlock()
	if err != nil && !fault.Is(err, fault.Conflict) {
		sleep.ForOrWake(ctx, retryGap, nil)
	}
	return again
}

// prepare collects what waits into one transaction.
func (h *Leader) prepare(now time.Time) (flight, platform.Tx, error) {
	f := flight{intents: h.fitting()}
	n := len(f.intents)
	f.progress = h.pool.UncommittedBatch(now, platform.MaxTxEntries-entriesOwn-entriesEach*n, n > 0)
	h.addRunners(now, &f)
	f.spell = h.Heartbeat().Epoch
	f.proof = f.spell != h.spell
	if f.empty() {
		return f, platform.Tx{}, nil
	}
	h.seat.Commits++
	f.commits = h.seat.Commits
	tx, err := h.transaction(f)
	return f, tx, err
}

// fitting returns as many of the waiting intents as fit into one transaction.
func (h *Leader) fitting() []*intent {
	var list []*intent
	size := 0
	for _, i := range h.queue {
		if i.kind == unmail && !h.settled(i) {
			continue // its mail is all that a next holder would know of it
		}
		size += len(i.value)
		if len(list) == batchMost || (size > batchBytes && len(list) > 0) {
			break
		}
		list = append(list, i)
	}
	return list
}

// settled tells whether the store has what mail asked for, so that the mail may go.
func (h *Leader) settled(i *intent) bool {
	if !strings.HasSuffix(i.key, cancelSuffix) {
		return true // the job itself is stored
	}
	s, known := h.pool.State(i.id)
	return !known || s.Final()
}

// addRunners adds what the store has to know of the runners, where that has changed.
func (h *Leader) addRunners(now time.Time, f *flight) {
	all := maps.Clone(h.wanted)
	for id, w := range h.useful {
		if _, ok := all[id]; !ok && h.pool.HasRunner(id) {
			all[id] = w // it may still have work
		}
	}
	silent := h.pool.SilentRunners(now)
	if h.storeNow == 0 {
		silent = nil // there is no store's time to tell it by yet
	}
	same := maps.EqualFunc(all, h.useful, func(x, y work.Runner) bool { return x.Addr == y.Addr })
	if same && !h.marks && maps.EqualFunc(silent, h.silent, func(_, _ time.Time) bool { return true }) {
		return
	}
	f.runners, f.silent = all, silent
	h.marks = true // until the store has answered
	h.pool.SilentSaveStarted(silent)
}

// transaction puts a flight into the store's form.
func (h *Leader) transaction(f flight) (platform.Tx, error) {
	service := h.claim.Service
	at := place(tableHold, service, keySeat)
	tx := platform.Tx{Conditions: []platform.Condition{{RowKey: at, Version: h.version}}}
	value, err := encode(h.seat)
	if err != nil {
		return tx, err
	}
	tx.Puts = append(tx.Puts, platform.Row{RowKey: at, Value: value})
	for _, i := range f.intents {
		job := place(tableJobs, service, string(i.id))
		switch i.kind {
		case submit:
			tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: job})
			tx.Puts = append(tx.Puts, platform.Row{RowKey: job, Value: i.value})
		case forget:
			tx.Deletes = append(tx.Deletes, job, place(tableProgress, service, string(i.id)))
		case unmail:
			tx.Deletes = append(tx.Deletes, place(tableMail, service, i.key))
		}
	}
	for _, s := range f.progress {
		value, err := s.Progress.Encode()
		if err != nil {
			return tx, err
		}
		tx.Puts = append(tx.Puts, platform.Row{RowKey: place(tableProgress, service, string(s.ID)), Value: value})
	}
	if f.runners != nil {
		rows, err := h.runnersRows(f)
		if err != nil {
			return tx, err
		}
		tx.Puts = append(tx.Puts, rows...)
	}
	return tx, nil
}

// committed takes in how a commit was answered and tells whether another is to follow at once.
func (h *Leader) committed(f flight, stamp platform.Stamp, err error) bool {
	switch {
	case err == nil:
		h.version = stamp.Version
		h.storeNow, h.storeAt = stamp.Now, h.Now()
		h.spell = f.spell
		h.apply(f)
		clear(h.flights)
		return len(h.fitting()) > 0
	case fault.Is(err, fault.Conflict):
		return h.conflict(f, err)
	case fault.Is(err, fault.Overload):
		h.turnAway(f, err)
		return false
	}
	// It may take effect, now or later, as long as the seat's row stays as it is.
	h.flights[f.commits] = f
	h.Log.Warn("commit not answered", zap.Int64("commit", f.commits), zap.Error(err))
	return false
}

// apply takes in that a commit has taken effect.
func (h *Leader) apply(f flight) {
	now := h.Now()
	for _, i := range f.intents {
		h.unqueue(i)
		if i.kind == submit {
			h.pool.Accept(now, i.id, i.row.Queue, i.row.Job)
			i.reply(Result{Verdict: Accepted})
		}
	}
	h.pool.MarkCommitted(now, f.progress)
	if f.runners != nil {
		h.useful, h.silent, h.marks = f.runners, f.silent, false
		h.pool.SilentSaved(f.silent)
		for id, w := range f.runners {
			if cur, ok := h.wanted[id]; ok && cur.Addr == w.Addr {
				h.admit(cur)
			}
		}
	}
	h.answerCancels()
	close(h.saved)
	h.saved = make(chan struct{})
	sleep.Wake(h.kick)
}

// unqueue removes an intent that is done with.
func (h *Leader) unqueue(i *intent) {
	if at := slices.Index(h.queue, i); at >= 0 {
		h.queue = slices.Delete(h.queue, at, at+1)
	}
}

// answerCancels answers the cancellations that are stored.
func (h *Leader) answerCancels() {
	for id, list := range h.cancels {
		s, _ := h.pool.State(id)
		if !s.Final() {
			continue
		}
		for _, c := range list {
			c <- Result{Verdict: Accepted, State: s}
		}
		delete(h.cancels, id)
	}
}

// turnAway takes in that the store surely did nothing: who waits is told so at once.
func (h *Leader) turnAway(f flight, err error) {
	h.Log.Warn("commit refused", zap.Error(err))
	if len(h.flights) > 0 {
		return // an earlier try of the same may still take effect
	}
	for _, i := range f.intents {
		if i.kind == submit {
			h.unqueue(i)
			i.reply(Result{Verdict: Refused, Retry: retryStore, Why: "the store refuses: " + err.Error()})
		}
	}
}

// conflict takes in that a condition failed and tells whether to try again at once.
func (h *Leader) conflict(f flight, err error) bool {
	var c *platform.Conflict
	if !errors.As(err, &c) {
		h.lose(err)
		return false
	}
	for _, row := range c.Rows {
		if row.Table == tableHold && row.Key == keySeat && row.Version != h.version {
			return h.overtaken(row)
		}
	}
	h.spell = f.spell // the seat's row is as we left it
	if !h.sure(h.Now()) {
		return false
	}
	for _, row := range c.Rows {
		if row.Table == tableJobs && row.Version != 0 {
			h.present(f, row)
		}
	}
	return true
}

// overtaken takes in that the seat's row has changed: by a try of ours that wasn't answered, or by another holder.
func (h *Leader) overtaken(row platform.Row) bool {
	var now LeaseRow
	if err := decode(row, &now); err != nil {
		h.lose(err)
		return false
	}
	mine, ok := h.flights[now.Commits]
	if !ok || now.Holder != h.seat.Holder || now.Boot != h.seat.Boot || now.Term != h.seat.Term {
		h.lose(fault.New(fault.Fenced, "%s now holds %s", now.Holder, h.claim.Service))
		return false
	}
	h.version = row.Version
	h.apply(mine)
	clear(h.flights)
	return true
}

// present takes in that the store has a job already.
func (h *Leader) present(f flight, row platform.Row) {
	for _, i := range f.intents {
		if i.kind != submit || string(i.id) != row.Key {
			continue
		}
		var stored jobRow
		if err := decode(row, &stored); err != nil {
			h.Log.Error("stored job can't be read", zap.Error(err))
			stored = i.row // the same caller asked for the same ID
		}
		h.unqueue(i)
		h.pool.Accept(h.Now(), i.id, stored.Queue, stored.Job)
		i.reply(Result{Verdict: Accepted})
	}
}
