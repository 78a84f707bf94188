package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// callerRetryDelay is the delay after which callers may retry a request that was not carried out.
const callerRetryDelay = time.Second

// commitLoop commits pending changes, one transaction at a time.
func (l *Leader) commitLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, idleInterval, l.wakeCommit)
		for ctx.Err() == nil && l.commitOnce(ctx) {
		}
	}
	return nil
}

// commitOnce runs one transaction and reports whether another should follow immediately.
func (l *Leader) commitOnce(ctx context.Context) bool {
	l.mu.Lock()
	batch, tx, err := l.prepareCommit(l.Now())
	l.mu.Unlock()
	if err != nil {
		l.Log.Error("cannot encode a commit", zap.Error(err))
		return false
	}
	if batch.empty() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	stamp, err := l.Store.Commit(callCtx, tx)
	cancel()
	if err == nil || fault.Is(err, fault.Conflict) {
		l.storeLink.Heard()
	} else {
		l.storeLink.Doubt()
	}
	l.mu.Lock()
	sentAt := l.commitSentAt
	l.commitSentAt, l.commitFailed = time.Time{}, err != nil && !fault.Is(err, fault.Conflict)
	more := l.handleCommitResult(batch, stamp, sentAt, err)
	l.mu.Unlock()
	if err != nil && !fault.Is(err, fault.Conflict) {
		sleep.ForOrWake(ctx, storeRetryInterval, nil)
	}
	return more
}

// storeTakesCommits reports whether the store has answered the last commit, or has had little time for the one that is
// being sent.
func (l *Leader) storeTakesCommits(now time.Time) bool {
	return !l.commitFailed && (l.commitSentAt.IsZero() || now.Sub(l.commitSentAt) < slowCommit)
}

// prepareCommit collects pending changes into one transaction.
func (l *Leader) prepareCommit(now time.Time) (commitBatch, platform.Tx, error) {
	batch, err := l.nextBatch(now)
	for err == nil && l.isolation.active() && len(batch.parts()) == 0 {
		l.isolation.done() // what was refused is no longer pending
		batch, err = l.nextBatch(now)
	}
	if err != nil {
		return batch, platform.Tx{}, err
	}
	batch.epoch = l.Heartbeat().Epoch
	batch.renewal = batch.epoch != l.epoch
	if batch.empty() {
		return batch, platform.Tx{}, nil
	}
	l.commitSentAt = now
	l.leaseRow.Placements = l.pool.PlacementsStored()
	l.leaseRow.Commits++
	batch.commitNo = l.leaseRow.Commits
	tx, err := l.buildTx(batch)
	return batch, tx, err
}

// buildTx encodes a batch as a transaction. Its condition on the lease row makes it fail under another leader.
func (l *Leader) buildTx(batch commitBatch) (platform.Tx, error) {
	service := l.lease.Service
	leaseKey := rowKey(tableLease, service, keyLease)
	tx := platform.Tx{Conditions: []platform.Condition{{RowKey: leaseKey, Version: l.leaseVersion}}}
	value, err := encode(l.leaseRow)
	if err != nil {
		return tx, err
	}
	tx.Puts = append(tx.Puts, platform.Row{RowKey: leaseKey, Value: value})
	tx.Conditions = append(tx.Conditions, gatesOf(batch.intents).conditions()...)
	for _, in := range batch.intents {
		jobKey := rowKey(tableJobs, service, string(in.id))
		if err := l.prepareRow(in); err != nil {
			return tx, err
		}
		switch in.kind {
		case storeJob, refuseJob, keepOut:
			if in.value != nil {
				tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: jobKey, Version: in.version})
				tx.Puts = append(tx.Puts, platform.Row{RowKey: jobKey, Value: in.value})
			}
		case deleteJob:
			tx.Deletes = append(tx.Deletes, jobKey, progressKey(service, in.id, 0))
		case deleteRefused:
			tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: jobKey, Version: in.version})
			tx.Deletes = append(tx.Deletes, jobKey)
		case deleteInbox:
			tx.Deletes = append(tx.Deletes, rowKey(tableInbox, service, in.key))
		}
	}
	for _, put := range batch.progress {
		tx.Puts = append(tx.Puts, put.rows...)
		tx.Deletes = append(tx.Deletes, put.deletes...)
	}
	tx.Puts = append(tx.Puts, batch.shards...)
	return tx, nil
}

// prepareRow sets the refused row that an intent writes, by the one that it replaces as far as is known now.
func (l *Leader) prepareRow(in *intent) error {
	switch in.kind {
	case refuseJob:
		in.replaced = l.admission.refused.byID[in.id]
		value, err := encodeRefused(in.replaced, in.row.At)
		in.value = value
		return err
	case keepOut:
		return l.prepareKeepOut(in)
	case storeJob, deleteJob, deleteRefused, deleteInbox:
	}
	return nil
}

