package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/contact"
	"gypsumlead/fault"
	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// maxHandoffJobs limits the jobs in one transaction. Each takes three entries: a condition, its row and its inbox row. The gates of
// their queues take one each.
const maxHandoffJobs = (platform.MaxTxEntries - maxBatchGates) / 3

// Handoff writes jobs to the store when the leader of their service can't be reached. The next leader loads them from
// there. The jobs of a service are sent in batches, one transaction at a time: the store runs transactions on the same
// partition one after the other, and many of them would delay the next leader's acquisition of the lease.
type Handoff struct {
	store *platform.Store
	homes *home.Directory
	log   *zap.Logger
	now   func() time.Time

	mu      sync.Mutex
	queues  map[string]*serviceQueue // by service
	keptOut map[string]keptOutRate   // by service
}

// serviceQueue holds the pending jobs of one service.
type serviceQueue struct {
	waiting []*pendingJob
	sending bool // sendLoop is running
	link    *contact.Link
}

// pendingJob is a job that is not stored yet.
type pendingJob struct {
	id          work.ID
	job         work.Job
	value       []byte // of the job's row
	inboxValue  []byte
	gate        home.Gate
	version     int64       // of the refused row that it replaces; 0 if there is none
	reply       chan Result // has room for one result
	unconfirmed bool        // it was sent and not answered, so it may be stored
	abandoned   bool        // its caller no longer waits
	alone       bool        // it has a transaction of its own: the store refused one that it was part of
}

// NewHandoff returns a Handoff without pending jobs.
func NewHandoff(store *platform.Store, homes *home.Directory, log *zap.Logger, now func() time.Time) *Handoff {
	return &Handoff{store: store, homes: homes, log: log, now: now, queues: map[string]*serviceQueue{}, keptOut: map[string]keptOutRate{}}
}

// Submit stores a job and returns the result. If ctx ends first, or while the store is silent, the verdict is Unknown. seen is as in
// Leader.Submit.
func (h *Handoff) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job, seen int64) Result {
	gate, err := h.homes.Open(ctx, q)
	if err != nil {
		return notOpened(err)
	}
	if result, found := submitElsewhere(ctx, h.store, gate, id, job, seen); found {
		return result
	}
	value, err := encodeJob(jobRow{Queue: q, Job: job, At: h.now()})
	if err != nil {
		return tooLarge(err)
	}
	inboxValue, err := encode(inboxRow{Queue: q.Name, Path: q.Path})
	if err != nil {
		return notStored(err.Error())
	}
	pending := &pendingJob{id: id, job: job, value: value, inboxValue: inboxValue, gate: gate, reply: make(chan Result, 1)}
	h.enqueue(q.Service, pending)
	select {
	case result := <-pending.reply:
		return result
	case <-ctx.Done():
	}
	if h.withdraw(q.Service, pending) && !pending.unconfirmed {
		return notStored("the store is behind, the job was not sent to it")
	}
	return Result{Verdict: Unknown, Why: "the store has not answered in time"}
}

// enqueue queues a job and starts sendLoop if it isn't running.
func (h *Handoff) enqueue(service string, pending *pendingJob) {
	h.mu.Lock()
	defer h.mu.Unlock()
	queue, ok := h.queues[service]
	if !ok {
		queue = &serviceQueue{link: newStoreLink(h.store, service, h.now)}
		h.queues[service] = queue
	}
	queue.waiting = append(queue.waiting, pending)
	if !queue.sending {
		queue.sending = true
		go h.sendLoop(service, queue)
	}
}

// withdraw removes a job from the queue. It returns false if the job is not queued, because it is being sent; it is not
// queued again then.
func (h *Handoff) withdraw(service string, pending *pendingJob) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	queue := h.queues[service]
	at := slices.Index(queue.waiting, pending)
	if at < 0 {
		pending.abandoned = true
		return false
	}
	queue.waiting = slices.Delete(queue.waiting, at, at+1)
	return true
}

