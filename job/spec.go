package job

import (
	"slices"
	"time"

	"gypsumlead/record"
)

// Spec is an accepted record of a job.
type Spec struct {
	Name    string
	Version int64
	record.Job
}

// View is what the accepted configuration says about a pool of workers.
type View struct {
	Version int64                  // sequence number of the newest change that is in it
	Members []string               // workers of the pool
	Jobs    []Spec                 // sorted by version, so that older ones come first
	Teams   map[string]record.Team //
}

// Phase is where a job stands.
type Phase string

// The phases of a job.
const (
	Open      Phase = "open"
	Refused   Phase = "refused"   // can never run as things stand; looked at again when they change
	Complete  Phase = "complete"  // every task is done or dropped
	Cancelled Phase = "cancelled" // by its record, or by the record's deletion
	Bad       Phase = "bad"       // failed on workers that run others
)

// Job is a job's progress in a pool.
type Job struct {
	Name     string    `json:"name"`
	Born     int64     `json:"born"` // version of the first record that was seen
	Team     string    `json:"team"`
	Phase    Phase     `json:"phase"`
	Why      string    `json:"why,omitempty"`
	Urgent   bool      `json:"urgent,omitempty"`
	Declared Amount    `json:"declared"`
	Estimate Estimate  `json:"estimate"`
	Evidence Evidence  `json:"evidence"`
	Ended    int       `json:"ended,omitempty"` // tasks done or dropped
	Done     int       `json:"done,omitempty"`
	Came     time.Time `json:"came"` // when it was first seen
	First    time.Time `json:"first,omitzero"`

	Spec    Spec `json:"-"`
	here    bool // its record is in force
	chunks  map[int]*Chunk
	order   []int          // numbers of chunks, in the order they were made
	queue   []*Task        // waiting for another try
	fresh   int            // lowest index that was never started
	held    int            // tasks that hold a size
	off     int            // tasks that wait for a verdict
	racks   map[string]int // tasks that hold a size, by rack
	guess   Amount         // size guaranteed to the next try
	stuck   string         // why its tasks wait, for the audit trail
	shrunk  Amount         // guess that the running tasks were last lowered to
	facts   facts          // that the last verdict was made from
	longest time.Duration  // that any of its tries was reported to have run without failing
	stuckAt time.Time
	soft    bool      // estimate or evidence changed, which a new holder could learn again
	wrote   time.Time // when its row was last written
	dirty   bool
}

// Evidence is what speaks for and against a job.
type Evidence struct {
	Good  int      `json:"good"`            // tasks that succeeded
	Fails []Strike `json:"fails,omitempty"` // newest failures since the last success
	Bad   int      `json:"bad,omitempty"`   // failures in all, but those on quarantined workers
}

// Strike is one failure of a task on a worker.
type Strike struct {
	Job    string        `json:"job,omitempty"`
	Worker string        `json:"worker,omitempty"`
	At     time.Time     `json:"at"`
	Ran    time.Duration `json:"ran,omitempty"`
	Clear  bool          `json:"clear,omitempty"` // the worker has run another job well since
}

func newJob(s Spec, now time.Time) *Job {
	return &Job{
		Name: s.Name, Born: s.Version, Team: s.Team, Phase: Open, Declared: amountOf(s.Size), Came: now,
		Spec: s, here: true, chunks: map[int]*Chunk{}, racks: map[string]int{}, dirty: true,
	}
}

// pending returns how many tasks could be started.
func (j *Job) pending() int {
	if j.Phase != Open {
		return 0
	}
	return len(j.queue) + max(j.Spec.Count-j.fresh, 0)
}

// busy tells whether any try can still be running or waits for its verdict.
func (j *Job) busy() bool {
	return j.held+j.off > 0
}

// isKnown tells whether a task of the job has shown that it can run.
func (j *Job) isKnown() bool {
	return j.Evidence.Good > 0 || len(j.Estimate.Memory.Ratios) > 0
}

// chunk returns the chunk of a task's index.
func (j *Job) chunk(index int) *Chunk {
	n := index / chunkSize
	c := j.chunks[n]
	if c == nil {
		c = &Chunk{number: n}
		j.chunks[n] = c
		j.order = append(j.order, n)
	}
	return c
}

// next takes the task to be started next: one that was cut off before, else one never started.
func (j *Job) next(now time.Time) *Task {
	if i := j.ready(now); i >= 0 {
		t := j.queue[i]
		j.queue = slices.Delete(j.queue, i, i+1)
		return t
	}
	t := &Task{Index: j.fresh, State: Waiting, job: j}
	c := j.chunk(t.Index)
	c.Tasks = append(c.Tasks, t)
	j.fresh++
	return t
}

// peek returns the task that next would take, without taking it.
func (j *Job) peek(now time.Time) *Task {
	if i := j.ready(now); i >= 0 {
		return j.queue[i]
	}
	if j.fresh >= j.Spec.Count {
		return nil
	}
	return &Task{Index: j.fresh, State: Waiting, job: j}
}

// ready returns the place in the queue of the first task whose pause after a failure is over, or -1.
func (j *Job) ready(now time.Time) int {
	return slices.IndexFunc(j.queue, func(t *Task) bool { return !now.Before(t.Ready) })
}

// rackLimit returns how many tasks may be in one rack.
func (j *Job) rackLimit() int {
	if j.Spec.Racks < 2 {
		return j.Spec.Count
	}
	return (j.Spec.Count + j.Spec.Racks - 1) / j.Spec.Racks
}
