package job

import (
	"fmt"
	"slices"
	"time"

	"gypsumlead/fault"
)

const avoidLimit = 4 // workers that a task remembers to have failed on

// Task is one task of a job; at most one of its tries can be running at any moment.
type Task struct {
	Index  int       `json:"index"`
	State  State     `json:"state"`
	Try    int       `json:"try,omitempty"` // number of the newest try
	Worker string    `json:"worker,omitempty"`
	Boot   string    `json:"boot,omitempty"`
	Rack   string    `json:"rack,omitempty"`
	Seen   time.Time `json:"seen,omitzero"`  // when the platform had heard of the worker under Boot
	Began  time.Time `json:"began,omitzero"` // when the try was decided on
	Until  time.Time `json:"until,omitzero"` // latest end of a lost try's lease
	Size   Amount    `json:"size,omitzero"`  // guaranteed on the worker
	Fails  int       `json:"fails,omitempty"`
	Stops  int       `json:"stops,omitempty"` // how often it was displaced
	Avoid  []string  `json:"avoid,omitempty"` // workers that it failed on
	Ready  time.Time `json:"ready,omitzero"`  // earliest next try after a failure
	Why    string    `json:"why,omitempty"`   // why it is stopped or was dropped

	id   string
	job  *Job
	live volatile
}

// volatile is what a holder knows of a try beyond the table's row; a new holder learns it again.
type volatile struct {
	sent    time.Time // when the pending effect was last sent
	started bool      // the start was acknowledged or the try was reported
	fresh   bool      // this holder decided on the try and has not sent it yet
	since   time.Time // start of the present state
	until   time.Time // end of the lease that the worker was last told
	ran     time.Duration
	at      time.Time // of the newest report
	peak    Amount    // most that was reported as used
	sampled bool      // the peak stands in the job's estimate
	proved  bool      // ran long enough to speak for its worker
}

// ID returns the name of the try; it is never used again, also when a job of the same name is made anew.
func (t *Task) ID() string {
	return t.id
}

// name makes the ID of the newest try.
func (t *Task) name() {
	t.id = fmt.Sprintf("%s.%d.%d.%d", t.job.Name, t.job.Born, t.Index, t.Try)
}

// enter moves the task by the table of states.
func (t *Task) enter(in Input, now time.Time) error {
	next, ok := transitions[t.State][in]
	if !ok {
		return fault.New(fault.Breach, "task %s: input %s in state %s", t.ID(), in, t.State)
	}
	if next != t.State {
		t.live.since = now
		t.live.sent = time.Time{}
	}
	t.State = next
	return nil
}

// avoid remembers a worker that the task failed on.
func (t *Task) avoid(worker string) {
	if slices.Contains(t.Avoid, worker) {
		return
	}
	if len(t.Avoid) == avoidLimit {
		t.Avoid = slices.Delete(t.Avoid, 0, 1)
	}
	t.Avoid = append(t.Avoid, worker)
}

// isRepeatable tells whether another try may follow one that was cut off.
func (t *Task) isRepeatable() bool {
	return t.job.Spec.Restart || t.job.Spec.Save
}

// lostWork returns what stopping the task throws away, in core-seconds.
func (t *Task) lostWork(now time.Time) float64 {
	return float64(t.Size.Milli) / milli * now.Sub(t.Began).Seconds()
}
