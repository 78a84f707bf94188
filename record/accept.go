package record

import (
	"encoding/json"

	"gypsumlead/fault"
)

// New returns an empty record of a kind.
func New(k Kind) (Record, error) {
	switch k {
	case KindPool:
		return &Pool{}, nil
	case KindService:
		return &Service{}, nil
	case KindMember:
		return &Member{}, nil
	case KindDrain:
		return &Drain{}, nil
	case KindWave:
		return &Wave{}, nil
	case KindJob:
		return &Job{}, nil
	case KindTeam:
		return &Team{}, nil
	}
	return nil, fault.New(fault.Invalid, "records of kind %q are unknown", k)
}

// Accept checks a draft against what its kind demands and returns the envelope to store, with
// old's unknown fields kept, and the record in the schema that this program writes. A draft of
// an older schema is stored as it is, unless old is newer already.
func Accept(old, draft Envelope) (Envelope, Record, error) {
	if err := checkName(draft.Name); err != nil {
		return Envelope{}, nil, err
	}
	r, err := New(draft.Kind)
	if err != nil {
		return Envelope{}, nil, err
	}
	if draft.Schema > r.Schema() {
		return Envelope{}, nil, fault.New(fault.Invalid,
			"%s has schema %d, and this daemon reads up to %d: ask one that is upgraded", draft.Key(), draft.Schema, r.Schema())
	}
	if err := Decode(draft, r); err != nil {
		return Envelope{}, nil, err
	}
	if err := r.Check(); err != nil {
		return Envelope{}, nil, err
	}
	if old.Gone {
		old = Envelope{}
	}
	if draft.Schema == r.Schema() || draft.Schema < old.Schema {
		draft.Body, err = upgrade(draft)
		if err != nil {
			return Envelope{}, nil, err
		}
		draft.Schema = max(r.Schema(), old.Schema)
		draft.Body, err = keepUnknown(old, draft.Body, r)
	}
	return compact(draft), r, err
}

// compact drops the white space that a person's draft has.
func compact(e Envelope) Envelope {
	var v json.RawMessage
	if err := json.Unmarshal(e.Body, &v); err != nil {
		return e
	}
	if body, err := json.Marshal(v); err == nil {
		e.Body = body
	}
	return e
}
