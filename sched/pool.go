package sched

import (
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/work"
)

// Pool is the scheduler of one service's runners. Its invariant: a task has at most one run at a time (two where
// speculative copies are allowed), none after it is done, and no new one while an earlier leader's run of it may
// still be in progress. It is not safe for concurrent use.
type Pool struct {
	leases              LeaseConfig
	leasesEnd           time.Time // beyond which no lease is extended; zero is no limit
	strategy            Strategy
	term                int
	token               int64     // fencing token of the term
	termStart           time.Time // when this leader took over
	version             int64     // of the configuration
	queues              map[string]work.Queue
	jobs                map[work.ID]*job
	live                []*job // jobs that aren't final, or that still have uncommitted changes or runs
	runners             map[string]*runner
	removed             map[string]removedRunner // runners that this leader has given a lease and removed since, by ID
	orphans             map[orphan]time.Time     // with the time of the last stop order
	seq                 int64                    // sequence number of the latest change of any job
	fenced              bool
	onViolation         func(error)
	onAbandon           func(AbandonedRun)
	onJobEnd            func(JobEnd)
	onHeldUp            func(HeldUp)
	onRestart           func(Restart)
	onOrphan            func(OrphanRun)
	caps                map[string]work.Resources // configured caps of workspaces
	allowances          map[string]work.Resources // what workspaces with caps may use in this pool
	workspaces          map[string]*workspace     // of known jobs
	endedInherited      []*job                    // jobs that ended under an earlier leader while they had runs
	onRackWait          func(RackWait)
	counts              counts
	checkInterval       time.Duration // between two checks of the invariants
	lastChecked         time.Time
	schedulableCPU      int64                     // millicores of schedulable runners for tasks that end
	leadershipConfirmed bool                      // as of the last plan: nobody else can have acquired leadership
	heldTasks           map[*task]struct{}        // tasks that aren't restarted until leadership is confirmed
	lostTrials          map[*task]struct{}        // tasks with a lost trial
	estimateRatios      map[string]*estimateRatio // by queue
	copyRecords         map[string]*copyRecord    // by queue
	copiesAssessedAt    time.Time                 // when slow runs were last looked for
	lastAssessed        time.Time
	arrivals            arrivals
	shares              shares
	backlog             backlog
	retaining           bool // some runners are marked as retained
	orders              []Order
	doneWithRuns        map[*task]struct{} // done tasks that had runs left, which are stopped
	planned             []*taskRun         // runs whose starts wait for the store to have their placements
	startsAllowed       bool               // runs may be planned and started
	storeAvailable      bool               // the store takes commits
	reserved            map[*runner]reservation
	approvalRequests    map[string]struct{} // steps with a request to the policy service that isn't answered
	unplaceable         []work.Resources    // needs that no runner had room for in this plan
	stopTime            time.Duration       // that runners take at the longest to stop a run
	remoteFactor        float64             // by which tasks are slower away from their rack
	outlook             *outlook            // of this plan; nil if no task may wait for a rack
	awaiting            []*step             // steps with tasks that the last plan let wait for a rack
	plannedAt           time.Time           // time of the last plan
	leastUrgentPriority int                 // largest priority number among preemptible runs in this plan
}

// orphan is a run that a runner lists and that belongs to no known task, or to a task that may not have it.
type orphan struct {
	runner string
	task   work.Task
	run    int
}

// Option configures a new Pool.
type Option func(*Pool)

// WithViolationHook sets the function that is called with each violation of an invariant.
func WithViolationHook(hook func(error)) Option {
	return func(p *Pool) { p.onViolation = hook }
}

// AbandonedRun describes a run that the pool stopped tracking although its runner hasn't listed its end.
type AbandonedRun struct {
	Task   work.Task
	Run    int
	Runner string
	Reason string
}

// WithAbandonHook sets the function that is called for each abandoned run.
func WithAbandonHook(hook func(AbandonedRun)) Option {
	return func(p *Pool) { p.onAbandon = hook }
}

// JobEnd describes a job whose final state has been committed.
type JobEnd struct {
	Workspace string // that submitted the job; empty if it has none
	Job       work.ID
	Queue     string
	State     work.State
	QueueTime time.Duration // from acceptance to the first start; zero if nothing started
	Elapsed   time.Duration // from acceptance to the end
	Class     Class         // empty if no workspaces are configured
	ShedFor   string        // why it was last shed rather than others: "excess", "share", or empty
	Objective time.Duration // longest Elapsed that counts as on time; set only for jobs with a single occurrence
}

// WithJobEndHook sets the function that is called once a job's final state is committed.
func WithJobEndHook(hook func(JobEnd)) Option {
	return func(p *Pool) { p.onJobEnd = hook }
}

// WithCheckInterval sets the interval between checks of the invariants.
func WithCheckInterval(d time.Duration) Option {
	return func(p *Pool) { p.checkInterval = d }
}

