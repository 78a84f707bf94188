package audit

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

const (
	refusalRate  = 5   // refused decisions recorded a second by one daemon
	refusalBurst = 50  // refused decisions recorded at once
	pageRows     = 500 // rows of one scan
	batchRows    = 200 // entries of one archive object
)

// Trail writes refused decisions, reads the trail of a subject, and moves old entries into the
// object store. An entry that was written is found by every later Read.
type Trail struct {
	table   backing.Table
	objects backing.Objects
	now     func() time.Time
	limit   *rate.Limiter
	batch   int
	name    func(s Subject, es []Entry) string

	mu      sync.Mutex
	dropped int // refusals since the last recorded one that were over the rate
}

// Option changes a Trail under construction.
type Option func(*Trail)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(t *Trail) { t.now = now }
}

// WithRate sets how many refused decisions are recorded a second, and how many at once.
func WithRate(perSecond float64, burst int) Option {
	return func(t *Trail) { t.limit = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithBatch sets how many entries go into one archive object at most.
func WithBatch(n int) Option {
	return func(t *Trail) { t.batch = n }
}

// NewTrail returns the trail in a platform's table and object store.
func NewTrail(table backing.Table, objects backing.Objects, opts ...Option) *Trail {
	t := &Trail{
		table:   table,
		objects: objects,
		now:     time.Now,
		limit:   rate.NewLimiter(refusalRate, refusalBurst),
		batch:   batchRows,
		name:    objectName,
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Refuse records a refused decision in a transaction of its own; the same ID and time are
// recorded once. Refusals over the rate are dropped, and counted in the next one's inputs. An
// error of kind fault.StoreDown leaves open whether it was recorded: ask again with the same entry.
func (t *Trail) Refuse(ctx context.Context, e Entry) error {
	if e.ID == "" || e.Refused == "" || len(e.Subjects) == 0 {
		return fault.New(fault.Invalid, "a refused decision needs an ID, a kind of fault and a subject")
	}
	now := t.now()
	if e.At.IsZero() {
		e.At = now
	}
	if !t.limit.AllowN(now, 1) {
		t.drop(1)
		return nil
	}
	lost := t.takeDropped()
	if lost > 0 {
		e.Inputs = append(slices.Clip(e.Inputs), Input{Name: "dropped", Value: strconv.Itoa(lost)})
	}
	ops, err := Ops(e)
	if err != nil {
		return err
	}
	err = t.table.Commit(ctx, backing.Tx{Ops: ops})
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	if err != nil {
		t.drop(lost)
	}
	return err
}

func (t *Trail) drop(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropped += n
}

func (t *Trail) takeDropped() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.dropped
	t.dropped = 0
	return n
}
