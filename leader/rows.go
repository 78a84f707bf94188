package leader

import (
	"encoding/json"
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/work"
)

// Tables of a service's rows; the part of each row is the service.
const (
	tableJobs     = "job"  // what was accepted, by job ID
	tableProgress = "prog" // how far it is, by job ID
	tableMail     = "mail" // what daemons wrote that couldn't reach the holder, by job ID and what to do
	tableHold     = "hold" // the holder's row and its runners
)

// Keys in the table of the holder; the runners' rows lie between keyRunners and keyRunnersEnd.
const (
	keySeat       = "seat"
	keyRunners    = "runners-"
	keyRunnersEnd = "runners."
)

// LeaseRow is the row that says who schedules a service. Each commit of a holder rewrites it, so that a
// commit that is carried out late finds another version and fails.
type LeaseRow struct {
	Holder   string `json:"name"` // empty: nobody
	Boot     string `json:"boot"`
	Term     int    `json:"term"`     // counts the holders
	Commits  int64  `json:"commits"`  // counts this holder's tries to commit
	Released bool   `json:"released"` // the holder stopped giving orders before it wrote this
	// Until then, by the store's clock, orders of earlier holders may have effect on runners that can't be reached.
	InheritedUntil time.Duration `json:"over"`
}

// jobRow is an accepted job.
type jobRow struct {
	Queue work.Queue `json:"queue"`
	Job   work.Job   `json:"job"`
	At    time.Time  `json:"at"`
}

// runnersRow names some of the runners that may have work; shardOf tells which row a runner stands in.
type runnersRow struct {
	Runners []work.Runner            `json:"runners"`
	Silent  map[string]time.Duration `json:"silent,omitempty"` // those that don't answer: when all that they run has ended, by the store's clock
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, fault.Wrap(fault.Internal, err, "encode a row")
}

// encodeJob puts an accepted job into the store's form; one that the store would refuse is an error.
func encodeJob(row jobRow) ([]byte, error) {
	value, err := encode(row)
	if err == nil && len(value) > rowMost {
		return nil, fault.New(fault.Invalid, "the job is too large to be stored")
	}
	return value, err
}

func decode(row platform.Row, into any) error {
	return fault.Wrap(fault.Invalid, json.Unmarshal(row.Value, into), "row %s of %s in %s", row.Key, row.Table, row.Partition)
}

func place(table, service, key string) platform.RowKey {
	return platform.RowKey{Table: table, Partition: service, Key: key}
}
