package sched

import (
	"time"

	"gypsumlead/fault"
	"gypsumlead/work"
)

// Pool is the scheduler of one service's runners. Its invariant: a task has one run at a time (two
// where copies are allowed), none after it is done, and none while an earlier holder's run may last.
// It isn't safe for use by several goroutines.
type Pool struct {
	bounds   LeaseConfig
	way      Strategy
	term     int
	began    time.Time // when this holder took over
	queues   map[string]work.Queue
	jobs     map[work.ID]*job
	live     []*job // not final
	runners  map[string]*runner
	strays   map[stray]time.Time // runs that nobody wants, by when they were last told to stop
	seq      int64
	fenced   bool
	breach   func(error)
	trace    func(AbandonedRun)
	over     func(JobEnd)
	counts   counts
	every    time.Duration // between two checks of the invariants
	checked  time.Time
	room     int64 // thousandths of a core of the runners that take work
	sure     bool  // at the last plan: nobody else can have taken the holder's place
	doubts   map[*task]struct{}
	learned  map[string]*ratio // by queue
	judged   time.Time
	arrived  arrivals
	keeping  bool // some runners are marked as those that stay
	orders   []Order
	reserved map[*runner]struct{}
	tight    []work.Resources // in this plan: needs for which no runner had room
	lowest   int              // in this plan: no run that may be displaced has a larger number of priority
}

// stray is a run of something that we don't know or want.
type stray struct {
	runner string
	task   work.Task
	run    int
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithViolationHook sets who is told of a broken invariant.
func WithViolationHook(report func(error)) Option {
	return func(p *Pool) { p.breach = report }
}

// AbandonedRun tells that a run is no longer counted on, though its runner hasn't listed its end.
type AbandonedRun struct {
	Task   work.Task
	Run    int
	Runner string
	Reason string
}

// WithAbandonHook sets who is told of such runs.
func WithAbandonHook(tell func(AbandonedRun)) Option {
	return func(p *Pool) { p.trace = tell }
}

// JobEnd tells that a job's end is stored.
type JobEnd struct {
	Job       work.ID
	Queue     string
	State     work.State
	QueueTime time.Duration // from its acceptance to its first start, zero where there was none
	Elapsed   time.Duration // from its acceptance to its end
	Objective time.Duration // within which it would have been in time
}

// WithJobEndHook sets who is told of such ends.
func WithJobEndHook(tell func(JobEnd)) Option {
	return func(p *Pool) { p.over = tell }
}

// WithCheckInterval sets the time between two checks of the invariants.
func WithCheckInterval(d time.Duration) Option {
	return func(p *Pool) { p.every = d }
}

// New returns a pool whose holder's tenure is the term-th, counted from 1, and began now.
func New(now time.Time, term int, b LeaseConfig, opts ...Option) *Pool {
	p := &Pool{
		bounds:   b,
		term:     term,
		began:    now,
		queues:   map[string]work.Queue{},
		jobs:     map[work.ID]*job{},
		runners:  map[string]*runner{},
		strays:   map[stray]time.Time{},
		breach:   func(error) {},
		trace:    func(AbandonedRun) {},
		over:     func(JobEnd) {},
		counts:   newCounts(),
		every:    checkEvery,
		sure:     true,
		doubts:   map[*task]struct{}{},
		learned:  map[string]*ratio{},
		reserved: map[*runner]struct{}{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetQueues sets the queues that the configuration sends to this pool.
func (p *Pool) SetQueues(queues []work.Queue) {
	p.queues = map[string]work.Queue{}
	for _, q := range queues {
		p.queues[q.Name] = q
	}
	for _, j := range p.live {
		if q, ok := p.queues[j.queue.Name]; ok {
			j.queue = q
		}
	}
}

// Accept takes in a job that the store has; the same ID again changes nothing.
func (p *Pool) Accept(now time.Time, id work.ID, queue work.Queue, spec work.Job) {
	if _, ok := p.jobs[id]; ok {
		return
	}
	if q, ok := p.queues[queue.Name]; ok {
		queue = q
	}
	j := newJob(id, queue, spec, now)
	p.jobs[id] = j
	p.live = append(p.live, j)
	if !spec.LongRunning() {
		p.arrived.add(now, spec.CPUSeconds()*1000)
	}
}

// HasJob tells whether the job has been accepted.
func (p *Pool) HasJob(id work.ID) bool {
	_, ok := p.jobs[id]
	return ok
}

// State returns a job's state as the store has it; ok is false for an unknown job.
func (p *Pool) State(id work.ID) (work.State, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	if !j.shown.Final() && j.began() {
		return work.Running, true
	}
	return j.shown, true
}

// began tells whether a task of the job has started.
func (j *job) began() bool {
	return j.state == work.Running
}

// Pending returns how many accepted jobs of the queue haven't begun.
func (p *Pool) Pending(queue string) int {
	n := 0
	for _, j := range p.live {
		if j.queue.Name == queue && j.state == work.Queued {
			n++
		}
	}
	return n
}

// Cancel stops a job for good; ok is false for an unknown job.
func (p *Pool) Cancel(now time.Time, id work.ID) bool {
	j, ok := p.jobs[id]
	if !ok {
		return false
	}
	if !j.state.Final() {
		p.close(j, work.Cancelled, now)
	}
	return true
}

// close gives a job its final state; what runs of it is stopped.
func (p *Pool) close(j *job, s work.State, now time.Time) {
	j.state = s
	j.ended = now
	p.touch(j, now)
}

// touch notes that a job has changed.
func (p *Pool) touch(j *job, now time.Time) {
	p.seq++
	if j.changed == j.saved {
		j.lazySince = now
	}
	j.changed = p.seq
}

// Fenced tells whether a runner has seen a later holder.
func (p *Pool) Fenced() bool { return p.fenced }

// prune forgets final jobs that nothing runs of and whose end the callers have had time to see.
func (p *Pool) prune() {
	live := p.live[:0]
	for _, j := range p.live {
		if !j.state.Final() || j.changed != j.saved || j.busy() {
			live = append(live, j)
		}
	}
	clear(p.live[len(live):])
	p.live = live
}

// busy tells whether a run of the job is left.
func (j *job) busy() bool {
	for _, t := range j.turns {
		for _, s := range t.steps {
			for _, x := range s.tasks {
				if len(x.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// ForgetJobs drops jobs whose end was committed before cut and returns their IDs.
func (p *Pool) ForgetJobs(cut time.Time) []work.ID {
	var ids []work.ID
	for id, j := range p.jobs {
		if j.shown.Final() && j.changed == j.saved && j.ended.Before(cut) && !j.busy() {
			ids = append(ids, id)
			delete(p.jobs, id)
		}
	}
	p.prune()
	return ids
}

// report tells of a broken invariant.
func (p *Pool) report(format string, args ...any) {
	p.breach(fault.New(fault.InvariantViolated, format, args...))
}

// giveUp drops a run whose runner hasn't listed its end.
func (p *Pool) giveUp(now time.Time, x *run, why string) {
	p.counts.givenUp[why]++
	if !p.sure {
		x.task.doubt = true
		p.doubts[x.task] = struct{}{}
	}
	p.trace(AbandonedRun{x.task.name, x.n, x.r.ID, why})
	x.task.drop(x, now)
}
