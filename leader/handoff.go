package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/work"
)

// directMost is how many jobs one transaction stores: each takes a condition, its row and its mail.
const directMost = platform.MaxTxEntries / 3

// Handoff stores jobs whose holder can't be reached; the next holder takes them in from there. The jobs of a
// service go out together, one transaction at a time: transactions of one part wait for each other, and the
// next holder's taking of the seat is one of them.
type Handoff struct {
	store *platform.Store
	log   *zap.Logger
	now   func() time.Time

	mu    sync.Mutex
	lines map[string]*line // by service
}

// line is what waits for one service.
type line struct {
	waiting []*letter
	busy    bool // a transaction is under way
}

// letter is a job on its way to the store.
type letter struct {
	id    work.ID
	value []byte
	reply chan Result // takes one answer
}

// NewHandoff returns a Handoff that stores nothing yet.
func NewHandoff(store *platform.Store, log *zap.Logger, now func() time.Time) *Handoff {
	return &Handoff{store: store, log: log, now: now, lines: map[string]*line{}}
}

// Submit stores a job and returns how that went.
func (d *Handoff) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job) Result {
	value, err := encodeJob(jobRow{Queue: q, Job: job, At: d.now()})
	if err != nil {
		return Result{Verdict: Refused, Why: err.Error()}
	}
	l := &letter{id: id, value: value, reply: make(chan Result, 1)}
	d.push(q.Service, l)
	select {
	case a := <-l.reply:
		return a
	case <-ctx.Done():
	}
	if d.withdraw(q.Service, l) {
		return Result{Verdict: Refused, Retry: retryStore, Why: "the store is behind, the job was not sent to it"}
	}
	return Result{Verdict: Unknown, Why: "the store has not answered in time"}
}

// push queues a letter and has the queue worked off.
func (d *Handoff) push(service string, l *letter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ln, ok := d.lines[service]
	if !ok {
		ln = &line{}
		d.lines[service] = ln
	}
	ln.waiting = append(ln.waiting, l)
	if !ln.busy {
		ln.busy = true
		go d.drain(service, ln)
	}
}

// withdraw takes back a letter that hasn't been sent; it is false for one that has.
func (d *Handoff) withdraw(service string, l *letter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ln := d.lines[service]
	at := slices.Index(ln.waiting, l)
	if at < 0 {
		return false
	}
	ln.waiting = slices.Delete(ln.waiting, at, at+1)
	return true
}

// drain sends what waits until nothing does.
func (d *Handoff) drain(service string, ln *line) {
	for {
		batch := d.next(ln)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		_, err := d.store.Commit(ctx, mailTx(service, batch))
		cancel()
		d.sent(ln, batch, err)
	}
}

// next takes letters for one transaction; none ends the work.
func (d *Handoff) next(ln *line) []*letter {
	d.mu.Lock()
	defer d.mu.Unlock()
	var batch []*letter
	size := 0
	ids := map[work.ID]struct{}{}
	ln.waiting = slices.DeleteFunc(ln.waiting, func(l *letter) bool {
		_, twice := ids[l.id] // a row can't be put twice in one transaction
		if twice || len(batch) == directMost || (len(batch) > 0 && size+len(l.value) > batchBytes) {
			return false
		}
		ids[l.id] = struct{}{}
		size += len(l.value)
		batch = append(batch, l)
		return true
	})
	ln.busy = len(batch) > 0
	return batch
}

// mailTx stores jobs that the store doesn't have, with word for the holder.
func mailTx(service string, batch []*letter) platform.Tx {
	var tx platform.Tx
	for _, l := range batch {
		at := place(tableJobs, service, string(l.id))
		tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: at})
		tx.Puts = append(tx.Puts,
			platform.Row{RowKey: at, Value: l.value},
			platform.Row{RowKey: place(tableMail, service, string(l.id)), Value: mailValue})
	}
	return tx
}

// sent takes in how a transaction went: after a conflict those that the store has are done, the others go again.
func (d *Handoff) sent(ln *line, batch []*letter, err error) {
	var c *platform.Conflict
	switch {
	case err == nil:
		answerAll(batch, Result{Verdict: Accepted})
	case errors.As(err, &c):
		d.again(ln, batch, c)
	case fault.Is(err, fault.Overload):
		d.log.Warn("jobs without their holder refused by the store", zap.Int("jobs", len(batch)), zap.Error(err))
		answerAll(batch, Result{Verdict: Refused, Retry: retryStore, Why: err.Error()})
	default:
		d.log.Warn("jobs without their holder not answered by the store", zap.Int("jobs", len(batch)), zap.Error(err))
		answerAll(batch, Result{Verdict: Unknown, Why: err.Error()})
	}
}

// again answers the letters whose jobs the store has, and queues the others anew, before those that came later.
func (d *Handoff) again(ln *line, batch []*letter, c *platform.Conflict) {
	stored := map[string]struct{}{}
	for _, row := range c.Rows {
		if row.Table == tableJobs && row.Version != 0 {
			stored[row.Key] = struct{}{}
		}
	}
	if len(stored) == 0 {
		answerAll(batch, Result{Verdict: Unknown, Why: "the store's conflict names no job"})
		return
	}
	var rest []*letter
	for _, l := range batch {
		if _, ok := stored[string(l.id)]; ok {
			l.reply <- Result{Verdict: Accepted}
			continue
		}
		rest = append(rest, l)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ln.waiting = append(rest, ln.waiting...)
}

func answerAll(batch []*letter, a Result) {
	for _, l := range batch {
		l.reply <- a
	}
}
