package journal

import (
	"encoding/json"
	"time"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/record"
)

// Proposal is a change that somebody asks for; Decide is called again on fresh rows whenever
// another change came between the reading and the writing.
type Proposal struct {
	ID      string       // non-empty; the same ID is accepted once
	Digest  uint64       // of what was asked; another digest under the same ID is refused
	Actor   string       //
	Why     string       //
	Records []record.Key // records that Decide looks at or edits
	Rows    []string     // further table rows that Decide looks at or writes
	Decide  func(Rows) (Decision, error)
}

// Decision is what is to be written, all in one transaction.
type Decision struct {
	Edits []record.Envelope // new envelopes; Version is filled in
	Ops   []backing.Op      // further steps, conditioned on the rows read
	Audit audit.Entry       // ID, time and actor are filled in where they are empty
}

// Rows are the rows that a decision is made from.
type Rows struct {
	Now  time.Time
	rows map[string]backing.Row
}

// NewRows returns rows for a decision that is tried without a table.
func NewRows(now time.Time, rows ...backing.Row) Rows {
	r := Rows{Now: now, rows: make(map[string]backing.Row, len(rows))}
	for _, row := range rows {
		r.rows[row.Key] = row
	}
	return r
}

// Row returns the row under key; a missing one has Version 0.
func (r Rows) Row(key string) backing.Row {
	row := r.rows[key]
	row.Key = key
	return row
}

// Load decodes the row under key into v, and tells whether the row exists.
func (r Rows) Load(key string, v any) (bool, error) {
	row := r.Row(key)
	if row.Version == 0 {
		return false, nil
	}
	err := json.Unmarshal(row.Value, v)
	return true, fault.Wrap(fault.Internal, err, "decode table row %s", key)
}

// Envelope returns the newest envelope of k, and whether there is one that isn't gone.
func (r Rows) Envelope(k record.Key) (record.Envelope, bool, error) {
	var e record.Envelope
	ok, err := r.Load(RecordKey(k), &e)
	return e, ok && !e.Gone, err
}

// PutRow returns the step that writes v under key on the version read.
func (r Rows) PutRow(key string, v any) (backing.Op, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode table row %s", key)
	}
	return backing.Put{Key: key, IfVersion: r.Row(key).Version, Value: value}, nil
}

// Seq returns the number of the newest accepted change, on which the whole transaction is conditioned.
func (r Rows) Seq() int64 {
	var h Head
	// A row that can't be read counts as an empty log; the writer has reported it before Decide is called.
	_, _ = r.Load(keyHead, &h)
	return h.Seq
}

// Current makes sure that s has the newest accepted change, so that Decide may rely on any
// record in s: every change conditions on the head of the log.
func (r Rows) Current(s *State) error {
	if s.Seq() == r.Seq() {
		return nil
	}
	return &raceError{fault.New(fault.Overload, "configuration in force is change %d, the newest is %d", s.Seq(), r.Seq())}
}
