package leader

import (
	"context"
	"time"

	"gypsumlead/home"
	"gypsumlead/sleep"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// Cancel cancels a job and returns once the cancellation is stored. A job that is being stored is waited for. If ctx ends first,
// the verdict is Unknown.
//
// The verdict is Absent for a job that doesn't exist for the caller. If the queue is sent to this service, the store then keeps
// out every try of the caller's that may still arrive: one whose write is carried out late, and repeats. To a caller of another
// workspace's job, all of that takes the same time. If a service that the queue was sent to before has the job, the result names
// it and nothing was done.
func (l *Leader) Cancel(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) Result {
	for ctx.Err() == nil {
		if result := l.cancelKnown(ctx, id, caller); result.Verdict != Absent || q.Service != l.lease.Service {
			return result
		}
		gate, err := l.Homes.Open(ctx, q)
		if err != nil {
			return notOpened(err)
		}
		service, err := visibleElsewhere(ctx, l.Store, gate, id, caller)
		switch {
		case err != nil:
			return notStored("cannot look for the job where its queue was sent before: " + err.Error())
		case service != "":
			return Result{Verdict: Absent, Service: service}
		}
		reply, result := l.keepOut(id, gate, caller)
		if reply == nil {
			return result
		}
		sleep.Wake(l.wakeCommit)
		if result = await(ctx, reply); result.Verdict != Accepted {
			return result
		}
		// The job has been stored meanwhile.
	}
	return Result{Verdict: Unknown, Why: "the store has not answered in time"}
}

// beingStored returns the result of a request for a job that waits for the store.
func beingStored() Result { return Result{Verdict: Unknown, Why: "the job is being stored"} }

// cancelKnown cancels a job that this leader knows, or that waits for the store.
func (l *Leader) cancelKnown(ctx context.Context, id work.ID, caller workspace.Caller) Result {
	if !l.awaitSubmission(ctx, id, caller) {
		return beingStored()
	}
	l.mu.Lock()
	if owner, ok := l.pool.Owner(id); !ok || !caller.MaySee(owner) {
		l.mu.Unlock()
		return Result{Verdict: Absent}
	}
	l.pool.Cancel(l.Now(), id)
	if state, _ := l.pool.State(id); state.Final() {
		l.mu.Unlock()
		return Result{Verdict: Accepted, State: state}
	}
	reply := make(chan Result, 1)
	l.cancelWaiters[id] = append(l.cancelWaiters[id], reply)
	l.mu.Unlock()
	sleep.Wake(l.wakePlan)
	sleep.Wake(l.wakeCommit)
	return await(ctx, reply)
}

// awaitSubmission waits until no submission of a job that exists for the caller waits for the store. It returns false if ctx or the
// leadership ends first.
func (l *Leader) awaitSubmission(ctx context.Context, id work.ID, caller workspace.Caller) bool {
	for {
		l.mu.Lock()
		pending, lost, commitDone := l.pendingSubmission(id), l.lostErr, l.commitDone
		l.mu.Unlock()
		if pending == nil || !caller.MaySee(pending.row.Job.Workspace) {
			return true
		}
		if lost != nil || ctx.Err() != nil {
			return false
		}
		sleep.ForOrWake(ctx, idleInterval, commitDone)
	}
}

// keepOut queues the row that keeps out the tries of a job that a caller has cancelled, and returns the channel for the result:
// Absent, or Accepted if the job exists for the caller by then. If the channel is nil, the returned result is final.
func (l *Leader) keepOut(id work.ID, gate home.Gate, caller workspace.Caller) (chan Result, Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostErr != nil {
		return nil, Result{Verdict: Unknown, Why: "the service has another holder"}
	}
	if l.admission.refused.full(caller) {
		return nil, tooManyCancelled()
	}
	reply := make(chan Result, 1)
	l.intents = append(l.intents, &intent{kind: keepOut, id: id, gate: gate, caller: caller, replies: []chan Result{reply}})
	return reply, Result{}
}

// tooManyCancelled returns the result of a cancellation for which no row may be written now.
func tooManyCancelled() Result {
	return notStored("too many jobs that are not stored have been cancelled lately")
}

// prepareKeepOut sets the row that an intent writes. It writes none, but waits for a commit all the same, if the store has such a
// row already, or a job: the caller's own is cancelled after the commit, and another's is none of its business.
func (l *Leader) prepareKeepOut(in *intent) error {
	in.value = nil
	in.replaced = l.admission.refused.byID[in.id]
	in.version = in.replaced.version
	if l.pool.HasJob(in.id) || in.replaced.cancels(in.caller) {
		return nil
	}
	in.row.At = time.Now()
	value, err := encodeCancelled(in.replaced, in.caller, in.row.At)
	in.value = value
	return err
}

// keepOutStored answers the caller of a cancellation once a commit has taken effect that was prepared for it.
func (l *Leader) keepOutStored(in *intent) {
	if owner, ok := l.pool.Owner(in.id); ok && in.caller.MaySee(owner) {
		in.reply(Result{Verdict: Accepted})
		return
	}
	if in.value != nil {
		row := refusedRow{version: l.leaseVersion, at: in.row.At, refusedAt: in.replaced.refusedAt, cancelled: cancelledWith(in.replaced, in.caller)}
		l.admission.refused.note(in.id, row)
		if submission := l.pendingSubmission(in.id); submission != nil { // it has arrived since
			l.replaceRefused(submission, row)
		}
	}
	in.reply(Result{Verdict: Absent, Final: true})
}
