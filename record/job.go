package record

import (
	"fmt"
	"strings"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// KindJob is the kind of Job records.
const KindJob Kind = "job"

const (
	urgencyLimit = 9       // highest urgency
	countLimit   = 100_000 // tasks of one job
)

// Job is a team's order to run a number of equal tasks on the workers of a pool.
type Job struct {
	Team      string       `json:"team"`
	Pool      string       `json:"pool"`                // pool of workers; never changes
	Count     int          `json:"count"`               // number of tasks
	Size      backing.Size `json:"size"`                // of one task; cores and memory are hints, accelerators are exact
	Time      Millis       `json:"time,omitempty"`      // run time of one task; a hint
	Urgency   int          `json:"urgency,omitempty"`   // 0 to 9; higher goes first
	Restart   bool         `json:"restart,omitempty"`   // a task that was cut off may be run again from its start
	Save      bool         `json:"save,omitempty"`      // a task can be checkpointed and go on from there
	Racks     int          `json:"racks,omitempty"`     // fewest racks that the tasks are spread over; zero means no bound
	Cancelled bool         `json:"cancelled,omitempty"` // its tasks are stopped and no more are started
}

// Kind returns KindJob.
func (*Job) Kind() Kind { return KindJob }

// Schema returns 1.
func (*Job) Schema() int { return 1 }

// Check names every field at fault.
func (j *Job) Check() error {
	var bad faults
	bad.addIf(j.Team == "", "team is missing")
	bad.addIf(j.Pool == "", "pool is missing")
	bad.addIf(j.Count < 1 || j.Count > countLimit, "count is %d, not 1 to %d", j.Count, countLimit)
	bad.addIf(!(j.Size.Cores > 0), "size.cores is %v, not above 0", j.Size.Cores)
	bad.addIf(j.Size.Memory <= 0, "size.memory is %d, not above 0 bytes", j.Size.Memory)
	bad.addIf(j.Size.Accels < 0, "size.accels is %d, below 0", j.Size.Accels)
	bad.addIf(j.Time < 0, "time is %d ms, below 0", j.Time)
	bad.addIf(j.Urgency < 0 || j.Urgency > urgencyLimit, "urgency is %d, not 0 to %d", j.Urgency, urgencyLimit)
	bad.addIf(j.Racks < 0 || j.Racks > max(j.Count, 0), "racks is %d, not 0 to count (%d)", j.Racks, j.Count)
	return bad.err(KindJob)
}

// faults collects what is wrong with a record, so that one error names all of it.
type faults []string

func (f *faults) addIf(bad bool, format string, args ...any) {
	if bad {
		*f = append(*f, fmt.Sprintf(format, args...))
	}
}

func (f faults) err(k Kind) error {
	if len(f) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "%s: %s", k, strings.Join(f, "; "))
}
