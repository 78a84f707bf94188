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

// commitBatch is the content of one commit.
type commitBatch struct {
	commitNo int64
	intents  []*intent
	progress []sched.JobProgress
	runners  map[string]work.Runner // runners that may have work; nil if neither they nor the silent runners have changed
	silent   map[string]time.Time   // runners that don't answer; set together with runners
	epoch    int64                  // heartbeat epoch when the commit was sent
	renewal  bool                   // the commit has to confirm the lease
}

func (b commitBatch) empty() bool {
	return len(b.intents) == 0 && len(b.progress) == 0 && b.runners == nil && !b.renewal
}

// callerRetryDelay is the delay after which callers may retry a request that the store refused.
const callerRetryDelay = time.Second

// commitLoop commits pending changes, one transaction at a time.
func (h *Leader) commitLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, idleInterval, h.wakeCommit)
		for ctx.Err() == nil && h.commitOnce(ctx) {
		}
	}
	return nil
}

// commitOnce runs one transaction and reports whether another should follow immediately.
func (h *Leader) commitOnce(ctx context.Context) bool {
	h.mu.Lock()
	batch, tx, err := h.prepareCommit(h.Now())
	h.mu.Unlock()
	if err != nil {
		h.Log.Error("cannot encode a commit", zap.Error(err))
		return false
	}
	if batch.empty() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	stamp, err := h.Store.Commit(callCtx, tx)
	cancel()
	h.mu.Lock()
	more := h.handleCommitResult(batch, stamp, err)
	h.mu.Unlock()
	if err != nil && !fault.Is(err, fault.Conflict) {
		sleep.ForOrWake(ctx, storeRetryInterval, nil)
	}
	return more
}

// prepareCommit collects pending changes into one transaction.
func (h *Leader) prepareCommit(now time.Time) (commitBatch, platform.Tx, error) {
	batch := commitBatch{intents: h.nextIntents()}
	n := len(batch.intents)
	batch.progress = h.pool.UncommittedBatch(now, platform.MaxTxEntries-fixedEntries-entriesPerJob*n, n > 0)
	h.addRunners(now, &batch)
	batch.epoch = h.Heartbeat().Epoch
	batch.renewal = batch.epoch != h.epoch
	if batch.empty() {
		return batch, platform.Tx{}, nil
	}
	h.leaseRow.Commits++
	batch.commitNo = h.leaseRow.Commits
	tx, err := h.buildTx(batch)
	return batch, tx, err
}

// nextIntents returns as many pending intents as fit into one transaction.
func (h *Leader) nextIntents() []*intent {
	var next []*intent
	size := 0
	for _, in := range h.intents {
		if in.kind == deleteInbox && !h.inboxRowDone(in) {
			continue // the inbox row is the only record of the request that the next leader would find
		}
		size += len(in.value)
		if len(next) == maxBatchJobs || (size > maxBatchBytes && len(next) > 0) {
			break
		}
		next = append(next, in)
	}
	return next
}

// inboxRowDone reports whether the store has the result of an inbox row's request, so that the row may be deleted.
func (h *Leader) inboxRowDone(in *intent) bool {
	if !strings.HasSuffix(in.key, cancelSuffix) {
		return true // the job's own row was stored together with the inbox row
	}
	state, known := h.pool.State(in.id)
	return !known || state.Final()
}

// addRunners adds the runners that may have work and the silent runners to the batch if the store doesn't have them yet.
func (h *Leader) addRunners(now time.Time, batch *commitBatch) {
	runners := maps.Clone(h.listedRunners)
	for id, runner := range h.storedRunners {
		if _, ok := runners[id]; !ok && h.pool.HasRunner(id) {
			runners[id] = runner // an unlisted runner may still have work
		}
	}
	silent := h.pool.SilentRunners(now)
	if h.storeTime == 0 {
		silent = nil // end times are stored on the store's clock, which is still unknown
	}
	unchanged := maps.EqualFunc(runners, h.storedRunners, func(x, y work.Runner) bool { return x.Addr == y.Addr })
	if unchanged && !h.silentDirty && maps.EqualFunc(silent, h.storedSilent, func(_, _ time.Time) bool { return true }) {
		return
	}
	batch.runners, batch.silent = runners, silent
	h.silentDirty = true // until the store confirms the commit
	h.pool.SilentSaveStarted(silent)
}

// buildTx encodes a batch as a transaction. Its condition on the lease row makes it fail under another leader.
func (h *Leader) buildTx(batch commitBatch) (platform.Tx, error) {
	service := h.lease.Service
	leaseKey := rowKey(tableLease, service, keyLease)
	tx := platform.Tx{Conditions: []platform.Condition{{RowKey: leaseKey, Version: h.leaseVersion}}}
	value, err := encode(h.leaseRow)
	if err != nil {
		return tx, err
	}
	tx.Puts = append(tx.Puts, platform.Row{RowKey: leaseKey, Value: value})
	for _, in := range batch.intents {
		jobKey := rowKey(tableJobs, service, string(in.id))
		switch in.kind {
		case storeJob:
			tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: jobKey})
			tx.Puts = append(tx.Puts, platform.Row{RowKey: jobKey, Value: in.value})
		case deleteJob:
			tx.Deletes = append(tx.Deletes, jobKey, rowKey(tableProgress, service, string(in.id)))
		case deleteInbox:
			tx.Deletes = append(tx.Deletes, rowKey(tableInbox, service, in.key))
		}
	}
	for _, job := range batch.progress {
		value, err := job.Progress.Encode()
		if err != nil {
			return tx, err
		}
		tx.Puts = append(tx.Puts, platform.Row{RowKey: rowKey(tableProgress, service, string(job.ID)), Value: value})
	}
	if batch.runners != nil {
		rows, err := h.runnerRows(batch)
		if err != nil {
			return tx, err
		}
		tx.Puts = append(tx.Puts, rows...)
	}
	return tx, nil
}

