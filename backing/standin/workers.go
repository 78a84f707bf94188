package standin

import (
	"context"
	"slices"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// keepEnded is for how long the reports show a task that has ended.
const keepEnded = 10 * time.Minute

// Workers is the stand-in's interface to workers, which run tasks on the platform's clock.
type Workers struct {
	gate  *gate
	fleet *fleet
}

// Workers returns the workers as they were a lag ago.
func (s *Workers) Workers(ctx context.Context) ([]backing.Worker, error) {
	var list []backing.Worker
	err := s.gate.read(ctx, "list workers", func() error {
		list = s.fleet.workers(func(n *node) bool { return n.Role == backing.RoleWorker })
		s.gate.count(Counts{Rows: int64(len(list))})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

// Start starts a task under its epoch and lease.
func (s *Workers) Start(ctx context.Context, t backing.Task) error {
	return s.gate.write(ctx, "start task "+t.ID, func() error { return s.fleet.start(t) })
}

// Act does act to a task under the holder's epoch.
func (s *Workers) Act(ctx context.Context, id string, epoch int64, act backing.TaskAct, until time.Time) error {
	return s.gate.write(ctx, string(act)+" task "+id, func() error { return s.fleet.act(id, epoch, act, until) })
}

// Reports returns the lagging reports of a worker's tasks, in the order they were started.
func (s *Workers) Reports(ctx context.Context, worker string) ([]backing.Report, error) {
	var list []backing.Report
	err := s.gate.read(ctx, "read reports of "+worker, func() error {
		var err error
		list, err = s.fleet.reports(worker)
		s.gate.count(Counts{Rows: int64(len(list))})
		return err
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

// Profile is what the tasks of a job really take, whatever the job declares.
type Profile struct {
	Used  backing.Size  `json:"used"`           // zero: as declared
	Run   time.Duration `json:"run"`            // zero: until it is stopped
	Fail  time.Duration `json:"fail,omitempty"` // fails after so long; zero: never
	Never bool          `json:"never"`          // fails at once on every worker
}

// SetProfile sets what tasks of job take that are started from now on.
func (p *Platform) SetProfile(job string, pr Profile) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.profiles[job] = pr
}

// SetBad makes every task started on the worker fail after the time given; zero makes the worker good again.
func (p *Platform) SetBad(worker string, after time.Duration) error {
	return p.fleet.change(worker, func(n *node) { n.bad = after })
}

// Tasks returns what a worker runs and ran as it is now, without the reports' lag.
func (p *Platform) Tasks(worker string) []backing.Report {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[worker]
	if n == nil {
		return nil
	}
	return n.reports(f.now())
}

// Starts returns how often a task of that ID was really started: 0 or 1.
func (p *Platform) Starts(id string) int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.tasks[id] == nil {
		return 0
	}
	return 1
}

func (f *fleet) start(t backing.Task) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.find(t.Worker, t.Boot)
	if err != nil {
		return err
	}
	now := f.now()
	if n.dead || !n.upAt.IsZero() {
		return fault.New(fault.StoreDown, "start task %s: worker %s does not answer", t.ID, t.Worker)
	}
	if err := n.fence(t.Job, t.Epoch); err != nil {
		return err
	}
	if f.tasks[t.ID] != nil {
		return nil
	}
	if !t.Until.After(now) {
		return fault.New(fault.Fenced, "start task %s: its lease ended at %s", t.ID, t.Until)
	}
	f.forget(n, now)
	k := newTask(t, now, f.profiles[t.Job], n.bad)
	if !n.fits(k, now) {
		k.end(now, backing.TaskFailed)
	}
	f.tasks[t.ID] = k
	n.tasks = append(n.tasks, k)
	return nil
}

func (f *fleet) act(id string, epoch int64, act backing.TaskAct, until time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.tasks[id]
	if k == nil {
		return fault.New(fault.Missing, "there is no task %s", id)
	}
	n := f.nodes[k.Worker]
	if n == nil {
		return errNoInstance(k.Worker)
	}
	f.settle(n)
	if n.dead || !n.upAt.IsZero() {
		return fault.New(fault.StoreDown, "%s task %s: worker %s does not answer", act, id, k.Worker)
	}
	if err := n.fence(k.Job, epoch); err != nil {
		return err
	}
	return k.act(f.now(), act, until, f.saveTime)
}

func (f *fleet) reports(worker string) ([]backing.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[worker]
	if n == nil {
		return nil, errNoInstance(worker)
	}
	f.forget(n, f.now())
	cut := f.now().Add(-f.reportLag)
	if n.dead && n.Seen.Before(cut) {
		cut = n.Seen
	}
	return n.reports(cut), nil
}

// forget drops tasks that ended long ago; a late start of one is refused for its lease.
func (f *fleet) forget(n *node, now time.Time) {
	n.tasks = slices.DeleteFunc(n.tasks, func(k *task) bool {
		end, ok := k.ended()
		old := ok && now.Sub(end) > keepEnded+f.reportLag && now.After(k.Until)
		if old {
			delete(f.tasks, k.ID)
		}
		return old
	})
}

// fence refuses an epoch lower than the highest seen for the job, and remembers a higher one.
func (n *node) fence(job string, epoch int64) error {
	if seen := n.epoch[job]; epoch < seen {
		return fault.New(fault.Fenced, "worker %s has seen epoch %d of job %s, not %d", n.ID, seen, job, epoch)
	}
	n.epoch[job] = epoch
	return nil
}

// fits tells whether memory and accelerators are left for k; processors are shared by all tasks.
func (n *node) fits(k *task, now time.Time) bool {
	sum := k.used
	for _, o := range n.tasks {
		if st := o.state(now); st == backing.TaskRunning || st == backing.TaskThrottled {
			sum.Memory += o.used.Memory
			sum.Accels += o.used.Accels
		}
	}
	return sum.Memory <= n.Total.Memory && sum.Accels <= n.Total.Accels
}

// endTasks stops everything that runs on the instance.
func (n *node) endTasks(now time.Time) {
	for _, k := range n.tasks {
		k.end(now, backing.TaskStopped)
	}
}

func (n *node) reports(at time.Time) []backing.Report {
	list := make([]backing.Report, 0, len(n.tasks))
	for _, k := range n.tasks {
		if !k.begun.After(at) {
			list = append(list, k.report(at))
		}
	}
	return list
}
