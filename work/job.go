package work

import (
	"fmt"
	"strings"
	"time"

	"gypsumlead/fault"
)

// Limits on what one job may ask for.
const (
	MaxSpec  = 4000    // bytes of a job's spec, from the callers' interface
	MaxSteps = 1000    // steps of a job
	MaxTasks = 100_000 // tasks of all steps of one turn
	idLen    = 16      // hexadecimal digits of a job's ID, from the callers' interface
)

// ID names a job; callers choose it.
type ID string

// Valid tells whether the ID is one that a caller may choose.
func (id ID) Valid() bool {
	return len(id) == idLen && strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// Resources is an amount of a runner's resources.
type Resources struct {
	CPU int64 `json:"cpu,omitempty"` // thousandths of a core
	Mem int64 `json:"mem,omitempty"` // MB
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum of the two amounts.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.Mem + b.Mem, a.GPU + b.GPU}
}

// Sub returns what is left of a without b.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.Mem - b.Mem, a.GPU - b.GPU}
}

// Fits tells whether a fits into room.
func (a Resources) Fits(room Resources) bool {
	return a.CPU <= room.CPU && a.Mem <= room.Mem && a.GPU <= room.GPU
}

// Step is a number of like tasks of a job.
type Step struct {
	Count             int           `json:"count"`
	Resources         Resources     `json:"need"`             // of each task
	Estimate          time.Duration `json:"est,omitempty"`    // declared run time of a task; rough
	After             []int         `json:"after,omitempty"`  // steps whose tasks must all be done before
	Gang              bool          `json:"gang,omitempty"`   // the tasks work only all together
	SameRack          bool          `json:"rack,omitempty"`   // slower by the remote factor when spread over racks
	RequiredLabel     string        `json:"label,omitempty"`  // label that the runner must have
	PreferredRack     string        `json:"near,omitempty"`   // rack of the data; slower by the remote factor elsewhere
	MaxPerRunner      int           `json:"most,omitempty"`   // tasks of the step on one runner; 0 is no limit
	Speculative       bool          `json:"copies,omitempty"` // copies may run at the same time
	Checkpointing     bool          `json:"saves,omitempty"`  // makes checkpoints
	LongRunning       bool          `json:"lasts,omitempty"`  // runs until the job is cancelled
	Image             string        `json:"image,omitempty"`  // tasks of one image behave alike
	LatencyTarget     time.Duration `json:"target,omitempty"` // bound on the tail latency of a serving task
	BestEffort        bool          `json:"fills,omitempty"`  // takes only what the other tasks leave
	MaxUnavailable    int           `json:"miss,omitempty"`   // tasks that may be away at once by our own orders
	HasMaxUnavailable bool          `json:"bound,omitempty"`  // MaxUnavailable was given
}

// Job is what a caller handed in.
type Job struct {
	Spec     string        `json:"spec"`
	Steps    []Step        `json:"steps"`
	Repeat   int           `json:"turns,omitempty"` // how often the steps run; 0 is once, at once
	Start    time.Time     `json:"start,omitzero"`  // when the first turn is due
	Interval time.Duration `json:"every,omitempty"` // time between two turns
}

// Check returns an error of kind fault.Invalid that names the first thing wrong with the job.
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
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return fault.New(fault.Invalid, "job: %d tasks, %d are allowed", tasks, MaxTasks)
	}
	return nil
}

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

// LongRunning tells whether the job runs until it is cancelled.
func (j Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns the number of turns, 1 at least.
func (j Job) Occurrences() int {
	return max(1, j.Repeat)
}

// EarliestStart returns when a turn's tasks may first start.
func (j Job) EarliestStart(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// CPUSeconds returns the CPU time in core-seconds that the declared estimates add up to.
func (j Job) CPUSeconds() float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(s.Resources.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum * float64(j.Occurrences())
}

// CriticalPath returns the longest sum of estimates over steps that wait for each other.
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

// Task names one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that runners know the task by.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepName returns the name of the task's step.
func (t Task) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTask reads the name of a task; ok is false for any other text.
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

// number reads a decimal number without sign.
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
