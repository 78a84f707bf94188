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
	page, err := store.GetRow(ctx, rowKey(tableJobs, service, string(id)))
	if err != nil {
		return Result{}, err
	}
	if len(page.Rows) == 0 {
		return Result{Verdict: Absent}, nil
	}
	if _, refused := storedRefusal(page.Rows[0]); refused {
		return Result{Verdict: Absent}, nil
	}
	return Result{State: work.Queued}, nil
}

// ownedState reads a job's state from the store for a caller that may not see all jobs. The owner is read first: without it nothing may
// be told of the job.
func ownedState(ctx context.Context, store *platform.Store, service string, id work.ID, caller workspace.Caller) (Result, error) {
	page, err := store.GetRow(ctx, rowKey(tableJobs, service, string(id)))
	if err != nil {
		return Result{}, err
	}
	if len(page.Rows) == 0 {
		return Result{Verdict: Absent}, nil
	}
	job, err := decodeJob(page.Rows[0])
	if err != nil {
		return Result{}, err
	}
	if job.Refused || !caller.MaySee(job.Job.Workspace) {
		return Result{Verdict: Absent}, nil
	}
	state, started, err := progressState(ctx, store, service, id)
	if err == nil && !started {
		state = work.Queued
	}
	return Result{State: state}, err
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
