package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Read returns all entries about s from the instant from until before the instant to, in the
// order of time, each once; a zero instant is an open end.
func (t *Trail) Read(ctx context.Context, s Subject, from, to time.Time) ([]Entry, error) {
	// Archive stores an object before it deletes rows, so rows are read first: what is gone
	// from the table by then is in the object store.
	rows, err := t.readTable(ctx, s)
	if err != nil {
		return nil, err
	}
	old, err := t.readObjects(ctx, s, from, to)
	if err != nil {
		return nil, err
	}
	return arrange(append(rows, old...), from, to), nil
}

func (t *Trail) readTable(ctx context.Context, s Subject) ([]Entry, error) {
	var es []Entry
	after := ""
	for {
		rows, err := t.table.Scan(ctx, SubjectPrefix(s), after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			after = r.Key
			e, err := decodeRow(r)
			if err != nil {
				return nil, err
			}
			if slices.Contains(e.Subjects, s) {
				es = append(es, e)
			}
		}
		if len(rows) < pageRows {
			return es, nil
		}
	}
}

func (t *Trail) readObjects(ctx context.Context, s Subject, from, to time.Time) ([]Entry, error) {
	names, err := t.objects.List(ctx, SubjectPrefix(s))
	if err != nil {
		return nil, err
	}
	var es []Entry
	for _, n := range names {
		if !overlaps(n, from, to) {
			continue
		}
		data, err := t.objects.Get(ctx, n)
		if err != nil {
			return nil, fault.Wrap(fault.KindOf(err), err, "read the archived audit entries of %s %s", s.Kind, s.Name)
		}
		a, err := DecodeArchive(data)
		if err != nil {
			return nil, fault.Wrap(fault.KindOf(err), err, "decode object %s", n)
		}
		for _, e := range a.Entries {
			if slices.Contains(e.Subjects, s) {
				es = append(es, e)
			}
		}
	}
	return es, nil
}

// arrange sorts entries by time, and drops duplicates and those outside the range.
func arrange(es []Entry, from, to time.Time) []Entry {
	es = slices.DeleteFunc(es, func(e Entry) bool {
		return !from.IsZero() && e.At.Before(from) || !to.IsZero() && !e.At.Before(to)
	})
	slices.SortStableFunc(es, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return slices.CompactFunc(es, func(a, b Entry) bool {
		return a.ID == b.ID && a.At.Equal(b.At)
	})
}

func decodeRow(r backing.Row) (Entry, error) {
	var e Entry
	err := json.Unmarshal(r.Value, &e)
	return e, fault.Wrap(fault.Internal, err, "decode audit row %s", r.Key)
}
