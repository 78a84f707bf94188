package work

import (
	"fmt"
	"strings"
	"time"

	"gypsumlead/fault"
)

// Limits on one job.
const (
	MaxSpec  = 4000    // bytes of a job's spec, set by the callers' interface
	MaxSteps = 1000    // steps of a job
	MaxTasks = 100_000 // tasks of all steps of all occurrences
	idLen    = 16      // hexadecimal digits of a job's ID, set by the callers' interface
)

// Limits on times, so that their sums and products stay within the range of a duration.
const (
	MaxEstimate = 10 * 24 * time.Hour        // a longer estimate of a task counts as this one
	maxSpan     = 100 * 365 * 24 * time.Hour // from the first to the last occurrence
)

// ID identifies a job; callers choose it.
type ID string

// Valid reports whether callers may use the ID.
func (id ID) Valid() bool {
	return len(id) == idLen && strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// Resources is an amount of a runner's resources, as free or used by a runner or needed by a task.
type Resources struct {
	CPU int64 `json:"cpu,omitempty"` // thousandths of a core
	Mem int64 `json:"mem,omitempty"` // MB
	GPU int64 `json:"gpu,omitempty"` // number of GPUs
}

// Add returns the sum of the two amounts.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.Mem + b.Mem, a.GPU + b.GPU}
}

// Sub returns a minus b.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.Mem - b.Mem, a.GPU - b.GPU}
}

// Fits reports whether a fits into room.
func (a Resources) Fits(room Resources) bool {
	return a.CPU <= room.CPU && a.Mem <= room.Mem && a.GPU <= room.GPU
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count             int           `json:"count"`
	Resources         Resources     `json:"need"`             // of each task
	Estimate          time.Duration `json:"est,omitempty"`    // declared run time of a task, a rough estimate
	After             []int         `json:"after,omitempty"`  // steps whose tasks must all be done before this one starts
	Gang              bool          `json:"gang,omitempty"`   // the tasks only work when all of them run
	SameRack          bool          `json:"rack,omitempty"`   // slower by the remote factor if spread over several racks
	RequiredLabel     string        `json:"label,omitempty"`  // label that the runner must have
	PreferredRack     string        `json:"near,omitempty"`   // rack that holds the data; slower by the remote factor elsewhere
	MaxPerRunner      int           `json:"most,omitempty"`   // limit of the step's tasks on one runner; 0 is no limit
	Speculative       bool          `json:"copies,omitempty"` // speculative copies of a task may run at the same time
	Checkpointing     bool          `json:"saves,omitempty"`  // writes checkpoints
	LongRunning       bool          `json:"lasts,omitempty"`  // runs until the job is cancelled
	Image             string        `json:"image,omitempty"`  // tasks with the same image behave alike
	LatencyTarget     time.Duration `json:"target,omitempty"` // upper limit of the tail latency of a serving task
	BestEffort        bool          `json:"fills,omitempty"`  // uses only resources that other tasks leave free
	MaxUnavailable    int           `json:"miss,omitempty"`   // tasks that orders of the daemons may make unavailable at the same time
	HasMaxUnavailable bool          `json:"bound,omitempty"`  // MaxUnavailable is set
}

// Occupied returns what a task of the step takes of its runner's room: all that it needs, except the CPU of a best-effort
// task.
func (s *Step) Occupied() Resources {
	if s.BestEffort {
		return Resources{Mem: s.Resources.Mem, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Job is a job as a caller submitted it.
type Job struct {
	Spec      string        `json:"spec"`
	Steps     []Step        `json:"steps"`
	Repeat    int           `json:"turns,omitempty"` // number of occurrences; 0 is one that starts immediately
	Start     time.Time     `json:"start,omitzero"`  // when the first occurrence is due
	Interval  time.Duration `json:"every,omitempty"` // time between the starts of two occurrences
	Workspace string        `json:"ws,omitempty"`    // that submitted it; empty if its route needs no key
}

// Check returns an error of kind fault.Invalid that names the first problem of the job, or nil if it is valid.
func (j Job) Check() error {
	if len(j.Spec) > MaxSpec {
		return fault.New(fault.Invalid, "job: the spec has %d bytes, %d are allowed", len(j.Spec), MaxSpec)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.New(fault.Invalid, "job: %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repeat < 0 || j.Interval < 0 {
		return fault.New(fault.Invalid, "job: negative number of turns or interval")
	}
	if j.Interval > maxSpan/time.Duration(j.Occurrences()) {
		return fault.New(fault.Invalid, "job: interval of %v between %d occurrences, which is too long", j.Interval, j.Occurrences())
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks/j.Occurrences() {
		return fault.New(fault.Invalid, "job: %d tasks in each of %d occurrences, %d tasks are allowed", tasks, j.Occurrences(), MaxTasks)
	}
	return nil
}

// check returns an error that names the first problem of the step, which has the given index in its job, or nil.
func (s Step) check(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fault.New(fault.Invalid, "job: step %d: count %d", index, s.Count)
	case s.Resources.CPU < 0 || s.Resources.Mem < 0 || s.Resources.GPU < 0 || s.Estimate < 0 || s.MaxPerRunner < 0 || s.MaxUnavailable < 0 || s.LatencyTarget < 0:
		return fault.New(fault.Invalid, "job: step %d: negative number", index)
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= index {
			return fault.New(fault.Invalid, "job: step %d comes after step %d, which is no earlier one", index, dep)
		}
	}
	return nil
}

// LongRunning reports whether the job has a long-running step, and so runs until it is cancelled.
func (j Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns the number of occurrences, at least 1.
func (j Job) Occurrences() int {
	return max(1, j.Repeat)
}

// EarliestStart returns the time from which the tasks of an occurrence may start.
func (j Job) EarliestStart(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// CPUSeconds returns the total CPU time of all occurrences in core-seconds, according to the declared estimates.
func (j Job) CPUSeconds() float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(s.Resources.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum * float64(j.Occurrences())
}

// CriticalPath returns the longest sum of estimates along a chain of dependent steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		for _, dep := range s.After {
			ends[i] = max(ends[i], ends[dep])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Task identifies one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as used with runners.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepName returns the name of the task's step.
func (t Task) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTask parses a name returned by Task.String; ok is false for any other text.
func ParseTask(s string) (Task, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	t := Task{Job: ID(parts[0])}
	for i, dst := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, ok := parseNumber(parts[i+1])
		if !ok {
			return Task{}, false
		}
		*dst = n
	}
	return t, true
}

// parseNumber parses an unsigned decimal number of at most 9 digits.
func parseNumber(s string) (int, bool) {
	if s == "" || len(s) > 9 {
		return 0, false
	}
	n := 0
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}
