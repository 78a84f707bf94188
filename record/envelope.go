package record

import (
	"encoding/json"
)

// Kind says what a record describes.
type Kind string

// Key names one record among all.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as it stands in table keys and logs.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Envelope is a record as it is stored and sent: the body stays as it was written, so that
// fields this program doesn't know survive.
type Envelope struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Schema  int             `json:"schema"`
	Version int64           `json:"version"`        // sequence number of the change that wrote it
	Gone    bool            `json:"gone,omitempty"` // deleted by that change
	Body    json.RawMessage `json:"body,omitempty"`
}

// Key returns the record's key.
func (e Envelope) Key() Key {
	return Key{Kind: e.Kind, Name: e.Name}
}

// Record is the body of an envelope in the schema that this program writes.
type Record interface {
	// Kind returns the record's kind.
	Kind() Kind
	// Schema returns the schema version that this program writes.
	Schema() int
	// Check returns an error of kind fault.Invalid that names every field at fault.
	Check() error
}
