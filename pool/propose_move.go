package pool

import (
	"gypsumlead/audit"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// Transfer is a move of one instance between two pools.
type Transfer struct {
	Instance string
	From     string
	To       string
	Lend     bool // remembers From as the pool that the instance goes home to
}

// ProposeMove moves an instance: its member record changes once, in the transaction that takes
// it out of one pool's row and puts it into the other's.
func ProposeMove(r Request, t Transfer) journal.Proposal {
	decide := func(rows journal.Rows) (journal.Decision, error) {
		if t.From == t.To {
			return journal.Decision{}, fault.New(fault.Invalid, "instance %s: pool %s is both ends of the move", t.Instance, t.To)
		}
		from, err := Load(rows, t.From)
		if err != nil {
			return journal.Decision{}, err
		}
		to, err := Load(rows, t.To)
		if err != nil {
			return journal.Decision{}, err
		}
		old, err := from.owns(rows, t.Instance)
		if err != nil {
			return journal.Decision{}, err
		}
		return t.decide(rows, r.View, old, from, to)
	}
	keys := []record.Key{RecordKey(t.From), RecordKey(t.To), MemberKey(t.Instance)}
	return r.proposal([]string{Key(t.From), Key(t.To)}, keys, decide)
}

// decide checks the bounds of the pool that gives and moves the member.
func (t Transfer) decide(rows journal.Rows, v View, old record.Envelope, from, to Loaded) (journal.Decision, error) {
	cause := CauseMove
	if t.Lend {
		cause = CauseLend
	}
	out := from.State.Count(Losses(from.State, v, rows.Now))
	if _, _, err := from.State.Take(Ask{Instance: t.Instance, Cause: cause, By: t.To}, from.Record.Budget, v, rows.Now); err != nil {
		return journal.Decision{}, inPool(t.From, err)
	}
	left := len(from.State.Members) - out.All - 1
	if left < from.Record.Floor {
		return journal.Decision{}, fault.New(fault.Budget, "pool %s: floor is %d and %d of %d members would be left in service",
			t.From, from.Record.Floor, left, len(from.State.Members))
	}
	inputs := append(from.Facts(out), audit.Facts("floor", from.Record.Floor, "left", left, "to", t.To)...)
	m, _ := from.State.Member(t.Instance)
	var err error
	if from.State, err = from.State.Remove(t.Instance); err != nil {
		return journal.Decision{}, inPool(t.From, err)
	}
	if to.State, err = to.State.Add(m); err != nil {
		return journal.Decision{}, fault.Wrap(fault.Breach, err, "pool %s holds an instance of pool %s", t.To, t.From)
	}
	rec := &record.Member{Pool: t.To}
	if t.Lend {
		rec.Home = t.From
	}
	d, err := memberDecision(rows, old, t.Instance, rec, string(cause), from, to)
	d.Audit.Inputs = inputs
	return d, err
}