// New returns an empty pool for a leader whose term, counted from 1, starts now.
func New(now time.Time, term int, leases LeaseConfig, opts ...Option) *Pool {
	p := &Pool{
		leases:              leases,
		term:                term,
		termStart:           now,
		stopTime:            defaultStopTime,
		queues:              map[string]work.Queue{},
		jobs:                map[work.ID]*job{},
		runners:             map[string]*runner{},
		removed:             map[string]removedRunner{},
		orphans:             map[orphan]time.Time{},
		onViolation:         func(error) {},
		onAbandon:           func(AbandonedRun) {},
		onJobEnd:            func(JobEnd) {},
		onHeldUp:            func(HeldUp) {},
		onRestart:           func(Restart) {},
		onOrphan:            func(OrphanRun) {},
		workspaces:          map[string]*workspace{},
		onRackWait:          func(RackWait) {},
		counts:              newCounts(),
		checkInterval:       defaultCheckInterval,
		leadershipConfirmed: true,
		startsAllowed:       true,
		storeAvailable:      true,
		heldTasks:           map[*task]struct{}{},
		lostTrials:          map[*task]struct{}{},
		estimateRatios:      map[string]*estimateRatio{},
		copyRecords:         map[string]*copyRecord{},
		reserved:            map[*runner]reservation{},
		approvalRequests:    map[string]struct{}{},
		doneWithRuns:        map[*task]struct{}{},
		shares:              newShares(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetQueues replaces the queues of a version of the configuration. They may be sent to other pools: the jobs of a queue that was
// sent to this one before go by its newest terms, too.
func (p *Pool) SetQueues(version int64, queues []work.Queue) {
	p.version = version
	p.queues = map[string]work.Queue{}
	for _, q := range queues {
		p.queues[q.Name] = q // for jobs of earlier releases
	}
	for _, q := range queues {
		p.queues[q.Key()] = q
	}
	for _, j := range p.live {
		j.queue = p.newestTerms(j.queue)
	}
	p.limitWorkspaces()
}

// newestTerms returns the terms of a job's queue: the pool's own, unless the daemon that let the job in went by a newer
// configuration.
func (p *Pool) newestTerms(queue work.Queue) work.Queue {
	if own, ok := p.queues[queue.Key()]; ok && own.Version >= queue.Version {
		return own
	}
	return queue
}

// Accept adds a job that is already in the store. It does nothing if the job is known.
func (p *Pool) Accept(now time.Time, id work.ID, queue work.Queue, spec work.Job) {
	if _, ok := p.jobs[id]; ok {
		return
	}
	j := newJob(id, p.newestTerms(queue), spec, now)
	j.workspace = p.joinWorkspace(spec.Workspace, queue.Version)
	if j.workspace != nil {
		j.workspace.accepted(now)
	}
	p.jobs[id] = j
	p.live = append(p.live, j)
	if !spec.LongRunning() && !j.workspace.isHeldUp() {
		p.arrivals.add(now, spec.CPUSeconds()*1000)
		p.admit(j)
	}
}

// HasJob reports whether the job is known.
func (p *Pool) HasJob(id work.ID) bool {
	_, ok := p.jobs[id]
	return ok
}

// State returns a job's state as the store has it, or Running once a task has started. It returns false for an
// unknown job.
func (p *Pool) State(id work.ID) (work.State, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	if !j.committedState.Final() && j.started() {
		return work.Running, true
	}
	return j.committedState, true
}

// started reports whether a runner is known to have started a task of the job.
func (j *job) started() bool {
	return j.state == work.Running
}

// Pending counts the accepted jobs of the queue that haven't begun.
func (p *Pool) Pending(queue work.Queue) PendingJobs {
	var pending PendingJobs
	for _, j := range p.live {
		if !j.queue.Same(queue) || j.state != work.Queued {
			continue
		}
		pending.Jobs++
		if j.hasRuns() {
			pending.Placed++
		}
	}
	return pending
}

// PendingJobs counts jobs of which no runner is known to have started a task.
type PendingJobs struct {
	Jobs   int
	Placed int // those whose starts are planned, or were ordered and are not confirmed
}

// Cancel cancels a job unless it has ended. It returns false for an unknown job.
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

// close sets a job's final state. The next plan stops its runs.
func (p *Pool) close(j *job, s work.State, now time.Time) {
	j.state = s
	j.ended = now
	p.markChanged(j, now)
}

// markChanged records that a job has changes to commit.
func (p *Pool) markChanged(j *job, now time.Time) {
	p.seq++
	if j.changeSeq == j.committedSeq {
		j.dirtySince = now
	}
	j.changeSeq = p.seq
}

// Fenced reports whether a runner has refused this leader because it has seen a later one.
func (p *Pool) Fenced() bool { return p.fenced }

// prune removes from the live jobs those that are final, committed and without runs.
func (p *Pool) prune() {
	live := p.live[:0]
	for _, j := range p.live {
		if !j.state.Final() || j.changeSeq != j.committedSeq || j.hasRuns() {
			live = append(live, j)
		}
	}
	clear(p.live[len(live):])
	p.live = live
}

// hasRuns reports whether the job has a run in progress.
func (j *job) hasRuns() bool {
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// ForgetJobs drops committed jobs that ended before olderThan and have no runs, and returns their IDs.
func (p *Pool) ForgetJobs(olderThan time.Time) []work.ID {
	var ids []work.ID
	for id, j := range p.jobs {
		if j.committedState.Final() && j.changeSeq == j.committedSeq && j.ended.Before(olderThan) && !j.hasRuns() {
			ids = append(ids, id)
			delete(p.jobs, id)
			p.dropLostTrials(j)
			p.leaveWorkspace(j.workspace)
			p.endedInherited = slices.DeleteFunc(p.endedInherited, func(ended *job) bool { return ended == j })
		}
	}
	p.prune()
	return ids
}

// reportViolation reports a violation of an invariant.
func (p *Pool) reportViolation(format string, args ...any) {
	p.onViolation(fault.New(fault.InvariantViolated, format, args...))
}

// abandon drops a run whose runner hasn't listed its end. Without confirmed leadership the task is held: a later
// leader may have continued it.
func (p *Pool) abandon(now time.Time, run *taskRun, reason string) {
	p.counts.abandoned[reason]++
	if !p.leadershipConfirmed {
		run.task.held = true
		p.heldTasks[run.task] = struct{}{}
	}
	if run.trial {
		p.markChanged(run.task.step.job, now)
	}
	p.onAbandon(AbandonedRun{run.task.name, run.number, run.runner.ID, reason})
	run.task.removeRun(run, now)
}