// handleCommitResult handles the result of a commit and reports whether another should follow immediately.
func (h *Leader) handleCommitResult(batch commitBatch, stamp platform.Stamp, err error) bool {
	switch {
	case err == nil:
		h.leaseVersion = stamp.Version
		h.storeTime, h.storeTimeReadAt = stamp.Now, h.Now()
		h.epoch = batch.epoch
		h.applyBatch(batch)
		clear(h.unanswered)
		return len(h.nextIntents()) > 0
	case fault.Is(err, fault.Conflict):
		return h.handleConflict(batch, err)
	case fault.Is(err, fault.Overload):
		h.refuseIntents(batch, err)
		return false
	}
	// The commit may have taken effect, or may still do so while the lease row has the same version.
	h.unanswered[batch.commitNo] = batch
	h.Log.Warn("store did not answer a commit", zap.Int64("commit", batch.commitNo), zap.Error(err))
	return false
}

// applyBatch applies a batch that has taken effect in the store.
func (h *Leader) applyBatch(batch commitBatch) {
	now := h.Now()
	for _, in := range batch.intents {
		h.removeIntent(in)
		if in.kind == storeJob {
			h.pool.Accept(now, in.id, in.row.Queue, in.row.Job)
			in.reply(Result{Verdict: Accepted})
		}
	}
	h.pool.MarkCommitted(now, batch.progress)
	if batch.runners != nil {
		h.storedRunners, h.storedSilent, h.silentDirty = batch.runners, batch.silent, false
		h.pool.SilentSaved(batch.silent)
		for id, runner := range batch.runners {
			if current, ok := h.listedRunners[id]; ok && current.Addr == runner.Addr {
				h.admitRunner(current)
			}
		}
	}
	h.answerCancels()
	close(h.commitDone)
	h.commitDone = make(chan struct{})
	sleep.Wake(h.wakePlan)
}

// removeIntent removes a completed intent from the pending ones.
func (h *Leader) removeIntent(in *intent) {
	if at := slices.Index(h.intents, in); at >= 0 {
		h.intents = slices.Delete(h.intents, at, at+1)
	}
}

// answerCancels answers the callers whose cancellations are stored.
func (h *Leader) answerCancels() {
	for id, waiters := range h.cancelWaiters {
		state, _ := h.pool.State(id)
		if !state.Final() {
			continue
		}
		for _, reply := range waiters {
			reply <- Result{Verdict: Accepted, State: state}
		}
		delete(h.cancelWaiters, id)
	}
}

// refuseIntents handles a commit that the store refused and thus did not apply. It refuses the submissions in it, so that
// their callers can retry.
func (h *Leader) refuseIntents(batch commitBatch, err error) {
	h.Log.Warn("store refused a commit", zap.Error(err))
	if len(h.unanswered) > 0 {
		return // an earlier attempt with the same intents may still take effect
	}
	for _, in := range batch.intents {
		if in.kind == storeJob {
			h.removeIntent(in)
			in.reply(Result{Verdict: Refused, Retry: callerRetryDelay, Why: "the store refuses: " + err.Error()})
		}
	}
}

// handleConflict handles a commit whose conditions failed and reports whether to retry immediately.
func (h *Leader) handleConflict(batch commitBatch, err error) bool {
	var conflict *platform.Conflict
	if !errors.As(err, &conflict) {
		h.loseLease(err)
		return false
	}
	for _, row := range conflict.Rows {
		if row.Table == tableLease && row.Key == keyLease && row.Version != h.leaseVersion {
			return h.handleLeaseRowChange(row)
		}
	}
	h.epoch = batch.epoch // the lease row is unchanged, so the lease is still ours
	if !h.leaseConfirmed(h.Now()) {
		return false
	}
	for _, row := range conflict.Rows {
		if row.Table == tableJobs && row.Version != 0 {
			h.handleExistingJob(batch, row)
		}
	}
	return true
}

// handleLeaseRowChange handles a lease row with an unexpected version. Either an unanswered commit of ours took effect, or
// another leader wrote the row. It reports whether to retry immediately.
func (h *Leader) handleLeaseRowChange(row platform.Row) bool {
	var current LeaseRow
	if err := decode(row, &current); err != nil {
		h.loseLease(err)
		return false
	}
	landed, ok := h.unanswered[current.Commits]
	if !ok || current.Holder != h.leaseRow.Holder || current.Boot != h.leaseRow.Boot || current.Term != h.leaseRow.Term {
		h.loseLease(fault.New(fault.Fenced, "%s is now the leader of %s", current.Holder, h.lease.Service))
		return false
	}
	h.leaseVersion = row.Version
	h.applyBatch(landed)
	clear(h.unanswered)
	return true
}

// handleExistingJob accepts a submitted job that the store already has.
func (h *Leader) handleExistingJob(batch commitBatch, row platform.Row) {
	for _, in := range batch.intents {
		if in.kind != storeJob || string(in.id) != row.Key {
			continue
		}
		var stored jobRow
		if err := decode(row, &stored); err != nil {
			h.Log.Error("cannot decode a stored job", zap.Error(err))
			stored = in.row // the same caller submitted it under the same ID
		}
		h.removeIntent(in)
		h.pool.Accept(h.Now(), in.id, stored.Queue, stored.Job)
		in.reply(Result{Verdict: Accepted})
	}
}
