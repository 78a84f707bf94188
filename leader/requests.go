package leader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/home"
	"gypsumlead/sleep"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// Verdict is the outcome of a caller's request.
type Verdict int

// Verdicts on a request.
const (
	Accepted  Verdict = iota // accepted and stored
	Refused                  // nothing was done; of a job: no try of it was or will be stored, so it never runs
	Unknown                  // this try, or an earlier one of the same job, may have been stored
	Absent                   // no such job, or none that exists for this caller
	Taken                    // of a submission: another workspace's job has this ID
	Withdrawn                // of a submission: the job was cancelled before it was stored, and never runs
)

// Result is the answer to a caller's request.
type Result struct {
	Verdict Verdict
	Retry   time.Duration // delay before the caller may retry, 0 if a retry won't help; for Unknown: set if this try was certainly not stored
	Full    bool          // for Refused: the service lacks the capacity to finish the job in time
	State   work.State
	Pending int
	Why     string
	Moved   int64     // for Unknown: version of the configuration that sends the queue to another service; 0 if none is known to
	Service string    // of a cancellation: the service that has the job, if it is another one
	Final   bool      // for Absent, of a cancellation: the store keeps out every try of the job that may still arrive
	Gate    home.Gate // of a submission: the gate that was open when it arrived, for the daemon that relays it
	Former  []string  // of a number of pending jobs: other services that may have jobs of the queue
}

// intentKind is the kind of change that an intent makes to the store.
type intentKind int

const (
	storeJob  intentKind = iota
	refuseJob            // store a refused row
	keepOut              // store a refused row that keeps out tries of a cancelled job
	deleteJob
	deleteRefused
	deleteInbox
)

// intent is a change that waits to be committed.
type intent struct {
	kind    intentKind
	id      work.ID
	key     string // key of the inbox row, for deleteInbox
	row     jobRow
	value   []byte
	version int64         // of the refused row that the intent replaces or deletes; 0 if there is none
	gate    home.Gate     // through which a submission is stored
	seen    int64         // version of the store that was known before the try arrived
	retry   time.Duration // of a refusal
	replies []chan Result

	replaced refusedRow       // the refused row that refuseJob or keepOut replaces
	caller   workspace.Caller // that cancels, for keepOut
}

// notStored returns the result of a try that was certainly not stored. It is no refusal: an earlier try of the same job
// may have been stored by another daemon.
func notStored(reason string) Result {
	return Result{Verdict: Unknown, Retry: callerRetryDelay, Why: reason}
}

// tooLarge returns the refusal of a job that no daemon can store.
func tooLarge(err error) Result { return Result{Verdict: Refused, Why: err.Error()} }

// Submit stores a job and returns once the outcome is known. If ctx ends first, or while the store is silent, the
// verdict is Unknown. seen is the version of the store that the daemon which received the try knew before that; a try
// replaces a refusal only with an earlier version.
func (l *Leader) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job, seen int64) Result {
	var gate home.Gate
	if !l.knows(id) {
		if err := l.storeLink.Check(ctx); err != nil {
			return notStored("the store is silent: " + err.Error())
		}
		var err error
		if gate, err = l.Homes.Open(ctx, q); err != nil {
			return notOpened(err)
		}
		if result, found := submitElsewhere(ctx, l.Store, gate, id, job, seen); found {
			return result
		}
	}
	reply, result := l.submit(id, q, job, gate, seen)
	if reply == nil {
		return result
	}
	sleep.Wake(l.wakeCommit)
	result = await(ctx, reply)
	result.Gate = gate
	return result
}

// knows reports whether a job is accepted or may be stored already.
func (l *Leader) knows(id work.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.HasJob(id) || l.pendingSubmission(id) != nil
}

