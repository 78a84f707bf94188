package record

import (
	"bytes"
	"encoding/json"
	"strings"

	"gypsumlead/fault"
)

// Encode puts r into an envelope under name; version is set when the change is accepted.
func Encode(name string, r Record) (Envelope, error) {
	return Rewrite(Envelope{}, name, r)
}

// Rewrite puts r into an envelope and keeps the fields of old's body that r's type doesn't know.
func Rewrite(old Envelope, name string, r Record) (Envelope, error) {
	if err := checkName(name); err != nil {
		return Envelope{}, err
	}
	if err := r.Check(); err != nil {
		return Envelope{}, err
	}
	body, err := json.Marshal(r)
	if err != nil {
		return Envelope{}, fault.Wrap(fault.Invalid, err, "encode %s %q", r.Kind(), name)
	}
	body, err = keepUnknown(old, body, r)
	if err != nil {
		return Envelope{}, err
	}
	schema := max(r.Schema(), old.Schema)
	return Envelope{Kind: r.Kind(), Name: name, Schema: schema, Body: body}, nil
}

// Decode reads e's body into r, upgrading an older schema.
func Decode(e Envelope, r Record) error {
	if e.Kind != r.Kind() {
		return fault.New(fault.Invalid, "record %s is no %s", e.Key(), r.Kind())
	}
	if e.Schema < 1 {
		return fault.New(fault.Invalid, "record %s has no schema version", e.Key())
	}
	body, err := upgrade(e)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, r); err != nil {
		return fault.Wrap(fault.Invalid, err, "decode record %s of schema %d", e.Key(), e.Schema)
	}
	return nil
}

// keepUnknown adds the fields of old's body that a decode into r's type and back would drop.
func keepUnknown(old Envelope, body []byte, r Record) ([]byte, error) {
	if len(old.Body) == 0 || old.Gone {
		return body, nil
	}
	oldBody, err := upgrade(old)
	if err != nil {
		return nil, err
	}
	var before, known, after fields
	if err := json.Unmarshal(oldBody, &before); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "read the old body of %s", old.Key())
	}
	if err := json.Unmarshal(schemaFields(r), &known); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "list the fields of %s", r.Kind())
	}
	if err := json.Unmarshal(body, &after); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "read the new body of %s", old.Key())
	}
	for name, v := range before {
		if !known.has(name) && !bytes.Equal(v, []byte("null")) {
			after[name] = v
		}
	}
	out, err := json.Marshal(after)
	return out, fault.Wrap(fault.Internal, err, "join the bodies of %s", old.Key())
}

// fields is a JSON object whose values are left as written.
type fields map[string]json.RawMessage

// has tells whether a decode would take name for one of the fields: it ignores case.
func (f fields) has(name string) bool {
	if _, ok := f[name]; ok {
		return true
	}
	for n := range f {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}
