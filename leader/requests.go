package leader

import (
	"context"
	"time"

	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Verdict is what became of a caller's request.
type Verdict int

// The verdicts on a request.
const (
	Accepted Verdict = iota // and stored
	Refused                 // surely not stored; it never runs
	Unknown                 // it may have been stored
	Absent                  // there is no such job
)

// Result is the answer to a caller's request.
type Result struct {
	Verdict Verdict
	Retry   time.Duration // of a refusal: when to come back
	Full    bool          // of a refusal: the service has no room in time
	State   work.State
	Pending int
	Why     string
}

// kind is what an intent wants of the store.
type kind int

const (
	submit kind = iota
	forget
	unmail
)

// intent is a change that waits for its commit.
type intent struct {
	kind    kind
	id      work.ID
	key     string // of mail
	row     jobRow
	value   []byte
	replies []chan Result
}

// Submit stores a job and answers once it is known whether that was done, or ctx ends.
func (h *Leader) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job) Result {
	c, a := h.submit(id, q, job)
	if c == nil {
		return a
	}
	sleep.Wake(h.commit)
	return await(ctx, c)
}

// submit queues a job; without a channel the answer is known already.
func (h *Leader) submit(id work.ID, q work.Queue, job work.Job) (chan Result, Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pool.HasJob(id) {
		return nil, Result{Verdict: Accepted}
	}
	if h.lost != nil {
		return nil, Result{Verdict: Unknown, Why: "the service has another holder"}
	}
	c := make(chan Result, 1)
	for _, i := range h.queue {
		if i.kind == submit && i.id == id {
			i.replies = append(i.replies, c)
			return c, Result{}
		}
	}
	if wait, why := h.pool.Admit(h.Now(), q, job); why != "" {
		return nil, Result{Verdict: Refused, Full: true, Retry: wait, Why: why}
	}
	row := jobRow{Queue: q, Job: job, At: time.Now()}
	value, err := encodeJob(row)
	if err != nil {
		return nil, Result{Verdict: Refused, Why: err.Error()}
	}
	h.queue = append(h.queue, &intent{kind: submit, id: id, row: row, value: value, replies: []chan Result{c}})
	return c, Result{}
}

// Cancel cancels a job and answers once that is stored, or ctx ends.
func (h *Leader) Cancel(ctx context.Context, id work.ID) Result {
	h.mu.Lock()
	if !h.pool.Cancel(h.Now(), id) {
		h.mu.Unlock()
		return Result{Verdict: Absent}
	}
	if s, _ := h.pool.State(id); s.Final() {
		h.mu.Unlock()
		return Result{Verdict: Accepted, State: s}
	}
	c := make(chan Result, 1)
	h.cancels[id] = append(h.cancels[id], c)
	h.mu.Unlock()
	sleep.Wake(h.kick)
	sleep.Wake(h.commit)
	return await(ctx, c)
}

// State returns a job's state as the store has it.
func (h *Leader) State(id work.ID) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.pool.State(id)
	if !ok {
		return Result{Verdict: Absent}
	}
	return Result{State: s}
}

// Pending returns how many jobs of a queue haven't begun.
func (h *Leader) Pending(queue string) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Result{Pending: h.pool.Pending(queue)}
}

// await returns what comes from c, or Unknown when ctx ends first.
func await(ctx context.Context, c <-chan Result) Result {
	select {
	case a := <-c:
		return a
	case <-ctx.Done():
		return Result{Verdict: Unknown, Why: "the store has not answered in time"}
	}
}

// reply answers everybody who waits for an intent.
func (i *intent) reply(a Result) {
	for _, c := range i.replies {
		c <- a // each has room for its one answer
	}
	i.replies = nil
}

// refuseAll answers whoever still waits when the tenure ends.
func (h *Leader) refuseAll() {
	gone := Result{Verdict: Unknown, Why: "the service has another holder"}
	for _, i := range h.queue {
		i.reply(gone)
	}
	h.queue = nil
	for id, list := range h.cancels {
		for _, c := range list {
			c <- gone
		}
		delete(h.cancels, id)
	}
}