// sendLoop stores queued jobs until none are left.
func (h *Handoff) sendLoop(service string, queue *serviceQueue) {
	for {
		if err := queue.link.Check(context.Background()); err != nil {
			h.dropUnsent(queue, err)
		}
		batch := h.nextBatch(queue)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := h.store.Commit(ctx, handoffTx(service, batch))
		cancel()
		h.handleResult(queue, batch, err)
	}
}

// dropUnsent drops the queued jobs that have not been sent, because the store is silent.
func (h *Handoff) dropUnsent(queue *serviceQueue, err error) {
	h.log.Warn("store is silent, dropping jobs that were not sent to it", zap.Error(err))
	h.mu.Lock()
	defer h.mu.Unlock()
	queue.waiting = slices.DeleteFunc(queue.waiting, func(pending *pendingJob) bool {
		if pending.unconfirmed {
			return false
		}
		pending.reply <- notStored("the store is silent: " + err.Error())
		return true
	})
}

// nextBatch removes the jobs of one transaction from the queue. An empty batch ends sendLoop.
func (h *Handoff) nextBatch(queue *serviceQueue) []*pendingJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	var batch []*pendingJob
	size := 0
	ids := map[work.ID]struct{}{}
	gates := gateSet{}
	queue.waiting = slices.DeleteFunc(queue.waiting, func(pending *pendingJob) bool {
		_, duplicate := ids[pending.id] // a transaction can't put the same row twice
		if duplicate || len(batch) == maxHandoffJobs || (len(batch) > 0 && (pending.alone || batch[0].alone)) || (len(batch) > 0 && size+len(pending.value) > maxBatchBytes) {
			return false
		}
		if !gates.add(pending.gate) {
			return false
		}
		ids[pending.id] = struct{}{}
		size += len(pending.value)
		batch = append(batch, pending)
		return true
	})
	queue.sending = len(batch) > 0
	return batch
}

// handoffTx returns a transaction that stores new jobs, each with an inbox row for the leader.
func handoffTx(service string, batch []*pendingJob) platform.Tx {
	var tx platform.Tx
	gates := gateSet{}
	for _, pending := range batch {
		gates.add(pending.gate)
		jobKey := rowKey(tableJobs, service, string(pending.id))
		tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: jobKey, Version: pending.version})
		tx.Puts = append(tx.Puts,
			platform.Row{RowKey: jobKey, Value: pending.value},
			platform.Row{RowKey: rowKey(tableInbox, service, string(pending.id)), Value: pending.inboxValue})
	}
	tx.Conditions = append(tx.Conditions, gates.conditions()...)
	return tx
}

// handleResult answers the jobs of a transaction. After a conflict, the jobs that the store already has are accepted
// and the others are sent again.
func (h *Handoff) handleResult(queue *serviceQueue, batch []*pendingJob, err error) {
	var conflict *platform.Conflict
	switch {
	case err == nil:
		queue.link.Heard()
		answerAll(batch, Result{Verdict: Accepted})
	case errors.As(err, &conflict):
		h.requeue(queue, batch, conflict)
	case fault.Is(err, fault.Overload):
		h.log.Warn("store refused handed-off jobs", zap.Int("jobs", len(batch)), zap.Error(err))
		queue.link.Doubt()
		for _, pending := range batch {
			pending.reply <- pending.refused(err)
		}
	case fault.Is(err, fault.Invalid):
		h.log.Error("store refuses the content of handed-off jobs", zap.Int("jobs", len(batch)), zap.Error(err))
		h.isolate(queue, batch, err)
	default:
		h.log.Warn("store did not answer the transaction with handed-off jobs", zap.Int("jobs", len(batch)), zap.Error(err))
		queue.link.Doubt()
		h.retry(queue, batch)
	}
}

