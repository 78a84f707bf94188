package leader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

const (
	maxCancelAttempts = 4           // at cancelling a job, while others write its row
	keptOutWindow     = time.Second // in which maxKeptOut rows may be written
	maxKeptOut        = 4           // rows for cancelled jobs of a service that aren't stored; a partition takes those of some 45 daemons
)

// Cancel cancels a job without the leader of its queue's service. The result is as of Leader.Cancel: the verdict is Absent only once
// the store has a row that keeps out every try of the caller's that may still arrive.
func (h *Handoff) Cancel(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) Result {
	gate, err := h.homes.Open(ctx, q)
	if err != nil {
		return notOpened(err)
	}
	service, err := visibleElsewhere(ctx, h.store, gate, id, caller)
	switch {
	case err != nil:
		return notStored("cannot look for the job where its queue was sent before: " + err.Error())
	case service != "":
		return Result{Verdict: Absent, Service: service}
	case !h.mayKeepOut(q.Service):
		return tooManyCancelled()
	}
	var replaced refusedRow
	for range maxCancelAttempts {
		err := h.keepOut(ctx, gate, id, caller, replaced)
		var conflict *platform.Conflict
		switch {
		case err == nil:
			return Result{Verdict: Absent, Final: true}
		case fault.Is(err, fault.Overload):
			return notStored(err.Error())
		case !errors.As(err, &conflict):
			return Result{Verdict: Unknown, Why: err.Error()}
		}
		next, result, again := h.handleCancelConflict(ctx, gate, id, caller, conflict)
		if !again {
			return result
		}
		replaced = next
	}
	return notStored("the job's row changes all the time")
}

// mayKeepOut reports whether another row for a cancelled job may be written for a service now, and counts it.
func (h *Handoff) mayKeepOut(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	rate := h.keptOut[service]
	if now.Sub(rate.since) >= keptOutWindow {
		rate = keptOutRate{since: now}
	}
	rate.rows++
	h.keptOut[service] = rate
	return rate.rows <= maxKeptOut
}

// keptOutRate counts the rows for cancelled jobs since a time.
type keptOutRate struct {
	since time.Time
	rows  int
}

// keepOut writes the row that keeps out the tries of a cancelled job, and an inbox row by which the leader learns of it. It doesn't
// look at the job's row first, so that it takes the same time for a job that isn't stored and for another workspace's.
func (h *Handoff) keepOut(ctx context.Context, gate home.Gate, id work.ID, caller workspace.Caller, replaced refusedRow) error {
	value, err := encodeCancelled(replaced, caller, h.now())
	if err != nil {
		return err
	}
	inboxValue, err := encode(inboxRow{})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jobKey := rowKey(tableJobs, gate.Service, string(id))
	_, err = h.store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: jobKey, Version: replaced.version}, gate.Condition()},
		Puts:       []platform.Row{{RowKey: jobKey, Value: value}, {RowKey: rowKey(tableInbox, gate.Service, string(id)+cancelSuffix), Value: inboxValue}},
	})
	return err
}

// handleCancelConflict handles the rows of a conflict at keepOut. It returns the refused row to replace if that is to be repeated, and
// the result otherwise.
func (h *Handoff) handleCancelConflict(ctx context.Context, gate home.Gate, id work.ID, caller workspace.Caller, conflict *platform.Conflict) (refusedRow, Result, bool) {
	var job platform.Row
	for _, row := range conflict.Rows {
		switch {
		case row.RowKey == gate.Key() && row.Version != gate.Version:
			h.homes.Forget(gate)
			return refusedRow{}, notStored("the queue's gate has changed"), false
		case row.Table == tableJobs && row.Key == string(id):
			job = row
		}
	}
	if job.Version == 0 {
		return refusedRow{}, Result{}, true
	}
	if refused, ok := storedRefusal(job); ok {
		return refused, Result{Verdict: Absent, Final: true}, !refused.cancels(caller)
	}
	visible, err := isVisible(job, caller)
	switch {
	case err != nil:
		return refusedRow{}, unreadableOwner(err), false
	case !visible:
		return refusedRow{}, Result{Verdict: Absent, Final: true}, false
	}
	if err := cancelRow(ctx, h.store, gate.Service, id, job.Version); err != nil {
		h.log.Warn("cannot store a cancellation", zap.String("job", string(id)), zap.Error(err))
		return refusedRow{}, Result{Verdict: Unknown, Why: err.Error()}, false
	}
	return refusedRow{}, Result{Verdict: Accepted, State: work.Cancelled}, false
}

// CancelStored cancels a job of a service that its queue was sent to before, without the service's leader. The verdict is Absent if the
// store has no such job that exists for the caller. After an error nothing was written, or the cancellation of that job may have
// been.
func CancelStored(ctx context.Context, store *platform.Store, service string, id work.ID, caller workspace.Caller) (Result, error) {
	row, ok, err := visibleJob(ctx, store, service, id, caller)
	switch {
	case err != nil:
		return Result{}, err
	case !ok:
		return Result{Verdict: Absent}, nil
	}
	return Result{Verdict: Accepted, State: work.Cancelled}, cancelRow(ctx, store, service, id, row.Version)
}

// cancelRow writes the cancellation of a stored job to the inbox of its service. The job's row must have a version: the store may
// carry this out seconds later, when another job may have the ID.
func cancelRow(ctx context.Context, store *platform.Store, service string, id work.ID, version int64) error {
	value, err := encode(inboxRow{})
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: rowKey(tableJobs, service, string(id)), Version: version}},
		Puts:       []platform.Row{{RowKey: rowKey(tableInbox, service, string(id)+cancelSuffix), Value: value}},
	})
	if fault.Is(err, fault.Conflict) {
		return fault.Wrap(fault.Unavailable, err, "the job has changed")
	}
	return err
}
