package leader

import (
	"fmt"
	"strings"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// maxProgressBytes limits the progress of one job, so that all of it fits into one transaction beside the jobs.
const maxProgressBytes = 5 * MaxRowBytes

// partSeparator stands between a job's ID and the number of a further row of its progress. It sorts before all digits of
// IDs, so that the rows of a job follow each other.
const partSeparator = "."

// progressKey returns the key of a row of a job's progress; part counts from 0.
func progressKey(service string, id work.ID, part int) platform.RowKey {
	if part == 0 {
		return rowKey(tableProgress, service, string(id))
	}
	return rowKey(tableProgress, service, fmt.Sprintf("%s%s%02d", id, partSeparator, part))
}

// progressPut is the progress of one job as a commit stores it: in one row, or in several if it is too large for one.
type progressPut struct {
	job     sched.JobProgress
	rows    []platform.Row
	deletes []platform.RowKey // rows of a longer progress that the store may have
}

// entries returns the number of transaction entries that the progress takes.
func (p progressPut) entries() int { return len(p.rows) + len(p.deletes) }

// bytes returns the size of the progress.
func (p progressPut) bytes() int { return sizeOf(p.rows) }

func sizeOf(rows []platform.Row) int {
	n := 0
	for _, row := range rows {
		n += len(row.Value)
	}
	return n
}

// newProgressPut encodes a job's progress. stored is the number of rows that the store may have of it.
func newProgressPut(service string, job sched.JobProgress, stored int) (progressPut, error) {
	value, err := job.Progress.Encode()
	if err != nil {
		return progressPut{}, err
	}
	put := progressPut{job: job}
	for len(value) > MaxRowBytes {
		put.rows = append(put.rows, platform.Row{RowKey: progressKey(service, job.ID, len(put.rows)), Value: value[:MaxRowBytes]})
		value = value[MaxRowBytes:]
	}
	put.rows = append(put.rows, platform.Row{RowKey: progressKey(service, job.ID, len(put.rows)), Value: value})
	for part := len(put.rows); part < stored; part++ {
		put.deletes = append(put.deletes, progressKey(service, job.ID, part))
	}
	return put, nil
}

// storedProgressRows is the progress of one job as read from the store.
type storedProgressRows struct {
	value []byte
	rows  int
}

// joinProgress returns the progress of each job from the rows of a partition, in the order of their keys.
func joinProgress(rows []platform.Row) map[work.ID]storedProgressRows {
	byJob := map[work.ID]storedProgressRows{}
	for _, row := range rows {
		id, _, _ := strings.Cut(row.Key, partSeparator)
		stored := byJob[work.ID(id)]
		stored.value = append(stored.value[:len(stored.value):len(stored.value)], row.Value...)
		stored.rows++
		byJob[work.ID(id)] = stored
	}
	return byJob
}
