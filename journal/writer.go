package journal

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/pause"
	"gypsumlead/record"
)

const (
	acceptTries = 12                    // a change that loses the head row more often gives up
	acceptPause = 20 * time.Millisecond // first pause after a lost race; doubles up to acceptLimit
	acceptLimit = 500 * time.Millisecond
	retryLost   = 5 * time.Second // told to whoever must ask again
)

// Writer accepts changes into the log; several writers of several daemons may race.
type Writer struct {
	table backing.Table
	now   func() time.Time
	sleep func(ctx context.Context, d time.Duration) error
}

// Option changes a Writer under construction.
type Option func(*Writer)

// WithClock sets the clock and the pause between tries.
func WithClock(now func() time.Time, sleep func(context.Context, time.Duration) error) Option {
	return func(w *Writer) {
		w.now = now
		w.sleep = sleep
	}
}

// NewWriter returns a writer to table.
func NewWriter(table backing.Table, opts ...Option) *Writer {
	w := &Writer{table: table, now: time.Now, sleep: pause.For}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Accept decides p and commits it with its log entry and audit entry in one transaction. A
// proposal whose ID was accepted before returns that change and writes nothing. An error of
// kind fault.Broken leaves open whether the change was accepted: ask again under the same ID.
func (w *Writer) Accept(ctx context.Context, p Proposal) (Change, error) {
	if p.ID == "" {
		return Change{}, fault.New(fault.Invalid, "a change needs an ID")
	}
	t := tries{id: p.ID}
	gap := acceptPause
	for range acceptTries {
		c, err := w.try(ctx, p)
		if err == nil {
			return c, nil
		}
		if !t.again(err) {
			return Change{}, err
		}
		if w.sleep(ctx, gap) != nil {
			break
		}
		gap = min(2*gap, acceptLimit)
	}
	return Change{}, t.err()
}

// tries remembers what came of the tries of one change.
type tries struct {
	id   string
	last error
	lost error // the answer to a commit that may have taken effect
}

// again takes in the outcome of a try and tells whether another one may end otherwise.
func (t *tries) again(err error) bool {
	t.last = err
	var lost *lostError
	if errors.As(err, &lost) {
		t.lost = err
		return true
	}
	if isRace(err) {
		return true
	}
	return fault.Is(err, fault.StoreDown)
}

// err is the answer after the last try.
func (t *tries) err() error {
	switch {
	case t.lost != nil:
		return fault.After(fault.Broken, retryLost, "it is unknown whether change %s was accepted, ask again under the same ID: %v", t.id, t.lost)
	case isRace(t.last):
		return fault.Wrap(fault.Overload, t.last, "accept change %s: other changes kept coming first", t.id)
	}
	return t.last
}

// try reads, decides and commits once.
func (w *Writer) try(ctx context.Context, p Proposal) (Change, error) {
	keys := append([]string{keyHead, keyID(p.ID)}, p.Rows...)
	for _, k := range p.Records {
		keys = append(keys, RecordKey(k))
	}
	read, err := w.table.Read(ctx, keys...)
	if err != nil {
		return Change{}, err
	}
	rows := NewRows(w.now(), read...)
	if old, done, err := w.accepted(ctx, rows, p); done || err != nil {
		return old, err
	}
	d, err := p.Decide(rows)
	if err != nil {
		return Change{}, err
	}
	c, tx, err := w.build(rows, p, d)
	if err != nil {
		return Change{}, err
	}
	if err := w.table.Commit(ctx, tx); err != nil {
		if fault.Is(err, fault.Conflict) {
			return Change{}, &raceError{err}
		}
		return Change{}, &lostError{err}
	}
	return c, nil
}

// accepted looks for an earlier acceptance of the same ID.
func (w *Writer) accepted(ctx context.Context, rows Rows, p Proposal) (Change, bool, error) {
	var seq int64
	ok, err := rows.Load(keyID(p.ID), &seq)
	if err != nil || !ok {
		return Change{}, false, err
	}
	found, err := w.table.Read(ctx, keyLog(seq))
	if err != nil {
		return Change{}, false, err
	}
	if found[0].Version == 0 {
		return Change{Seq: seq, ID: p.ID}, true, nil // trimmed since; its effect is in the snapshot
	}
	var c Change
	if err := json.Unmarshal(found[0].Value, &c); err != nil {
		return Change{}, false, fault.Wrap(fault.Internal, err, "decode change %d", seq)
	}
	if c.Digest != p.Digest {
		return Change{}, false, fault.New(fault.Reused, "change ID %s was used for another change (number %d)", p.ID, seq)
	}
	return c, true, nil
}

// build makes the change and its transaction.
func (w *Writer) build(rows Rows, p Proposal, d Decision) (Change, backing.Tx, error) {
	var head Head
	if _, err := rows.Load(keyHead, &head); err != nil {
		return Change{}, backing.Tx{}, err
	}
	head.Seq++
	head.Low = max(head.Low, 1)
	c := Change{Seq: head.Seq, ID: p.ID, Digest: p.Digest, Actor: p.Actor, Why: p.Why, At: rows.Now}
	ops := d.Ops
	for _, e := range d.Edits {
		e.Version = c.Seq
		c.Records = append(c.Records, e)
		op, err := rows.PutRow(RecordKey(e.Key()), e)
		if err != nil {
			return Change{}, backing.Tx{}, err
		}
		ops = append(ops, op)
	}
	for _, row := range []struct {
		key string
		v   any
	}{{keyHead, head}, {keyLog(c.Seq), c}, {keyID(c.ID), c.Seq}} {
		op, err := rows.PutRow(row.key, row.v)
		if err != nil {
			return Change{}, backing.Tx{}, err
		}
		ops = append(ops, op)
	}
	auditOps, err := audit.Ops(fillAudit(d.Audit, c))
	if err != nil {
		return Change{}, backing.Tx{}, err
	}
	return c, backing.Tx{Ops: append(ops, auditOps...)}, nil
}

// fillAudit completes the entry from its change; records without a subject of their own get one.
func fillAudit(e audit.Entry, c Change) audit.Entry {
	if e.ID == "" {
		e.ID = c.ID
	}
	if e.Actor == "" {
		e.Actor = c.Actor
	}
	if e.Why == "" {
		e.Why = c.Why
	}
	if e.Act == "" {
		e.Act = "accept"
	}
	e.At = c.At
	e.Version = c.Seq
	if len(e.Subjects) == 0 {
		for _, r := range c.Records {
			e.Subjects = append(e.Subjects, audit.Subject{Kind: string(r.Kind), Name: r.Name})
		}
	}
	return e
}

// EditOn returns the decision to write r under key if the newest version is ifVersion; 0 demands that there is none.
func EditOn(rows Rows, key record.Key, ifVersion int64, r record.Record) (record.Envelope, error) {
	old, live, err := rows.Envelope(key)
	if err != nil {
		return record.Envelope{}, err
	}
	if err := CheckVersion(key, old, live, ifVersion); err != nil {
		return record.Envelope{}, err
	}
	return record.Rewrite(old, key.Name, r)
}

// DeleteOn returns the decision to delete key's record if its newest version is ifVersion.
func DeleteOn(rows Rows, key record.Key, ifVersion int64) (record.Envelope, error) {
	old, live, err := rows.Envelope(key)
	if err != nil {
		return record.Envelope{}, err
	}
	if !live {
		return record.Envelope{}, fault.New(fault.Missing, "there is no %s", key)
	}
	if err := CheckVersion(key, old, live, ifVersion); err != nil {
		return record.Envelope{}, err
	}
	return record.Envelope{Kind: key.Kind, Name: key.Name, Schema: old.Schema, Gone: true}, nil
}

// CheckVersion returns an error of kind fault.Conflict unless the newest version of key is want; 0 means that there is none.
func CheckVersion(key record.Key, old record.Envelope, live bool, want int64) error {
	have := int64(0)
	if live {
		have = old.Version
	}
	if have != want {
		return fault.New(fault.Conflict, "%s has version %d, not %d: read it again and repeat the change on it", key, have, want)
	}
	return nil
}

// raceError is a commit that lost to another one; deciding again on fresh rows may succeed.
type raceError struct{ err error }

func (e *raceError) Error() string { return e.err.Error() }
func (e *raceError) Unwrap() error { return e.err }

// lostError is a commit without an answer: it may have taken effect.
type lostError struct{ err error }

func (e *lostError) Error() string { return e.err.Error() }
func (e *lostError) Unwrap() error { return e.err }

func isRace(err error) bool {
	_, ok := err.(*raceError)
	return ok
}
