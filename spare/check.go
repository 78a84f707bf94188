package spare

import (
	"gypsumlead/fault"
)

// check returns an error of kind fault.Breach where moves have gone past a bound.
func (l *Lender) check(begun []Effect) error {
	coming, going := 0, 0
	for _, m := range l.members {
		coming += m.coming
		going += m.going
		if m.lent < 0 || m.coming < 0 || m.going < 0 {
			return fault.New(fault.Breach, "lend instances: pool %s has %d lent, %d coming, %d going", m.name, m.lent, m.coming, m.going)
		}
	}
	if coming != going {
		return fault.New(fault.Breach, "lend instances: %d moves have a target, %d a source", coming, going)
	}
	for _, f := range begun {
		if err := l.checkMove(f.(Move)); err != nil {
			return err
		}
	}
	return nil
}

// checkMove finds a move that took a pool past its budget or the spare pool below its floor.
func (l *Lender) checkMove(v Move) error {
	for _, name := range []string{v.From, v.To} {
		if m := l.members[name]; m.planned() > m.limit {
			return fault.New(fault.Breach, "move from %s to %s: %d instances of %s are out, its budget is %d", v.From, v.To, m.planned(), name, m.limit)
		}
	}
	if from := l.members[v.From]; v.From == l.spare && from.have-from.going < l.floor {
		return fault.New(fault.Breach, "move from %s to %s: %d are left, its floor is %d", v.From, v.To, from.have-from.going, l.floor)
	}
	return nil
}
