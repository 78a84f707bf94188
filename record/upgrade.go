package record

import (
	"encoding/json"

	"gypsumlead/fault"
)

// poolV1 is schema 1 of Pool.
type poolV1 struct {
	Out   int  `json:"out"`
	Spare bool `json:"spare,omitempty"`
}

// upgrade returns e's body in the schema that this program writes; a newer body is returned
// as it is, for its known fields keep their meaning.
func upgrade(e Envelope) (json.RawMessage, error) {
	if e.Kind != KindPool || e.Schema != 1 {
		return e.Body, nil
	}
	var old poolV1
	if err := json.Unmarshal(e.Body, &old); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode record %s of schema 1", e.Key())
	}
	body, err := json.Marshal(Pool{Budget: Budget{Out: old.Out}, Spare: old.Spare})
	return body, fault.Wrap(fault.Internal, err, "upgrade record %s", e.Key())
}
