package job

import (
	"fmt"
	"time"

	"gypsumlead/audit"
)

// changes is what must be committed before any effect is carried out.
type changes struct {
	jobs    []*Job // touched, in the order of their first touch
	touched map[*Job]bool
	gone    []*Job // rows are to be deleted
	entries map[string][]audit.Entry
	units   []string // keys of entries, in their order
	pool    bool     // the pool's own row changed
}

func newChanges() changes {
	return changes{touched: map[*Job]bool{}, entries: map[string][]audit.Entry{}}
}

func (c *changes) touch(j *Job) {
	if !c.touched[j] {
		c.touched[j] = true
		c.jobs = append(c.jobs, j)
	}
}

func (c *changes) add(unit string, e audit.Entry) {
	if c.entries[unit] == nil {
		c.units = append(c.units, unit)
	}
	c.entries[unit] = append(c.entries[unit], e)
}

// entryID is the same only for tries of the same decision of the same holder.
func entryID(pool string, epoch int64, count int, now time.Time) string {
	return fmt.Sprintf("%s-%d-%d-%d", pool, epoch, now.UnixNano(), count)
}
