package jobtrial

import (
	"context"
	"strings"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
)

// Watch sees every start on the workers and checks it against what truly runs.
type Watch struct {
	inner   backing.Workers
	truth   *standin.Platform
	clock   *Clock
	tries   map[string][]backing.Task // by task, without the number of the try
	begun   map[string]time.Time      // first start of a task
	Doubled int                       // starts while another try of the task ran
	Starts  int
}

// NewWatch returns a watch over the stand-in's workers.
func NewWatch(p *standin.Platform, clock *Clock) *Watch {
	return &Watch{
		inner: p.Workers, truth: p, clock: clock,
		tries: map[string][]backing.Task{}, begun: map[string]time.Time{},
	}
}

// Start passes the start on and looks at whether another try of the same task runs.
func (w *Watch) Start(ctx context.Context, t backing.Task) error {
	before := w.truth.Starts(t.ID)
	err := w.inner.Start(ctx, t)
	if before == w.truth.Starts(t.ID) {
		return err
	}
	w.Starts++
	key := taskKey(t.ID)
	if w.begun[key].IsZero() {
		w.begun[key] = w.clock.Now()
	}
	for _, o := range w.tries[key] {
		if w.isOn(o) {
			w.Doubled++
		}
	}
	w.tries[key] = append(w.tries[key], t)
	return err
}

// Workers passes the list on.
func (w *Watch) Workers(ctx context.Context) ([]backing.Worker, error) {
	return w.inner.Workers(ctx)
}

// Act passes the act on.
func (w *Watch) Act(ctx context.Context, task string, epoch int64, act backing.TaskAct, until time.Time) error {
	return w.inner.Act(ctx, task, epoch, act, until)
}

// Reports passes the reports on.
func (w *Watch) Reports(ctx context.Context, worker string) ([]backing.Report, error) {
	return w.inner.Reports(ctx, worker)
}

// taskKey drops the number of the try.
func taskKey(id string) string {
	return id[:strings.LastIndexByte(id, '.')]
}

func (w *Watch) isOn(t backing.Task) bool {
	for _, r := range w.truth.Tasks(t.Worker) {
		if r.Task == t.ID {
			return r.State == backing.TaskRunning || r.State == backing.TaskThrottled
		}
	}
	return false
}
