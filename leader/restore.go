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

// restoreScan is how the rows of a service are read.
var restoreScan = platform.Scan{Rows: restorePageRows, PageTimeout: restoreCallTimeout}

// Restore loads the runners, jobs, progress and inbox that earlier leaders stored. It returns an error if any of
// them cannot be read, except that a job that cannot be decoded is skipped.
func (l *Leader) Restore(ctx context.Context) error {
	var runners runnersRow
	var stamp platform.Stamp
	var jobs platform.Page
	var progress map[work.ID]*sched.Progress
	var inbox platform.Page
	readAt := l.Now()
	// The reads run in parallel: one after the other they would take seconds on a slow store.
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		runners, stamp, err = l.loadRunners(ctx)
		return err
	})
	g.Go(func() (err error) {
		jobs, err = l.Store.Scan(ctx, tableJobs, l.lease.Service, restoreScan)
		return err
	})
	g.Go(func() (err error) {
		progress, err = l.loadProgress(ctx)
		return err
	})
	g.Go(func() (err error) {
		inbox, err = l.Store.Scan(ctx, tableInbox, l.lease.Service, restoreScan)
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.inboxReadAt = readAt
	l.storeTime, l.storeTimeReadAt = stamp.Now, readAt
	l.storedSilent = map[string]time.Time{}
	for _, runner := range runners.Runners {
		endsAt := time.Time{}
		if storeEnd, ok := runners.Silent[runner.ID]; ok {
			endsAt = now.Add(storeEnd - stamp.Now + clockSlack)
			l.storedSilent[runner.ID] = endsAt
		}
		keep := time.Time{}
		if storeKeep, ok := runners.Restarted[runner.ID]; ok {
			keep = now.Add(storeKeep - stamp.Now + clockSlack)
			l.storedKeepUntil[runner.ID] = keep
		}
		l.pool.InheritRunner(runner, endsAt, keep)
		l.storedRunners[runner.ID] = runner
		l.startSession(runner)
	}
	for _, row := range jobs.Rows {
		l.restoreJob(row, progress[work.ID(row.Key)])
	}
	// Cancellations that no leader has applied take effect before any task is started. inboxLoop handles the inbox
	// rows themselves.
	for _, row := range inbox.Rows {
		if strings.HasSuffix(row.Key, cancelSuffix) {
			l.pool.Cancel(now, inboxJobID(row))
		}
	}
	l.Log.Info("leadership acquired", zap.Int("jobs", len(jobs.Rows)), zap.Int("runners", len(runners.Runners)), zap.Int("silent", len(runners.Silent)), zap.Duration("foreign", l.lease.InheritedTTL))
	return nil
}

// loadRunners reads the runners' rows and merges them into one.
func (l *Leader) loadRunners(ctx context.Context) (runnersRow, platform.Stamp, error) {
	var merged runnersRow
	page, err := l.Store.Get(ctx, tableLease, l.lease.Service, keyRunners, keyRunnersEnd, 0)
	if err != nil {
		return merged, page.Stamp, err
	}
	merged.Silent, merged.Restarted = map[string]time.Duration{}, map[string]time.Duration{}
	for _, row := range page.Rows {
		var shard runnersRow
		if err := decode(row, &shard); err != nil {
			return merged, page.Stamp, err // without this shard a task could run twice
		}
		merged.Runners = append(merged.Runners, shard.Runners...)
		maps.Copy(merged.Silent, shard.Silent)
		maps.Copy(merged.Restarted, shard.Restarted)
	}
	return merged, page.Stamp, nil
}

// loadProgress returns the stored progress by job ID.
func (l *Leader) loadProgress(ctx context.Context) (map[work.ID]*sched.Progress, error) {
	page, err := l.Store.Scan(ctx, tableProgress, l.lease.Service, restoreScan)
	if err != nil {
		return nil, err
	}
	byJob := map[work.ID]*sched.Progress{}
	for id, stored := range joinProgress(page.Rows) {
		progress, err := sched.DecodeProgress(stored.value)
		if err != nil {
			return nil, err // without this progress a task could run twice
		}
		byJob[id] = &progress
		l.progressRows[id] = stored.rows
	}
	return byJob, nil
}

// restoreJob adds a stored job to the pool. A job that cannot be decoded is logged and skipped.
func (l *Leader) restoreJob(row platform.Row, progress *sched.Progress) {
	job, err := decodeJob(row)
	if err != nil {
		l.Log.Error("cannot decode a stored job", zap.Error(err))
		return
	}
	if job.Refused {
		l.admission.refused.note(work.ID(row.Key), newRefusedRow(row.Version, job))
		return
	}
	now := l.Now()
	acceptedAt := job.At
	if acceptedAt.After(now) {
		acceptedAt = now // the accepting daemon's clock is ahead of this one
	}
	l.pool.RestoreJob(now, work.ID(row.Key), job.Queue, job.Job, acceptedAt, progress)
}
