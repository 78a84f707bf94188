package lease

import (
	"encoding/json"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// A duty has two rows. The epoch row is written by acquisitions only, so its version is the
// fencing epoch, and a transaction conditioned on it isn't disturbed by renewals. The beat row
// is written by acquisitions, renewals and releases; a contender watches it. Neither is ever
// deleted, for a version would start at 1 again.
const (
	prefixEpoch = "lease/epoch/"
	prefixBeat  = "lease/beat/"
)

// Beat is the value of a duty's beat row.
type Beat struct {
	Epoch  int64  `json:"epoch"`            // version of the epoch row
	Holder string `json:"holder,omitempty"` // empty: handed back
	Nonce  string `json:"nonce,omitempty"`  // one process of the holder
	Seq    int64  `json:"seq"`              // number of the write within the process
	Life   int64  `json:"life"`             // milliseconds
}

// owner is the value of a duty's epoch row, for readers of the table.
type owner struct {
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"`
}

// EpochKey returns the key of the row whose version is the duty's epoch.
func EpochKey(duty string) string { return prefixEpoch + duty }

// BeatKey returns the key of the row that the duty's holder renews.
func BeatKey(duty string) string { return prefixBeat + duty }

// life returns how long the row must stay unchanged before it may be taken.
func (b Beat) life() time.Duration {
	return time.Duration(b.Life) * time.Millisecond
}

// decodeBeat reads a beat row; a missing row is a duty that nobody ever held.
func decodeBeat(row backing.Row) (Beat, error) {
	var b Beat
	if row.Version == 0 {
		return b, nil
	}
	err := json.Unmarshal(row.Value, &b)
	return b, fault.Wrap(fault.Internal, err, "decode lease row %s", row.Key)
}

// encode returns v as the value of a row; its types always encode.
func encode(v any) json.RawMessage {
	data, _ := json.Marshal(v)
	return data
}
