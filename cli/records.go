package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/jx"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
)

const fileLimit = 1 << 20 // bytes of a record's file

func runList(ctx context.Context, e *env, args []string) error {
	return e.read(args, 1, 1, func(c *oas.Client, rest []string) (answer, error) {
		kind, err := kindOf(rest[0])
		if err != nil {
			return answer{}, err
		}
		res, err := c.ListRecords(ctx, oas.ListRecordsParams{Kind: kind})
		return answer{res, func(out io.Writer) error {
			t := newTable(out, "NAME", "VERSION", "SCHEMA", "BODY")
			for _, rec := range res.Records {
				t.row(rec.Name, rec.Version, rec.Schema, string(rec.Body))
			}
			return t.flush()
		}}, err
	})
}

func runGet(ctx context.Context, e *env, args []string) error {
	return e.read(args, 2, 2, func(c *oas.Client, rest []string) (answer, error) {
		kind, err := kindOf(rest[0])
		if err != nil {
			return answer{}, err
		}
		rec, err := c.GetRecord(ctx, oas.GetRecordParams{Kind: kind, Name: rest[1]})
		return answer{rec, func(out io.Writer) error { return printRecord(out, rec, false) }}, err
	})
}

// change has the flags of verbs that change something.
type change struct {
	remote
	id  *string
	why *string
}

func addChange(fs *flag.FlagSet) change {
	return change{
		remote: addRemote(fs),
		id:     fs.String("id", "", "change `ID`; ask again under the same one after a lost answer"),
		why:    fs.String("why", "", "reason for the audit trail"),
	}
}

// changeID returns the ID given, or a fresh one.
func (c change) changeID() string {
	if *c.id == "" {
		*c.id = "cli-" + rand.Text()
	}
	return *c.id
}

// answered adds the change ID where it is unknown whether the change was accepted.
func (c change) answered(err error) error {
	err = c.remote.answered(err)
	if err != nil && codeOf(err) != exitFailed {
		return fault.Wrap(fault.KindOf(err), err, "ask again with -id %s", *c.id)
	}
	return err
}

func runPut(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	c := addChange(fs)
	file := fs.String("file", "", "JSON `FILE` with schema and body, - for standard input")
	version := fs.Int64("version", 0, "version that the change is based on, 0 for a new record")
	rest, err := parse(fs, args, 2, 2)
	if err != nil {
		return err
	}
	draft, err := readDraft(*file)
	if err != nil {
		return err
	}
	rec, err := putRecord(ctx, c, rest[0], rest[1], *version, draft)
	if err != nil {
		return err
	}
	return printRecord(e.out, rec, *c.json)
}

func putRecord(ctx context.Context, c change, kindName, name string, version int64, draft *oas.Draft) (*oas.Record, error) {
	cl, err := c.client()
	if err != nil {
		return nil, err
	}
	kind, err := kindOf(kindName)
	if err != nil {
		return nil, err
	}
	rec, err := cl.PutRecord(ctx, draft, oas.PutRecordParams{
		Kind:     kind,
		Name:     name,
		ChangeID: c.changeID(),
		Version:  version,
		Why:      optString(*c.why),
	})
	if err != nil {
		return nil, c.answered(err)
	}
	return rec, nil
}

func runDelete(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	c := addChange(fs)
	version := fs.Int64("version", 0, "version of the record that is deleted")
	rest, err := parse(fs, args, 2, 2)
	if err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	kind, err := kindOf(rest[0])
	if err != nil {
		return err
	}
	res, err := cl.DeleteRecord(ctx, oas.DeleteRecordParams{
		Kind:     kind,
		Name:     rest[1],
		ChangeID: c.changeID(),
		Version:  *version,
		Why:      optString(*c.why),
	})
	if err != nil {
		return c.answered(err)
	}
	return printAccepted(e.out, res, *c.json)
}

// readDraft reads a record's file: an object with schema and body.
func readDraft(file string) (*oas.Draft, error) {
	if file == "" {
		return nil, usageError{"-file is missing"}
	}
	data, err := readFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "read the record")
	}
	var d struct {
		Schema int             `json:"schema"`
		Body   json.RawMessage `json:"body"`
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, `%s must hold an object {"schema":N,"body":{...}}`, file)
	}
	return &oas.Draft{Schema: d.Schema, Body: oas.Body(jx.Raw(d.Body))}, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, fileLimit))
	}
	return os.ReadFile(file)
}

func kindOf(name string) (oas.Kind, error) {
	k := oas.Kind(name)
	if err := k.Validate(); err != nil {
		return "", usageError{fmt.Sprintf("there is no kind of record %q", name)}
	}
	return k, nil
}

func optString(s string) oas.OptString {
	if s == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(s)
}
