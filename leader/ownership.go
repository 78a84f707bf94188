package leader

import (
	"context"

	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// known returns the result of the submission of a job whose ID is that of an accepted job with the given owner. A job
// without an owner was submitted while its route needed no key; the submission is a repeat of it.
func known(owner string, job work.Job) Result {
	if !workspace.Of(job.Workspace).MaySee(owner) {
		return Result{Verdict: Taken, Why: "the ID cannot be used"}
	}
	return Result{Verdict: Accepted}
}

// unreadableOwner returns the result for a stored job that can't be decoded, so that its owner is unknown.
func unreadableOwner(err error) Result {
	return Result{Verdict: Unknown, Retry: callerRetryDelay, Why: err.Error()}
}

// StoredState reads a job's state from the store, without the leader. The verdict is Absent if the store has no such job
// that exists for the caller.
func StoredState(ctx context.Context, store *platform.Store, service string, id work.ID, caller workspace.Caller) (Result, error) {
	if caller.Any {
		return storedState(ctx, store, service, id)
	}
	return ownedState(ctx, store, service, id, caller)
}

// storedState reads a job's state from the store, for a caller that may see all jobs.
func storedState(ctx context.Context, store *platform.Store, service string, id work.ID) (Result, error) {
	state, started, err := progressState(ctx, store, service, id)
	if err != nil || started {
		return Result{State: state}, err
	}
	_, ok, err := visibleJob(ctx, store, service, id, workspace.Caller{Any: true})
	switch {
	case err != nil:
		return Result{}, err
	case !ok:
		return Result{Verdict: Absent}, nil
	}
	return Result{State: work.Queued}, nil
}

// ownedState reads a job's state from the store for a caller that may not see all jobs. The owner is read first: without it nothing may
// be told of the job.
func ownedState(ctx context.Context, store *platform.Store, service string, id work.ID, caller workspace.Caller) (Result, error) {
	_, ok, err := visibleJob(ctx, store, service, id, caller)
	switch {
	case err != nil:
		return Result{}, err
	case !ok:
		return Result{Verdict: Absent}, nil
	}
	state, started, err := progressState(ctx, store, service, id)
	if err == nil && !started {
		state = work.Queued
	}
	return Result{State: state}, err
}

// visibleJob reads the row of a job, and reports whether the store has it and it exists for the caller.
func visibleJob(ctx context.Context, store *platform.Store, service string, id work.ID, caller workspace.Caller) (platform.Row, bool, error) {
	page, err := store.GetRow(ctx, rowKey(tableJobs, service, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return platform.Row{}, false, err
	}
	visible, err := isVisible(page.Rows[0], caller)
	return page.Rows[0], visible, err
}

// isVisible reports whether the row at a job's key has a job that exists for the caller. After an error its owner is unknown, so that
// nothing may be told of it.
func isVisible(row platform.Row, caller workspace.Caller) (bool, error) {
	job, err := decodeJob(row)
	switch {
	case err != nil && caller.Any:
		return true, nil
	case err != nil:
		return false, err
	}
	return !job.Refused && caller.MaySee(job.Job.Workspace), nil
}

// progressState reads the state in a job's progress from the store, and whether the store has progress of it.
func progressState(ctx context.Context, store *platform.Store, service string, id work.ID) (work.State, bool, error) {
	first, last := progressKey(service, id, 0).Key, progressKey(service, id, maxProgressBytes/MaxRowBytes).Key
	page, err := store.Get(ctx, tableProgress, service, first, last, 0)
	if err != nil || len(page.Rows) == 0 {
		return "", false, err
	}
	progress, err := sched.DecodeProgress(joinProgress(page.Rows)[id].value)
	return progress.State, true, err
}

// WorkspaceField returns the field of a log line that names the workspace of a job, none if the job has none.
func WorkspaceField(name string) zap.Field {
	if name == "" {
		return zap.Skip()
	}
	return zap.String("workspace", name)
}
