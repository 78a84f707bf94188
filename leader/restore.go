package leader

import (
	"context"
	"maps"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// Restore loads the runners, jobs, progress and inbox that earlier leaders stored. It returns an error if any of them
// cannot be read.
func (h *Leader) Restore(ctx context.Context) error {
	var runners runnersRow
	var stamp platform.Stamp
	var jobs platform.Page
	var progress map[string]*sched.Progress
	var inbox platform.Page
	// The reads run in parallel: one after the other they would take seconds on a slow store.
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		runners, stamp, err = h.loadRunners(ctx)
		return err
	})
	g.Go(func() (err error) {
		jobs, err = h.Store.ScanPartition(ctx, tableJobs, h.lease.Service)
		return err
	})
	g.Go(func() (err error) {
		progress, err = h.loadProgress(ctx)
		return err
	})
	g.Go(func() (err error) {
		inbox, err = h.Store.ScanPartition(ctx, tableInbox, h.lease.Service)
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	h.storedSilent = map[string]time.Time{}
	for _, runner := range runners.Runners {
		endsAt := time.Time{}
		if storeEnd, ok := runners.Silent[runner.ID]; ok {
			endsAt = now.Add(storeEnd - stamp.Now + clockSlack)
			h.storedSilent[runner.ID] = endsAt
		}
		h.pool.InheritRunner(runner, endsAt)
		h.storedRunners[runner.ID] = runner
		h.startSession(runner)
	}
	for _, row := range jobs.Rows {
		h.restoreJob(row, progress[row.Key])
	}
	// Cancellations that no leader has applied take effect before any task is started. inboxLoop handles the inbox
	// rows themselves.
	for _, row := range inbox.Rows {
		if strings.HasSuffix(row.Key, cancelSuffix) {
			h.pool.Cancel(now, inboxJobID(row))
		}
	}
	h.Log.Info("leadership acquired", zap.Int("jobs", len(jobs.Rows)), zap.Int("runners", len(runners.Runners)), zap.Int("silent", len(runners.Silent)), zap.Duration("foreign", h.lease.InheritedTTL))
	return nil
}

// loadRunners reads the runners' rows and merges them into one.
func (h *Leader) loadRunners(ctx context.Context) (runnersRow, platform.Stamp, error) {
	var merged runnersRow
	page, err := h.Store.Get(ctx, tableLease, h.lease.Service, keyRunners, keyRunnersEnd, 0)
	if err != nil {
		return merged, page.Stamp, err
	}
	merged.Silent = map[string]time.Duration{}
	for _, row := range page.Rows {
		var shard runnersRow
		if err := decode(row, &shard); err != nil {
			return merged, page.Stamp, err // without this shard a task could run twice
		}
		merged.Runners = append(merged.Runners, shard.Runners...)
		maps.Copy(merged.Silent, shard.Silent)
	}
	return merged, page.Stamp, nil
}

// loadProgress returns the stored progress by job ID.
func (h *Leader) loadProgress(ctx context.Context) (map[string]*sched.Progress, error) {
	page, err := h.Store.ScanPartition(ctx, tableProgress, h.lease.Service)
	if err != nil {
		return nil, err
	}
	byJob := map[string]*sched.Progress{}
	for _, row := range page.Rows {
		progress, err := sched.DecodeProgress(row.Value)
		if err != nil {
			return nil, err // without this progress a task could run twice
		}
		byJob[row.Key] = &progress
	}
	return byJob, nil
}

// restoreJob adds a stored job to the pool.
func (h *Leader) restoreJob(row platform.Row, progress *sched.Progress) {
	var job jobRow
	if err := decode(row, &job); err != nil {
		h.Log.Error("cannot decode a stored job", zap.Error(err))
		return
	}
	now := h.Now()
	acceptedAt := job.At
	if acceptedAt.After(now) {
		acceptedAt = now // the accepting daemon's clock is ahead of this one
	}
	h.pool.RestoreJob(now, work.ID(row.Key), job.Queue, job.Job, acceptedAt, progress)
}
