package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"path"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Archive is an object of archived entries about one subject, in the order of time.
type Archive struct {
	Schema  int     `json:"schema"`
	Entries []Entry `json:"entries"`
}

// archiveSchema is the schema of archives that this program writes.
const archiveSchema = 1

// part is rows of one subject that go into one object.
type part struct {
	subject Subject
	rows    []backing.Row
	entries []Entry
}

// Archive moves entries older than before into the object store, and returns how many rows it
// moved. It may fail or be run by several daemons at any point without losing an entry.
func (t *Trail) Archive(ctx context.Context, before time.Time) (int, error) {
	moved := 0
	after := ""
	for {
		rows, err := t.table.Scan(ctx, Prefix, after, pageRows)
		if err != nil {
			return moved, err
		}
		parts, err := t.split(rows, before)
		if err != nil {
			return moved, err
		}
		for _, p := range parts {
			n, err := t.move(ctx, p)
			moved += n
			if err != nil {
				return moved, err
			}
		}
		if len(rows) < pageRows {
			return moved, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// split groups the old ones of rows, which are sorted, by subject and size.
func (t *Trail) split(rows []backing.Row, before time.Time) ([]part, error) {
	var parts []part
	for _, r := range rows {
		e, err := decodeRow(r)
		if err != nil {
			return nil, err
		}
		if !e.At.Before(before) {
			continue
		}
		s := subjectOf(r.Key, e)
		last := len(parts) - 1
		if last < 0 || parts[last].subject != s || len(parts[last].rows) >= t.batch {
			parts = append(parts, part{subject: s})
			last++
		}
		parts[last].rows = append(parts[last].rows, r)
		parts[last].entries = append(parts[last].entries, e)
	}
	return parts, nil
}

// subjectOf returns which of e's subjects the row stands under.
func subjectOf(key string, e Entry) Subject {
	for _, s := range e.Subjects {
		if strings.HasPrefix(key, fmt.Sprintf("%s%020d-", SubjectPrefix(s), e.At.UnixNano())) {
			return s
		}
	}
	return Subject{}
}

// move stores the part's object, and only then deletes its rows.
func (t *Trail) move(ctx context.Context, p part) (int, error) {
	if p.subject == (Subject{}) {
		return 0, fault.New(fault.Breach, "audit row %s doesn't stand under one of its subjects", p.rows[0].Key)
	}
	if err := t.store(ctx, p); err != nil {
		return 0, err
	}
	return t.remove(ctx, p)
}

func (t *Trail) store(ctx context.Context, p part) error {
	data, err := json.Marshal(Archive{Schema: archiveSchema, Entries: p.entries})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode audit entries of %s %s", p.subject.Kind, p.subject.Name)
	}
	return t.objects.Put(ctx, t.name(p.subject, p.entries), data)
}

// remove deletes the rows as they were read; a conflict means that another daemon moved some of them.
func (t *Trail) remove(ctx context.Context, p part) (int, error) {
	ops := make([]backing.Op, 0, len(p.rows))
	for _, r := range p.rows {
		ops = append(ops, backing.Delete{Key: r.Key, IfVersion: r.Version})
	}
	err := t.table.Commit(ctx, backing.Tx{Ops: ops})
	if fault.Is(err, fault.Conflict) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(ops), nil
}

// objectName is made from the content: a daemon that was paused halfway writes an object of the
// same name only with the same entries, so it never replaces one that holds more.
func objectName(s Subject, es []Entry) string {
	var d xxhash.Digest
	d.Reset()
	// A digest takes every write, and entries that were decoded encode.
	_ = json.NewEncoder(&d).Encode(es)
	first, last := es[0].At.UnixNano(), es[len(es)-1].At.UnixNano()
	return fmt.Sprintf("%s%020d-%020d-%016x", SubjectPrefix(s), first, last, d.Sum64())
}

// overlaps tells whether an object of that name may hold entries of the range.
func overlaps(name string, from, to time.Time) bool {
	var first, last int64
	if _, err := fmt.Sscanf(path.Base(name), "%d-%d-", &first, &last); err != nil {
		return true
	}
	if !from.IsZero() && last < from.UnixNano() {
		return false
	}
	return to.IsZero() || first < to.UnixNano()
}

// DecodeArchive reads an archive object of any schema up to the one that this program writes.
func DecodeArchive(data []byte) (Archive, error) {
	var a Archive
	if err := json.Unmarshal(data, &a); err != nil {
		return Archive{}, fault.Wrap(fault.Invalid, err, "decode an audit archive")
	}
	if a.Schema < 1 || a.Schema > archiveSchema {
		return Archive{}, fault.New(fault.Invalid, "an audit archive of schema %d can't be read, only up to %d", a.Schema, archiveSchema)
	}
	return a, nil
}