// handleCommitResult handles the result of a commit and reports whether another should follow immediately.
func (l *Leader) handleCommitResult(batch commitBatch, stamp platform.Stamp, sentAt time.Time, err error) bool {
	switch {
	case err == nil:
		l.leaseVersion = stamp.Version
		l.noteLeaseSeen(sentAt)
		l.storeTime, l.storeTimeReadAt = stamp.Now, sentAt // the answer may have been slow
		l.epoch = batch.epoch
		l.applyBatch(batch)
		clear(l.unanswered)
		l.isolation.done()
		return l.isolation.active() || len(l.nextIntents(1, maxBatchBytes, l.isolation.filter(l.Now()))) > 0 || l.pool.StartsWaiting() > 0
	case fault.Is(err, fault.Conflict):
		return l.handleConflict(batch, err)
	case fault.Is(err, fault.Overload):
		l.dropSubmissions(batch, err)
		return false
	case fault.Is(err, fault.Invalid):
		l.handleInvalid(batch, err)
		return l.isolation.active()
	}
	// The commit may have taken effect, or may still do so while the lease row has the same version.
	l.unanswered[batch.commitNo] = batch
	l.Log.Warn("store did not answer a commit", zap.Int64("commit", batch.commitNo), zap.Error(err))
	return false
}

// applyBatch applies a batch that has taken effect in the store.
func (l *Leader) applyBatch(batch commitBatch) {
	now := l.Now()
	for _, in := range batch.intents {
		l.removeIntent(in)
		switch in.kind {
		case storeJob:
			l.admission.refused.forget(in.id)
			l.pool.Accept(now, in.id, in.row.Queue, in.row.Job)
			in.reply(Result{Verdict: Accepted})
		case refuseJob:
			l.refusedStored(in)
		case keepOut:
			l.keepOutStored(in)
		case deleteJob, deleteRefused, deleteInbox:
		}
	}
	l.markCommitted(now, batch.progress)
	if batch.runners != nil {
		l.storedRunners, l.storedSilent, l.storedKeepUntil, l.silentDirty = batch.runners, batch.silent, batch.keepUntil, false
		l.pool.SilentSaved(batch.silent)
		for id, runner := range batch.runners {
			if current, ok := l.listedRunners[id]; ok && current.Addr == runner.Addr {
				l.admitRunner(current)
			}
			l.pool.IncarnationRecorded(now, id, runner.Born, l.leaseVersion, batch.keepUntil[id])
		}
	}
	l.answerCancels()
	close(l.commitDone)
	l.commitDone = make(chan struct{})
	sleep.Wake(l.wakePlan)
}

// markCommitted records that the store has the progress of jobs.
func (l *Leader) markCommitted(now time.Time, puts []progressPut) {
	var jobs []sched.JobProgress
	for _, put := range puts {
		jobs = append(jobs, put.job)
		l.progressRows[put.job.ID] = len(put.rows) // no other commit that was sent before takes effect any more
	}
	l.pool.MarkCommitted(now, jobs)
}

// handleInvalid handles a commit that the store refused for its content and thus did not apply. To repeat it as it is would fail
// for ever, and hold up all jobs of the service.
func (l *Leader) handleInvalid(batch commitBatch, err error) {
	now := l.Now()
	part, alone := l.isolation.handleRefusal(now, batch.parts())
	if alone && part.job != "" {
		l.pool.PostponeCommit(part.job, now.Add(isolationRetry))
	}
	l.Log.Error("store refuses the content of a commit", zap.Int("parts", len(batch.parts())), zap.Bool("alone", alone), zap.String("job", string(part.job)), zap.Error(err))
	if !alone || part.intent == nil || !part.intent.answered() || len(l.unanswered) > 0 {
		return
	}
	delete(l.isolation.refused, part)
	l.removeIntent(part.intent)
	if part.intent.kind == keepOut {
		part.intent.reply(notStored(err.Error()))
		return
	}
	part.intent.reply(tooLarge(err))
}

// removeIntent removes a completed intent from the pending ones.
func (l *Leader) removeIntent(in *intent) {
	if at := slices.Index(l.intents, in); at >= 0 {
		l.intents = slices.Delete(l.intents, at, at+1)
	}
}

// answerCancels answers the callers whose cancellations are stored.
func (l *Leader) answerCancels() {
	for id, waiters := range l.cancelWaiters {
		state, _ := l.pool.State(id)
		if !state.Final() {
			continue
		}
		for _, reply := range waiters {
			reply <- Result{Verdict: Accepted, State: state}
		}
		delete(l.cancelWaiters, id)
	}
}

