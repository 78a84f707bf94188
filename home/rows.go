package home

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

// Tables with the rows of queues.
const (
	tableHome = "home" // one row for each queue; partition and key are the queue's
	tableGate = "gate" // one row for each queue in the partition of each service that it was sent to
)

// maxPath is the longest path that is a key as it is; the store's keys have at most 200 bytes.
const maxPath = 160

// homeRow names the service whose gate may be open. It is written before a gate is opened and after the earlier one is closed.
type homeRow struct {
	Service string   `json:"service"`
	Config  int64    `json:"config"`           // version of the configuration that sent the queue there
	Former  []string `json:"former,omitempty"` // other services that the queue was sent to
}

// gateRow admits new jobs of a queue into a service's partition, or keeps them out. Each transaction that stores a job has the
// condition that this row has the version that its writer knows, so that one that is carried out late fails once the gate
// is closed.
type gateRow struct {
	Open   bool     `json:"open,omitempty"`
	Config int64    `json:"config"` // version of the configuration by which the gate was opened or closed
	Former []string `json:"former,omitempty"`
}

// keyOf returns the key of a queue's rows.
func keyOf(path string) string {
	if len(path) <= maxPath {
		return path
	}
	sum := sha256.Sum256([]byte(path))
	return path[:maxPath-2*len(sum)-1] + "#" + hex.EncodeToString(sum[:])
}

func homeKey(path string) platform.RowKey {
	return platform.RowKey{Table: tableHome, Partition: keyOf(path), Key: keyOf(path)}
}

func gateKey(service, path string) platform.RowKey {
	return platform.RowKey{Table: tableGate, Partition: service, Key: keyOf(path)}
}

// IsGate reports whether a row is a queue's gate.
func IsGate(row platform.RowKey) bool { return row.Table == tableGate }

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, fault.Wrap(fault.Internal, err, "encode a queue's row")
}

func decode(row platform.Row, into any) error {
	return fault.Wrap(fault.Invalid, json.Unmarshal(row.Value, into), "decode row %s of table %s in partition %s", row.Key, row.Table, row.Partition)
}
