package leader

import (
	"slices"
	"time"

	"gypsumlead/platform"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

const (
	refusedTTL = 120 * time.Second // refused rows stay in the store for this long; writes of earlier tries are carried out seconds later at most, and repeats arrive within a minute

	maxCancelledRows  = 1000 // refused rows of a service that cancellations wrote; the next leader reads them before it begins
	maxCancelledShare = 500  // of these, those of one workspace
)

// refusedRow is a row at a job's key which states that no try of the job was accepted. While it is there, each late write
// of an earlier try fails.
type refusedRow struct {
	version   int64
	at        time.Time
	refusedAt int64    // version of the store at which the newest try was refused; 0 if none was
	cancelled []string // workspaces for which the job was cancelled before it was stored
}

// newRefusedRow returns a refused row as the store has it.
func newRefusedRow(version int64, stored jobRow) refusedRow {
	row := refusedRow{version: version, at: stored.At, refusedAt: version, cancelled: stored.Cancelled}
	if stored.RefusedAt != nil {
		row.refusedAt = *stored.RefusedAt
	}
	return row
}

// check returns the result of a try of a workspace that the row keeps out, and false if the try may replace the row. seen is the
// version of the store that was known before the try arrived.
func (r refusedRow) check(owner string, seen int64) (Result, bool) {
	switch {
	case slices.Contains(r.cancelled, owner):
		return Result{Verdict: Withdrawn, Why: "the job was cancelled before it was stored"}, true
	case seen < r.refusedAt:
		return olderTry(), true
	}
	return Result{}, false
}

// cancels reports whether the row keeps out everything that a caller could cancel.
func (r refusedRow) cancels(caller workspace.Caller) bool {
	return !slices.ContainsFunc(ownersOf(caller), func(owner string) bool { return !slices.Contains(r.cancelled, owner) })
}

// ownersOf returns the workspaces whose job a caller may mean that cancels one which isn't stored: its own, and none, as jobs
// without a workspace exist for everybody.
func ownersOf(caller workspace.Caller) []string {
	if caller.Any || caller.Workspace == "" {
		return []string{""}
	}
	return []string{"", caller.Workspace}
}

// encodeCancelled returns the value of the row that keeps out the tries of a job that a caller has cancelled. Like the row that it
// replaces, if any, it keeps out what others have cancelled, and tries that are older than a refused one.
func encodeCancelled(replaced refusedRow, caller workspace.Caller, at time.Time) ([]byte, error) {
	return encode(jobRow{Refused: true, At: at, Cancelled: cancelledWith(replaced, caller), RefusedAt: &replaced.refusedAt})
}

// cancelledWith returns the workspaces for which a job was cancelled before, and those for which a caller cancels it.
func cancelledWith(replaced refusedRow, caller workspace.Caller) []string {
	owners := append(slices.Clone(replaced.cancelled), ownersOf(caller)...)
	slices.Sort(owners)
	return slices.Compact(owners)
}

// encodeRefused returns the value of the row that keeps out earlier tries of a job that is refused now.
func encodeRefused(replaced refusedRow, at time.Time) ([]byte, error) {
	return encode(jobRow{Refused: true, At: at, Cancelled: replaced.cancelled})
}

// refusedRows are the refused rows that a leader knows.
type refusedRows struct {
	byID  map[work.ID]refusedRow
	total int            // of those that cancellations wrote
	byOne map[string]int // the same, by workspace
}

func newRefusedRows() refusedRows {
	return refusedRows{byID: map[work.ID]refusedRow{}, byOne: map[string]int{}}
}

// note records a row, in place of an earlier version of it.
func (r *refusedRows) note(id work.ID, row refusedRow) {
	r.forget(id)
	r.byID[id] = row
	r.count(row, 1)
}

// forget drops the row of a job, if there is one.
func (r *refusedRows) forget(id work.ID) {
	if row, ok := r.byID[id]; ok {
		r.count(row, -1)
		delete(r.byID, id)
	}
}

// count adds n to the numbers of rows that cancellations wrote, if the row is one.
func (r *refusedRows) count(row refusedRow, n int) {
	if len(row.cancelled) == 0 {
		return
	}
	r.total += n
	for _, owner := range row.cancelled {
		if r.byOne[owner] += n; r.byOne[owner] == 0 {
			delete(r.byOne, owner)
		}
	}
}

// full reports whether no further row may be written for cancellations of a caller.
func (r *refusedRows) full(caller workspace.Caller) bool {
	return r.total >= maxCancelledRows || (caller.Workspace != "" && r.byOne[caller.Workspace] >= maxCancelledShare)
}

// storedRefusal returns the refused row that a row at a job's key is, and false if it has a job or can't be decoded.
func storedRefusal(row platform.Row) (refusedRow, bool) {
	var stored jobRow
	if decode(row, &stored) != nil || !stored.Refused {
		return refusedRow{}, false
	}
	return newRefusedRow(row.Version, stored), true
}