// submit queues a job and returns the channel for its result. If the channel is nil, the returned result is final.
func (l *Leader) submit(id work.ID, q work.Queue, job work.Job, gate home.Gate, seen int64) (chan Result, Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if owner, ok := l.pool.Owner(id); ok {
		return nil, known(owner, job)
	}
	if l.lostErr != nil {
		return nil, Result{Verdict: Unknown, Why: "the service has another holder"}
	}
	reply := make(chan Result, 1)
	if in := l.pendingSubmission(id); in != nil {
		if in.row.Job.Workspace != job.Workspace {
			return nil, notStored("another workspace's job with this ID is being stored")
		}
		in.replies = append(in.replies, reply)
		return reply, Result{}
	}
	if gate.Version == 0 {
		return nil, notStored("the job was forgotten meanwhile")
	}
	row := jobRow{Queue: q, Job: job, At: time.Now()}
	value, err := encodeJob(row)
	if err != nil {
		return nil, tooLarge(err)
	}
	in := &intent{kind: storeJob, id: id, row: row, value: value, gate: gate, seen: seen, replies: []chan Result{reply}}
	if result, ok := l.admit(in); !ok {
		return nil, result
	}
	l.intents = append(l.intents, in)
	return reply, Result{}
}

// State returns the state of a job as the store has it, or Running once a task has started. The verdict is Absent for
// a job that doesn't exist for the caller, and Unknown if the job is still being stored when ctx ends.
func (l *Leader) State(ctx context.Context, id work.ID, caller workspace.Caller) Result {
	if !l.awaitSubmission(ctx, id, caller) {
		return beingStored()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.pool.State(id)
	if owner, _ := l.pool.Owner(id); !ok || !caller.MaySee(owner) {
		return Result{Verdict: Absent}
	}
	return Result{State: state}
}

// Pending returns the number of jobs of a queue that have not started, and, if the queue is sent to this service, which others may
// have more. It refuses while other daemons may have stored or accepted jobs that this leader doesn't know.
func (l *Leader) Pending(ctx context.Context, queue work.Queue) Result {
	result := l.countPending(queue)
	if result.Verdict != Accepted || queue.Service != l.lease.Service {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, formerTimeout)
	defer cancel()
	former, err := l.Homes.Former(ctx, queue, l.Now())
	if err != nil {
		return Result{Verdict: Refused, Retry: callerRetryDelay, Why: "cannot read which services have jobs of the queue: " + err.Error()}
	}
	result.Former = former
	return result
}

// countPending returns the number of jobs of a queue in this service that have not started.
func (l *Leader) countPending(queue work.Queue) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	pending, unloaded, unanswered := l.pool.Pending(queue), l.countUnloaded(queue), l.countUnanswered(queue)
	l.Log.Info("pending jobs counted", zap.String("queue", queue.Name), zap.Int("pending", pending.Jobs), zap.Int("placed", pending.Placed),
		zap.Int("unloaded", unloaded), zap.Int("unanswered", unanswered), zap.Duration("inboxAge", now.Sub(l.inboxReadAt)), zap.Bool("confirmed", l.leaseConfirmed(now)))
	if l.lostErr != nil || now.Sub(l.inboxReadAt) > countFreshness || !l.leaseConfirmed(now) {
		return Result{Verdict: Refused, Retry: callerRetryDelay, Why: "the service may have another leader, or the store has not answered lately"}
	}
	return Result{Pending: pending.Jobs + unloaded + unanswered}
}

// countUnanswered returns the number of a queue's jobs in commits that the store has not answered. It may have them, and
// then another daemon accepts them, which leaves no row in the inbox.
func (l *Leader) countUnanswered(queue work.Queue) int {
	ids := map[work.ID]struct{}{}
	for _, batch := range l.unanswered {
		for _, in := range batch.intents {
			_, unloaded := l.unloadedJobs[in.id]
			if in.kind == storeJob && in.row.Queue.Same(queue) && !unloaded && !l.pool.HasJob(in.id) {
				ids[in.id] = struct{}{}
			}
		}
	}
	return len(ids)
}

// await returns the result from reply, or Unknown if ctx ends first.
func await(ctx context.Context, reply <-chan Result) Result {
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return Result{Verdict: Unknown, Why: "the store has not answered in time"}
	}
}

// reply sends the result to all callers that wait for an intent.
func (in *intent) reply(result Result) {
	for _, reply := range in.replies {
		reply <- result // has room for its only result, so this doesn't block
	}
	in.replies = nil
}

// answerUnknown answers Unknown to all waiting callers at the end of the term.
func (l *Leader) answerUnknown() {
	result := Result{Verdict: Unknown, Why: "the service has another holder"}
	for _, in := range l.intents {
		in.reply(result)
	}
	l.intents = nil
	for id, waiters := range l.cancelWaiters {
		for _, reply := range waiters {
			reply <- result
		}
		delete(l.cancelWaiters, id)
	}
}
