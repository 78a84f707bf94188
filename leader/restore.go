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

// Restore reads what earlier holders left.
func (h *Leader) Restore(ctx context.Context) error {
	var runners runnersRow
	var stamp platform.Stamp
	var jobs platform.Page
	var progress map[string]*sched.Progress
	var mail platform.Page
	// All at once: where the store is slow, one after the other would take seconds.
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		runners, stamp, err = h.loadRunners(ctx)
		return err
	})
	g.Go(func() (err error) {
		jobs, err = h.Store.ScanPartition(ctx, tableJobs, h.claim.Service)
		return err
	})
	g.Go(func() (err error) {
		progress, err = h.loadProgress(ctx)
		return err
	})
	g.Go(func() (err error) {
		mail, err = h.Store.ScanPartition(ctx, tableMail, h.claim.Service)
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	h.silent = map[string]time.Time{}
	for _, w := range runners.Runners {
		over := time.Time{}
		if at, ok := runners.Silent[w.ID]; ok {
			over = now.Add(at - stamp.Now + clockSlack)
			h.silent[w.ID] = over
		}
		h.pool.InheritRunner(w, over)
		h.useful[w.ID] = w
		h.start(w)
	}
	for _, row := range jobs.Rows {
		h.restore(row, progress[row.Key])
	}
	// Cancellations that no holder has taken in come before anything is started; the mail itself is taken in
	// by the loop that follows it.
	for _, row := range mail.Rows {
		if strings.HasSuffix(row.Key, cancelSuffix) {
			h.pool.Cancel(now, jobOf(row))
		}
	}
	h.Log.Info("seat taken", zap.Int("jobs", len(jobs.Rows)), zap.Int("runners", len(runners.Runners)), zap.Int("silent", len(runners.Silent)), zap.Duration("foreign", h.claim.InheritedTTL))
	return nil
}

func (h *Leader) loadRunners(ctx context.Context) (runnersRow, platform.Stamp, error) {
	var row runnersRow
	page, err := h.Store.Get(ctx, tableHold, h.claim.Service, keyRunners, keyRunnersEnd, 0)
	if err != nil {
		return row, page.Stamp, err
	}
	row.Silent = map[string]time.Duration{}
	for _, r := range page.Rows {
		var shard runnersRow
		if err := decode(r, &shard); err != nil {
			return row, page.Stamp, err // to go on without it could run a task twice
		}
		row.Runners = append(row.Runners, shard.Runners...)
		maps.Copy(row.Silent, shard.Silent)
	}
	return row, page.Stamp, nil
}

func (h *Leader) loadProgress(ctx context.Context) (map[string]*sched.Progress, error) {
	page, err := h.Store.ScanPartition(ctx, tableProgress, h.claim.Service)
	if err != nil {
		return nil, err
	}
	all := map[string]*sched.Progress{}
	for _, row := range page.Rows {
		pr, err := sched.DecodeProgress(row.Value)
		if err != nil {
			return nil, err // to go on without it could run a task twice
		}
		all[row.Key] = &pr
	}
	return all, nil
}

// restore takes in a job's row.
func (h *Leader) restore(row platform.Row, pr *sched.Progress) {
	var j jobRow
	if err := decode(row, &j); err != nil {
		h.Log.Error("stored job can't be read", zap.Error(err))
		return
	}
	now := h.Now()
	at := j.At
	if at.After(now) {
		at = now // the clock of the daemon that accepted it is ahead
	}
	h.pool.RestoreJob(now, work.ID(row.Key), j.Queue, j.Job, at, pr)
}
