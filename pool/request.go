package pool

import (
	"fmt"
	"strings"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// Request is who asks for a change of a pool, and the list that it is decided on.
type Request struct {
	ID    string // of the change; asking again under the same ID is harmless
	Actor string
	Why   string
	View  View
}

// proposal starts a proposal of the request.
func (r Request) proposal(rows []string, records []record.Key, decide func(journal.Rows) (journal.Decision, error)) journal.Proposal {
	return journal.Proposal{ID: r.ID, Actor: r.Actor, Why: r.Why, Rows: rows, Records: records, Decide: decide}
}

// RecordKey is the key of the pool's record.
func RecordKey(name string) record.Key {
	return record.Key{Kind: record.KindPool, Name: name}
}

// MemberKey is the key of an instance's member record.
func MemberKey(id string) record.Key {
	return record.Key{Kind: record.KindMember, Name: id}
}

// DrainKey is the key of an instance's drain record.
func DrainKey(id string) record.Key {
	return record.Key{Kind: record.KindDrain, Name: id}
}

// Loaded is a pool as a decision reads it.
type Loaded struct {
	Name   string
	Record record.Pool
	State  State
}

// Load reads the pool's record and row; a pool without a record is fault.Missing.
func Load(rows journal.Rows, name string) (Loaded, error) {
	l := Loaded{Name: name}
	e, ok, err := rows.Envelope(RecordKey(name))
	if err != nil {
		return l, err
	}
	if !ok {
		return l, fault.New(fault.Missing, "there is no pool %q", name)
	}
	if err := record.Decode(e, &l.Record); err != nil {
		return l, err
	}
	if _, err := rows.Load(Key(name), &l.State); err != nil {
		return l, err
	}
	return l, l.State.Check()
}

// loadMember reads the member record of an instance; ok tells whether there is one.
func loadMember(rows journal.Rows, id string) (record.Envelope, record.Member, bool, error) {
	var m record.Member
	e, ok, err := rows.Envelope(MemberKey(id))
	if err != nil || !ok {
		return e, m, ok, err
	}
	return e, m, true, record.Decode(e, &m)
}

// Facts are the audit inputs that explain a decision on the pool's budget.
func (l Loaded) Facts(out Out) []audit.Input {
	var what []string
	for _, it := range out.what {
		what = append(what, it.member.ID+" ("+it.why+")")
	}
	b := l.Record.Budget
	return audit.Facts(
		"pool", l.Name,
		"members", len(l.State.Members),
		"budget", fmt.Sprintf("out %d, rack %d, centre %d", b.Out, b.Rack, b.Centre),
		"out", out.All,
		"counted", strings.Join(what, ", "),
	)
}

// subjects names the pools and the instance that a decision is about.
func subjects(instance string, pools ...string) []audit.Subject {
	out := []audit.Subject{{Kind: "instance", Name: instance}}
	for _, p := range pools {
		out = append(out, audit.Subject{Kind: string(record.KindPool), Name: p})
	}
	return out
}

// putStates returns the steps that write the pools' rows.
func putStates(rows journal.Rows, pools ...Loaded) ([]backing.Op, error) {
	var ops []backing.Op
	for _, l := range pools {
		op, err := rows.PutRow(Key(l.Name), l.State)
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	return ops, nil
}

// inPool adds the pool's name to an error and keeps its kind.
func inPool(name string, err error) error {
	return fault.Wrap(fault.KindOf(err), err, "pool %s", name)
}