// isolate puts jobs back at the front of the queue whose transaction the store refused for its content, to be sent one by one.
// A single job is answered: to send it again would fail again.
func (h *Handoff) isolate(queue *serviceQueue, batch []*pendingJob, err error) {
	if len(batch) == 1 {
		result := tooLarge(err)
		if batch[0].unconfirmed {
			result = Result{Verdict: Unknown, Why: err.Error()} // an earlier transaction may have stored it
		}
		batch[0].reply <- result
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	batch = slices.DeleteFunc(batch, func(pending *pendingJob) bool { return pending.abandoned })
	for _, pending := range batch {
		pending.alone = true
	}
	queue.waiting = append(batch, queue.waiting...)
}

// refused returns the result of a job whose transaction the store has refused.
func (p *pendingJob) refused(err error) Result {
	if p.unconfirmed {
		return Result{Verdict: Unknown, Why: err.Error()} // an earlier transaction may have stored it
	}
	return notStored(err.Error())
}

// retry puts jobs back at the front of the queue whose transaction was not answered. To repeat it is safe: a job that is
// stored already is found then.
func (h *Handoff) retry(queue *serviceQueue, batch []*pendingJob) {
	sleep.ForOrWake(context.Background(), storeRetryInterval, nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	batch = slices.DeleteFunc(batch, func(pending *pendingJob) bool { return pending.abandoned })
	for _, pending := range batch {
		pending.unconfirmed = true
	}
	queue.waiting = append(batch, queue.waiting...)
}

// requeue answers the jobs for which the store already has a row, or whose queue's gate has changed, and puts the others back at
// the front of the queue.
func (h *Handoff) requeue(queue *serviceQueue, batch []*pendingJob, conflict *platform.Conflict) {
	rows := map[platform.RowKey]platform.Row{}
	for _, row := range conflict.Rows {
		rows[row.RowKey] = row
	}
	var remaining []*pendingJob
	changed := false // the next transaction may succeed
	for _, pending := range batch {
		row := rows[rowKey(tableJobs, pending.gate.Service, string(pending.id))]
		gate, ok := rows[pending.gate.Key()]
		switch {
		case row.Version != pending.version && !pending.replace(row):
			pending.reply <- pending.exists(row)
			changed = true
		case ok && gate.Version != pending.gate.Version:
			h.homes.Forget(pending.gate)
			pending.reply <- notStored("the queue's gate has changed") // an earlier transaction can't take effect any more either
			changed = true
		default:
			changed = changed || row.Version != pending.version
			pending.version = row.Version
			remaining = append(remaining, pending)
		}
	}
	if !changed {
		answerAll(batch, Result{Verdict: Unknown, Why: "the store's conflict names no job"})
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	queue.waiting = append(remaining, queue.waiting...)
}

// replace reports whether a job may be stored in place of a row at its key: there is none any more, or others have cancelled a job
// of this ID. A row that keeps out earlier tries than a refused one stays: leaders know which tries are later.
func (p *pendingJob) replace(row platform.Row) bool {
	if row.Version == 0 {
		return true
	}
	refused, ok := storedRefusal(row)
	if !ok || refused.refusedAt != 0 {
		return false
	}
	_, out := refused.check(p.job.Workspace, 0)
	return !out
}

// exists returns the result of a job at whose key the store already has a row.
func (p *pendingJob) exists(row platform.Row) Result {
	if refused, ok := storedRefusal(row); ok {
		if result, out := refused.check(p.job.Workspace, refused.refusedAt); out {
			return result
		}
		return olderTry() // this try may be older than the refused one
	}
	stored, err := decodeJob(row)
	switch {
	case err == nil:
		return known(stored.Job.Workspace, p.job)
	case p.job.Workspace != "":
		return unreadableOwner(err)
	}
	return Result{Verdict: Accepted} // the same caller submitted it under the same ID
}

func answerAll(batch []*pendingJob, result Result) {
	for _, pending := range batch {
		pending.reply <- result
	}
}
