package leader

import (
	"encoding/json"
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/work"
)

// Tables with the rows of a service. The partition of each row is the service's name.
const (
	tableJobs     = "job"  // accepted jobs, by job ID
	tableProgress = "prog" // progress of jobs, by job ID
	tableInbox    = "mail" // requests of daemons that couldn't reach the leader, by job ID and kind of request
	tableLease    = "hold" // the lease row and the rows of the runners
)

// Keys in tableLease. The keys of the runners' rows start with keyRunners and sort before keyRunnersEnd.
const (
	keyLease      = "seat"
	keyRunners    = "runners-"
	keyRunnersEnd = "runners."
)

// LeaseRow is the row that names the leader of a service. Each commit of a leader rewrites it, so that a commit that
// the store carries out late finds a different version and fails.
type LeaseRow struct {
	Holder   string `json:"name"` // name of the leading daemon; empty if there is none
	Boot     string `json:"boot"`
	Term     int    `json:"term"`           // number of the leadership term, counted from 1
	Commits  int64  `json:"commits"`        // commits that this leader has attempted
	Released bool   `json:"released"`       // set after the leader has stopped giving orders
	Idle     bool   `json:"idle,omitempty"` // of a released lease: no orders were given in this term
	// Capped states that leases of runners end with the holder's grace. Rows of earlier releases lack it.
	Capped bool `json:"capped,omitempty"`
	// Placements states that the store has, for each job, all runners that may have runs of it.
	Placements bool `json:"placed"`
	// Time on the store's clock until which orders of earlier leaders may take effect on unreachable runners.
	InheritedUntil time.Duration `json:"over"`
}

// jobRow is an accepted job.
type jobRow struct {
	Queue work.Queue `json:"queue"`
	Job   work.Job   `json:"job"`
	At    time.Time  `json:"at"`
	// Refused states that no try of the job was accepted so far; the row has no job then.
	Refused bool `json:"refused,omitempty"`
	// Cancelled has the workspaces for which the job was cancelled before it was stored, "" for none. The row keeps every try of
	// theirs out, and nobody else's.
	Cancelled []string `json:"cancelled,omitempty"`
	// RefusedAt is the version of the store at which the newest try was refused: this row's own if it is missing, and 0 if none
	// was. Earlier tries than that are kept out, whoever's.
	RefusedAt *int64 `json:"refusedAt,omitempty"`
}

// inboxRow is the value of an inbox row. The key has the job's ID and whether the row cancels the job.
type inboxRow struct {
	Queue string `json:"queue,omitempty"` // name of a submitted job's queue; empty in rows of earlier releases
	Path  string `json:"path,omitempty"`  // of the queue
}

// runnersRow is one shard of the runners that may have work. shardOf returns the shard of a runner.
type runnersRow struct {
	Runners []work.Runner            `json:"runners"`
	Silent  map[string]time.Duration `json:"silent,omitempty"` // runners that don't answer, with the time on the store's clock when all their runs have ended
	// Restarted has the runners that restarted lately, with the time on the store's clock until which orders for earlier
	// incarnations may keep their runs alive.
	Restarted map[string]time.Duration `json:"restarted,omitempty"`
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, fault.Wrap(fault.Internal, err, "encode a row")
}

// encodeJob encodes an accepted job for the store. It returns fault.Invalid for a job that is too large for a row.
func encodeJob(row jobRow) ([]byte, error) {
	value, err := encode(row)
	if err == nil && len(value) > MaxRowBytes {
		return nil, fault.New(fault.Invalid, "the job is too large to be stored")
	}
	return value, err
}

// decodeJob decodes the row of an accepted job and checks the job, or the row of a refused one.
func decodeJob(row platform.Row) (jobRow, error) {
	var job jobRow
	if err := decode(row, &job); err != nil {
		return jobRow{}, err
	}
	if job.Refused {
		return job, nil
	}
	return job, fault.Wrap(fault.Invalid, job.Job.Check(), "row %s of table %s in partition %s", row.Key, row.Table, row.Partition)
}

func decode(row platform.Row, into any) error {
	return fault.Wrap(fault.Invalid, json.Unmarshal(row.Value, into), "decode row %s of table %s in partition %s", row.Key, row.Table, row.Partition)
}

func rowKey(table, service, key string) platform.RowKey {
	return platform.RowKey{Table: table, Partition: service, Key: key}
}
