package leader

import (
	"context"
	"strings"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/watch"
	"gypsumlead/work"
)

// mailValue is the value of all mail: its key says everything.
var mailValue = []byte("{}")

// cancelSuffix ends the key of mail that cancels a job: it must not replace mail that hands one in.
const cancelSuffix = "/cancel"

// mailLoop takes in what daemons wrote that couldn't reach this holder.
func (h *Leader) mailLoop(ctx context.Context) error {
	f := watch.Watcher{
		Store:       h.Store,
		Table:       tableMail,
		Partition:   h.claim.Service,
		FromVersion: watch.FromSnapshot,
		Log:         h.Log,
		Apply:       h.mail,
	}
	return f.Run(ctx)
}

// mail takes in rows of mail, those of other services left out.
func (h *Leader) mail(ctx context.Context, page platform.Page, _ bool) error {
	for _, row := range page.Rows {
		if row.Partition != h.claim.Service || row.Deleted {
			continue
		}
		if err := h.fetch(ctx, jobOf(row)); err != nil {
			return err // the row comes again
		}
		h.mu.Lock()
		h.read(row)
		h.mu.Unlock()
		sleep.Wake(h.kick)
		sleep.Wake(h.commit)
	}
	return nil
}

// jobOf returns the job that mail is about.
func jobOf(row platform.Row) work.ID {
	return work.ID(strings.TrimSuffix(row.Key, cancelSuffix))
}

// fetch takes in a job that another daemon wrote.
func (h *Leader) fetch(ctx context.Context, id work.ID) error {
	h.mu.Lock()
	known := h.pool.HasJob(id)
	h.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := h.Store.GetRow(ctx, place(tableJobs, h.claim.Service, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return err
	}
	var j jobRow
	if err := decode(page.Rows[0], &j); err != nil {
		h.Log.Error("stored job can't be read", zap.Error(err))
		return nil // asking again would bring the same
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	if !h.sure(now) {
		return fault.New(fault.Fenced, "%s may have another holder by now", h.claim.Service)
	}
	h.pool.Accept(now, id, j.Queue, j.Job)
	return nil
}

// read takes in one row of mail; the job itself is known by now.
func (h *Leader) read(row platform.Row) {
	if strings.HasSuffix(row.Key, cancelSuffix) {
		h.pool.Cancel(h.Now(), jobOf(row))
	}
	h.queue = append(h.queue, &intent{kind: unmail, id: jobOf(row), key: row.Key})
}

// StoredState reads a job's state without its holder.
func StoredState(ctx context.Context, store *platform.Store, service string, id work.ID) (Result, error) {
	page, err := store.GetRow(ctx, place(tableProgress, service, string(id)))
	if err != nil {
		return Result{}, err
	}
	if len(page.Rows) > 0 {
		pr, err := sched.DecodeProgress(page.Rows[0].Value)
		return Result{State: pr.State}, err
	}
	page, err = store.GetRow(ctx, place(tableJobs, service, string(id)))
	if err != nil {
		return Result{}, err
	}
	if len(page.Rows) == 0 {
		return Result{Verdict: Absent}, nil
	}
	return Result{State: work.Queued}, nil
}

// HandOffCancel stores that a job is to be cancelled, for its holder to take in.
func HandOffCancel(ctx context.Context, store *platform.Store, service string, id work.ID) (Result, error) {
	a, err := StoredState(ctx, store, service, id)
	if err != nil || a.Verdict == Absent {
		return a, err
	}
	at := place(tableMail, service, string(id)+cancelSuffix)
	_, err = store.Commit(ctx, platform.Tx{Puts: []platform.Row{{RowKey: at, Value: mailValue}}})
	return Result{Verdict: Accepted, State: work.Cancelled}, err
}
