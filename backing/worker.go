package backing

import (
	"context"
	"time"
)

// Size is an amount of a worker's resources.
type Size struct {
	Cores  float64 `json:"cores"`
	Memory int64   `json:"memory"` // bytes
	Accels int     `json:"accels"` // whole accelerators
}

// Worker is an instance that runs tasks.
type Worker struct {
	Instance
	Total Size `json:"total"`
}

// Task is one run of a job on a worker, held under a lease.
type Task struct {
	ID     string    `json:"id"` // one try of one task of a job
	Job    string    `json:"job"`
	Team   string    `json:"team"`
	Worker string    `json:"worker"`
	Boot   string    `json:"boot"` // the worker's boot that the task may start on
	Size   Size      `json:"size"`
	Epoch  int64     `json:"epoch"` // the fencing epoch of the holder that started it
	Until  time.Time `json:"until"` // end of the task's lease; the worker stops the task by then
}

// TaskState is what a worker reports of a task.
type TaskState string

// The states of a task.
const (
	TaskRunning   TaskState = "running"
	TaskThrottled TaskState = "throttled"
	TaskSaved     TaskState = "saved" // checkpointed and off the worker
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
)

// Report is a worker's lagging account of one task.
type Report struct {
	Task  string        `json:"task"`
	Job   string        `json:"job"`
	State TaskState     `json:"state"`
	Used  Size          `json:"used"`
	Ran   time.Duration `json:"ran"`
	At    time.Time     `json:"at"`
}

// TaskAct is something to be done to a task.
type TaskAct string

// The acts on a task.
const (
	ActThrottle   TaskAct = "throttle"
	ActCheckpoint TaskAct = "checkpoint"
	ActStop       TaskAct = "stop"
	ActRenew      TaskAct = "renew"
)

// Workers is the platform's interface to the workers.
type Workers interface {
	// Workers returns the workers as the platform last heard of them.
	Workers(ctx context.Context) ([]Worker, error)
	// Start starts a task; repeating the same task ID starts nothing, and a lower epoch than
	// the worker has seen for the job is refused with fault.Fenced.
	Start(ctx context.Context, t Task) error
	// Act does act to the task under the holder's epoch; until is the new end of a renewed lease.
	Act(ctx context.Context, task string, epoch int64, act TaskAct, until time.Time) error
	// Reports returns the reports of the tasks of a worker.
	Reports(ctx context.Context, worker string) ([]Report, error)
}
