package spread

import (
	"encoding/json"

	"gypsumlead/fault"
	"gypsumlead/journal"
)

func encode(changes []journal.Change) ([][]byte, error) {
	out := make([][]byte, len(changes))
	for i, c := range changes {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "encode change %d", c.Seq)
		}
		out[i] = data
	}
	return out, nil
}

func decode(data [][]byte) ([]journal.Change, error) {
	out := make([]journal.Change, len(data))
	for i, d := range data {
		if err := json.Unmarshal(d, &out[i]); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "decode a peer's change")
		}
	}
	return out, nil
}