// dropSubmissions handles a commit that the store refused and thus did not apply. It drops what callers wait for in it, so
// that they can retry.
func (l *Leader) dropSubmissions(batch commitBatch, err error) {
	l.Log.Warn("store refused a commit", zap.Error(err))
	if len(l.unanswered) > 0 {
		return // an earlier attempt with the same intents may still take effect
	}
	for _, in := range batch.intents {
		if in.answered() {
			l.removeIntent(in)
			in.reply(notStored("the store refuses: " + err.Error()))
		}
	}
}

// handleConflict handles a commit whose conditions failed and reports whether to retry immediately.
func (l *Leader) handleConflict(batch commitBatch, err error) bool {
	var conflict *platform.Conflict
	if !errors.As(err, &conflict) {
		l.loseLease(err)
		return false
	}
	for _, row := range conflict.Rows {
		if row.Table == tableLease && row.Key == keyLease && row.Version != l.leaseVersion {
			return l.handleLeaseRowChange(row)
		}
	}
	l.epoch = batch.epoch // the lease row is unchanged, so the lease is still ours
	if !l.leaseConfirmed(l.Now()) {
		return false
	}
	for _, row := range conflict.Rows {
		if row.Table == tableJobs {
			l.handleJobRow(batch, row)
		}
	}
	for _, row := range conflict.Rows {
		if home.IsGate(row.RowKey) {
			l.handleGateChange(row) // of jobs that the store doesn't have yet
		}
	}
	return true
}

// handleLeaseRowChange handles a lease row with an unexpected version. Either an unanswered commit of ours took effect,
// or another leader wrote the row. It reports whether to retry immediately.
func (l *Leader) handleLeaseRowChange(row platform.Row) bool {
	var current LeaseRow
	if err := decode(row, &current); err != nil {
		l.loseLease(err)
		return false
	}
	landed, ok := l.unanswered[current.Commits]
	if !ok || !l.owns(current) {
		l.loseLease(fault.New(fault.Fenced, "%s is now the leader of %s", current.Holder, l.lease.Service))
		return false
	}
	l.leaseVersion = row.Version
	l.applyBatch(landed)
	clear(l.unanswered)
	return true
}

// handleJobRow handles a job's row of which the store has another version than a commit required, for all intents of the commit that
// need it.
func (l *Leader) handleJobRow(batch commitBatch, row platform.Row) {
	id := work.ID(row.Key)
	refused, isRefused := storedRefusal(row)
	switch {
	case row.Version == 0:
		l.admission.refused.forget(id)
	case isRefused:
		l.admission.refused.note(id, refused)
	}
	for _, in := range batch.intents {
		switch {
		case in.id != id:
		case in.kind == deleteRefused && in.version != row.Version:
			l.removeIntent(in) // another row has replaced it, or it is gone
		case in.submission() && row.Version == 0:
			in.version = 0
		case in.submission() && isRefused:
			l.replaceRefused(in, refused)
		case in.submission():
			l.handleExistingJob(in, row)
		case in.kind == keepOut && row.Version != 0 && !isRefused:
			l.acceptStored(in, row)
		}
	}
}

// replaceRefused prepares a submission whose commit met a refused row for the next commit, unless the row keeps it out.
func (l *Leader) replaceRefused(in *intent, row refusedRow) {
	in.version = row.version
	if in.kind == refuseJob {
		return
	}
	if result, out := l.keptOut(row, in); out {
		l.removeIntent(in)
		in.reply(result)
	}
}

// handleExistingJob accepts a submitted job that the store already has, unless it is another workspace's.
func (l *Leader) handleExistingJob(in *intent, row platform.Row) {
	stored, err := decodeJob(row)
	if err != nil {
		l.Log.Error("cannot decode a stored job", zap.Error(err))
		if in.row.Job.Workspace != "" {
			l.removeIntent(in)
			in.reply(unreadableOwner(err)) // it may be another workspace's
			return
		}
		stored = in.row // the same caller submitted it under the same ID
	}
	l.removeIntent(in)
	l.pool.Accept(l.Now(), in.id, stored.Queue, stored.Job)
	in.reply(known(stored.Job.Workspace, in.row.Job))
}

// acceptStored accepts a job that the store has and this leader doesn't know yet, for a cancellation that met its row.
func (l *Leader) acceptStored(in *intent, row platform.Row) {
	stored, err := decodeJob(row)
	if err != nil {
		l.Log.Error("cannot decode a stored job", zap.Error(err))
		l.removeIntent(in)
		in.reply(unreadableOwner(err))
		return
	}
	l.pool.Accept(l.Now(), in.id, stored.Queue, stored.Job)
}
