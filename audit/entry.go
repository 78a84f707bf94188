package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Prefix is where the entries stand in the table: Prefix, subject, time, ID.
const Prefix = "audit/"

// Subject is something that an operator can ask about.
type Subject struct {
	Kind string `json:"kind"` // pool, instance, job, wave, service, team
	Name string `json:"name"`
}

// Input is one fact that a decision was made from.
type Input struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Entry is one decision; an entry with several subjects is stored once under each.
type Entry struct {
	ID       string    `json:"id"` // same for every try of the same decision
	At       time.Time `json:"at"`
	Actor    string    `json:"actor"` // operator, or the duty and instance that decided
	Act      string    `json:"act"`   // one word: take, return, move, accept, refuse, place, ...
	Why      string    `json:"why"`
	Refused  string    `json:"refused,omitempty"` // kind of fault, where the decision was to refuse
	Version  int64     `json:"version,omitempty"` // record version that the decision was made on
	Subjects []Subject `json:"subjects"`
	Inputs   []Input   `json:"inputs,omitempty"`
}

// Facts builds inputs from pairs of a name and a value.
func Facts(pairs ...any) []Input {
	in := make([]Input, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		in = append(in, Input{Name: fmt.Sprint(pairs[i]), Value: fmt.Sprint(pairs[i+1])})
	}
	return in
}

// SubjectPrefix is the start of the table keys of all entries about s, which sort by time.
func SubjectPrefix(s Subject) string {
	return Prefix + s.Kind + "/" + s.Name + "/"
}

// Ops returns the steps that write e, for the transaction of the change itself.
func Ops(e Entry) ([]backing.Op, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode audit entry %s", e.ID)
	}
	ops := make([]backing.Op, 0, len(e.Subjects))
	for _, s := range e.Subjects {
		ops = append(ops, backing.Put{Key: key(s, e), Value: value})
	}
	return ops, nil
}

// key sorts a subject's entries by time; the ID keeps entries of one instant apart.
func key(s Subject, e Entry) string {
	return fmt.Sprintf("%s%020d-%s", SubjectPrefix(s), e.At.UnixNano(), e.ID)
}
