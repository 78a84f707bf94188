package leader

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/watch"
	"gypsumlead/work"
)

// cancelSuffix ends the key of an inbox row that cancels a job, so that it doesn't replace the row that submits the
// job.
const cancelSuffix = "/cancel"

// inboxLoop watches the inbox, in which daemons leave requests when they can't reach the leader.
func (l *Leader) inboxLoop(ctx context.Context) error {
	watcher := watch.Watcher{
		Store:       l.Store,
		Table:       tableInbox,
		Partition:   l.lease.Service,
		FromVersion: watch.FromSnapshot,
		Within:      l.CancelWithin,
		Log:         l.Log,
		Apply:       l.applyInbox,
	}
	return watcher.Run(ctx)
}

// applyInbox applies a page of inbox rows, except those of other services. A row whose job can't be loaded now doesn't
// hold up the others: the watcher delivers the page again.
func (l *Leader) applyInbox(ctx context.Context, page platform.Page, _ bool) error {
	answeredAt := l.Now()
	rows := slices.DeleteFunc(slices.Clone(page.Rows), func(row platform.Row) bool { return row.Partition != l.lease.Service || row.Deleted })
	l.noteUnloaded(rows)
	// One after the other, the loads would hold up the rows behind them for seconds on a slow store.
	var g errgroup.Group
	g.SetLimit(maxInboxLoads)
	for _, row := range rows {
		g.Go(func() error { return l.loadInboxRow(ctx, row) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if !page.More {
		l.mu.Lock()
		l.inboxReadAt = answeredAt
		l.mu.Unlock()
	}
	sleep.Wake(l.wakePlan)
	return nil
}

// loadInboxRow loads the job of an inbox row and applies the row.
func (l *Leader) loadInboxRow(ctx context.Context, row platform.Row) error {
	if err := l.loadJob(ctx, inboxJobID(row)); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unloadedJobs, inboxJobID(row))
	l.applyInboxRow(row)
	sleep.Wake(l.wakeCommit)
	return nil
}

// noteUnloaded records the jobs that inbox rows submit and that the pool doesn't have. To load them takes a read of the
// store each; until then they count as pending.
func (l *Leader) noteUnloaded(rows []platform.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		id := inboxJobID(row)
		if strings.HasSuffix(row.Key, cancelSuffix) || l.pool.HasJob(id) {
			continue
		}
		var value inboxRow
		if err := decode(row, &value); err != nil {
			l.Log.Error("cannot decode an inbox row", zap.Error(err)) // its key is enough to load the job
		}
		l.unloadedJobs[id] = work.Queue{Name: value.Queue, Path: value.Path}
	}
}

// countUnloaded returns the number of a queue's jobs that are in the inbox and not loaded yet. Those whose queue is
// unknown count for every queue.
func (l *Leader) countUnloaded(queue work.Queue) int {
	n := 0
	for id, q := range l.unloadedJobs {
		if (q.Same(queue) || q.Name == "") && !l.pool.HasJob(id) {
			n++
		}
	}
	return n
}

// mayStart reports whether tasks may be started: the runners' entries are known, and so are the cancellations that must take
// effect by the time they start.
// While the store is silent, or until the inbox has been read after a gap, others may have stored and acknowledged some.
func (l *Leader) mayStart(now time.Time) bool {
	return now.Sub(l.inboxReadAt) <= l.CancelWithin-startTime && l.runnersKnown(now)
}

// runnersKnown reports whether the runners' entries are known: a daemon that wasn't to lead has not followed them. If the
// runners don't guard their room, this leader has to know it at each start, as of less than the three heartbeats for which an
// earlier room counts; others need to have been told once.
func (l *Leader) runnersKnown(now time.Time) bool {
	if l.guarded && l.runnersRead {
		return true
	}
	if now.Sub(l.RunnersReadAt()) > l.RunnerHeartbeat*5/3 {
		return false
	}
	l.runnersRead = true
	return true
}

// inboxJobID returns the ID of the job that an inbox row refers to.
func inboxJobID(row platform.Row) work.ID {
	return work.ID(strings.TrimSuffix(row.Key, cancelSuffix))
}

// loadJob loads a job that another daemon stored, unless the pool already has it.
func (l *Leader) loadJob(ctx context.Context, id work.ID) error {
	l.mu.Lock()
	known := l.pool.HasJob(id)
	l.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := l.Store.GetRow(ctx, rowKey(tableJobs, l.lease.Service, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return err
	}
	job, err := decodeJob(page.Rows[0])
	if err != nil {
		l.Log.Error("cannot decode a stored job", zap.Error(err))
		return nil // a retry would read the same value
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if job.Refused { // the inbox row cancels a job that was never accepted
		l.admission.refused.note(id, newRefusedRow(page.Rows[0].Version, job))
		return nil
	}
	now := l.Now()
	if !l.leaseConfirmed(now) {
		return fault.New(fault.Fenced, "%s may have another leader by now", l.lease.Service)
	}
	l.pool.Accept(now, id, job.Queue, job.Job)
	return nil
}

// applyInboxRow applies one inbox row, whose job has been loaded, and queues its deletion.
func (l *Leader) applyInboxRow(row platform.Row) {
	if strings.HasSuffix(row.Key, cancelSuffix) {
		l.pool.Cancel(l.Now(), inboxJobID(row))
	}
	if slices.ContainsFunc(l.intents, func(in *intent) bool { return in.kind == deleteInbox && in.key == row.Key }) {
		return // the page was delivered before
	}
	l.intents = append(l.intents, &intent{kind: deleteInbox, id: inboxJobID(row), key: row.Key})
}
