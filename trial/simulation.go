package trial

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// Times of a simulation.
const (
	tick         = 50 * time.Millisecond
	cooldownTime = 20 * time.Second // time for the remaining jobs to end after the last arrival
	leaseTTL     = 4500 * time.Millisecond
)

// Objective of the simulated queue: a job is on time if it takes at most slackFactor times its longest chain of steps
// plus baseObjective.
const (
	slackFactor   = 1.6
	baseObjective = 600 * time.Millisecond
)

// Result summarizes a simulation from the callers' side.
type Result struct {
	Workload         string  `json:"load"`
	Strategy         string  `json:"way"`
	Seed             uint64  `json:"seed"`
	Submitted        int     `json:"asked"`
	OnTime           int     `json:"intime"`
	Late             int     `json:"late"` // completed after the objective, but within three times the objective
	OnTimeShare      float64 `json:"share"`
	LargeOnTimeShare float64 `json:"large"` // OnTimeShare of the largest tenth of the jobs
	Worth            float64 `json:"worth"` // share earned of what the jobs are worth; see worth
	MedianLatency    string  `json:"median"`
	MaxLatency       string  `json:"worst"`
	WastedShare      float64 `json:"wasted"` // share of the core time spent on runs that did not complete
	Violations       int     `json:"broken"`
	WorkspaceShare   float64 `json:"spaces,omitempty"`  // mean of OnTimeShare of the workspaces, without the one that sends a flood
	WorstSpaces      float64 `json:"poorest,omitempty"` // OnTimeShare of the worst tenth of these
}

// simRunner is a simulated runner that executes every order.
type simRunner struct {
	info    work.Runner
	runs    map[work.Task]*execution
	ends    []work.RunEnd
	lastEnd int64
	dead    bool
	joinsAt time.Duration
	joined  bool
}

// execution is a run on a simRunner.
type execution struct {
	run       int
	startedAt time.Time
	endsAt    time.Time
	cpu       int64 // millicores
}

// simulation is the state of one simulation.
type simulation struct {
	workload       Workload
	rand           *rand.Rand
	pool           *sched.Pool
	now            time.Time
	clock          time.Duration // time since the start, also the runners' clock
	runners        []*simRunner
	jobs           map[work.ID]arrival
	onTime         map[work.ID]struct{}
	submittedAt    map[work.ID]time.Time
	result         Result
	latencies      []time.Duration
	largeCount     int               // jobs in the largest tenth
	largeOnTime    int               // of these, completed on time
	largeThreshold float64           // minimum core-seconds of a job in the largest tenth
	meanSize       float64           // core-seconds of a job
	earned         float64           // worth of the jobs that ended on time or late
	stepRacks      map[stepID]string // of steps whose tasks belong in one rack
	usedCoreTime   float64           // core-seconds of all runs
	wastedCoreTime float64           // core-seconds of runs that did not complete
}

// Run simulates the named workload under the named scheduling strategy. An unknown name is a fault.Missing.
func Run(workload, strategyName string, seed uint64) (Result, error) {
	if !slices.Contains(Workloads, workload) {
		return Result{}, fault.New(fault.Missing, "there is no load %q; there are %v", workload, Workloads)
	}
	strategy, ok := strategyOf(strategyName)
	if !ok {
		return Result{}, fault.New(fault.Missing, "there is no way %q of deciding", strategyName)
	}
	s := newSimulation(newWorkload(workload, seed), strategy, seed)
	s.result.Strategy = strategyName
	if strategyName != withoutShares {
		s.pool.SetWorkspaces(s.workload.weights, 1)
	}
	s.run()
	return s.summarize(), nil
}

// withoutShares names the default strategy as it is without workspaces in the configuration.
const withoutShares = "noshares"

// strategyOf returns the strategy with the given name.
func strategyOf(name string) (sched.Strategy, bool) {
	if name == withoutShares {
		return sched.DeadlineAware, true
	}
	strategy, ok := sched.Strategies[name]
	return strategy, ok
}

func newSimulation(workload Workload, strategy sched.Strategy, seed uint64) *simulation {
	s := &simulation{
		workload: workload, rand: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_800_000_000, 0).UTC(),
		jobs: map[work.ID]arrival{}, onTime: map[work.ID]struct{}{}, submittedAt: map[work.ID]time.Time{}, stepRacks: map[stepID]string{},
		result: Result{Workload: workload.Name, Seed: seed},
	}
	countViolation := func(error) { s.result.Violations++ }
	s.pool = sched.New(s.now, 1, sched.LeaseConfig{TTL: leaseTTL}, sched.WithStrategy(strategy), sched.WithRemoteFactor(workload.remoteFactor), sched.WithViolationHook(countViolation), sched.WithJobEndHook(s.jobFinished))
	for i := range workload.Machines {
		r := &simRunner{runs: map[work.Task]*execution{}, info: work.Runner{
			ID: fmt.Sprintf("r%03d", i), Machine: fmt.Sprintf("m%03d", i), Service: "s", Leaves: -1, Born: 1,
			Room: work.Resources{CPU: workload.CoresPerMachine * 1000, Mem: workload.CoresPerMachine << 12}, Labels: []string{"plain", fmt.Sprintf("rack%d", i/rackSize)},
		}}
		s.runners = append(s.runners, r)
		r.joinsAt = joinsAt(workload, i)
	}
	var sizes []float64
	for _, a := range workload.arrivals {
		sizes = append(sizes, a.coreSeconds())
		s.meanSize += a.coreSeconds() / float64(len(workload.arrivals))
	}
	slices.Sort(sizes)
	s.largeThreshold = sizes[len(sizes)*9/10]
	return s
}

// joinsAt returns when the machine with an index joins the pool.
func joinsAt(workload Workload, i int) time.Duration {
	if i < workload.firstMachines {
		return 0
	}
	position := float64(i-workload.firstMachines) / float64(workload.Machines-workload.firstMachines)
	return machinesFrom + time.Duration(position*float64(machinesUntil-machinesFrom))
}

// worth returns what a job is worth that ends on time: part of it is the same for every job, the rest grows with its size.
func (s *simulation) worth(a arrival) float64 {
	return min(4, 0.3+0.7*a.coreSeconds()/s.meanSize)
}

// lateWorth is what a job earns that ends late, relative to one on time.
const lateWorth = 0.07

// run simulates until cooldownTime after the last arrivals.
func (s *simulation) run() {
	queue := work.Queue{Name: "q", Service: "s", Attempts: 3, Slack: slackFactor, Aim: baseObjective}
	next := 0
	for s.clock < s.workload.span+cooldownTime {
		for next < len(s.workload.arrivals) && s.workload.arrivals[next].at <= s.clock {
			id := work.ID(fmt.Sprintf("%016x", next+1))
			s.jobs[id], s.submittedAt[id] = s.workload.arrivals[next], s.now
			s.pool.Accept(s.now, id, queue, s.workload.arrivals[next].spec)
			s.result.Submitted++
			next++
		}
		s.step()
	}
}

// step advances the simulation by one tick: runs end, polls are answered, ends are committed and orders are executed.
func (s *simulation) step() {
	s.now, s.clock = s.now.Add(tick), s.clock+tick
	if at := s.workload.leaderLostAt; at > 0 && s.clock >= at && s.clock < at+leaderGap {
		return
	}
	for i, r := range s.runners {
		if s.clock < r.joinsAt {
			continue
		}
		if !r.joined {
			r.joined = true
			s.pool.UpdateRunner(s.now, r.info)
		}
		if s.workload.rackLostAt > 0 && s.clock >= s.workload.rackLostAt && i < rackSize && !r.dead {
			r.dead = true
			for _, e := range r.runs {
				s.addCoreTime(e, s.now, true)
			}
			s.pool.MarkUnlisted(s.now, r.info.ID)
		}
		if r.dead {
			s.pool.HandlePollFailure(s.now, r.info.ID)
			continue
		}
		s.poll(r)
	}
	// The starts of the first plan are ordered by the second one, once their placements are stored.
	for range 2 {
		s.pool.MarkCommitted(s.now, s.pool.UncommittedBatch(s.now, len(s.jobs), true))
		for _, o := range s.pool.Plan(s.now, s.now, true) {
			s.execute(o)
		}
	}
}

// poll ends the runs of a runner that have finished and passes the poll's result to the scheduler.
func (s *simulation) poll(r *simRunner) {
	result := work.PollResult{Clock: s.clock}
	for _, task := range r.tasks() {
		current := r.runs[task]
		if s.now.Before(current.endsAt) {
			percent := int(100 * s.now.Sub(current.startedAt) / current.endsAt.Sub(current.startedAt))
			result.Runs = append(result.Runs, work.Run{Task: task, Run: current.run, Percent: percent})
			continue
		}
		s.end(r, task, work.EndDone)
	}
	result.Ends = r.ends
	s.pool.PollSent(s.now, r.info.ID, 0)
	s.pool.ExtendLease(s.now, r.info.ID)
	s.pool.HandlePollResult(s.now, r.info.ID, s.now, s.pool.Fence(r.info.ID), result)
	acked := s.pool.AckCursor(r.info.ID)
	r.ends = slices.DeleteFunc(r.ends, func(e work.RunEnd) bool { return e.N <= acked })
}

// tasks returns the tasks running on the runner in a deterministic order.
func (r *simRunner) tasks() []work.Task {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b work.Task) int { return cmp.Compare(a.String(), b.String()) })
}

// end ends a run, and keeps the RunEnd until the scheduler acknowledges it.
func (s *simulation) end(r *simRunner, task work.Task, reason work.EndReason) {
	ended := r.runs[task]
	delete(r.runs, task)
	r.lastEnd++
	r.ends = append(r.ends, work.RunEnd{N: r.lastEnd, Task: task, Run: ended.run, Reason: reason})
	s.addCoreTime(ended, s.now, reason != work.EndDone)
}

// addCoreTime adds the core time of a run to the totals.
func (s *simulation) addCoreTime(e *execution, till time.Time, wasted bool) {
	coreTime := till.Sub(e.startedAt).Seconds() * float64(e.cpu) / 1000
	s.usedCoreTime += coreTime
	if wasted {
		s.wastedCoreTime += coreTime
	}
}

func (s *simulation) execute(o sched.Order) {
	switch o := o.(type) {
	case sched.Start:
		r := s.runner(o.Runner)
		step := s.jobs[o.Task.Job].spec.Steps[o.Task.Step]
		if r.dead {
			s.pool.HandleStartResult(s.now, o, sched.OutcomeUnknown, "", 0)
			return
		}
		duration := time.Duration(float64(step.Estimate) * (0.8 + 0.4*s.rand.Float64()))
		if took := s.jobs[o.Task.Job].took; took != nil {
			duration = s.slowDuration(s.jobs[o.Task.Job], o.Task.Step, o.Task.Index, took[o.Task.Step][o.Task.Index])
		}
		duration = s.remoteDuration(r, o.Task, step, duration)
		r.runs[o.Task] = &execution{o.Run, s.now, s.now.Add(duration), step.Resources.CPU}
		s.pool.HandleStartResult(s.now, o, sched.OutcomeDone, "", s.clock)
	case sched.Stop:
		r := s.runner(o.Runner)
		if _, ok := r.runs[o.Task]; ok && !r.dead {
			s.end(r, o.Task, work.EndStopped)
		}
		s.pool.HandleStopResult(s.now, o, sched.OutcomeDone)
	case sched.Pace, sched.ApprovalRequest: // the workloads have no best-effort jobs and no approvals
	}
}

func (s *simulation) runner(id string) *simRunner {
	i := slices.IndexFunc(s.runners, func(r *simRunner) bool { return r.info.ID == id })
	return s.runners[i]
}

// jobFinished is the scheduler's callback for the end of a job; it records the latency of completed jobs. A job that
// exceeds its objective by at most one tick counts as on time.
func (s *simulation) jobFinished(o sched.JobEnd) {
	if o.State != work.Done {
		return
	}
	s.latencies = append(s.latencies, o.Elapsed)
	a := s.jobs[o.Job]
	objective := a.objective()
	if objective == 0 {
		objective = o.Objective
	}
	switch {
	case o.Elapsed <= objective+tick:
		s.result.OnTime++
		s.onTime[o.Job] = struct{}{}
		s.earned += s.worth(a)
		if a.coreSeconds() >= s.largeThreshold {
			s.largeOnTime++
		}
	case o.Elapsed <= 3*objective:
		s.result.Late++
		s.earned += lateWorth * s.worth(a)
	}
}

// summarize computes the result.
func (s *simulation) summarize() Result {
	result := s.result
	owed := 0.0
	for _, a := range s.workload.arrivals {
		owed += s.worth(a)
		if a.coreSeconds() >= s.largeThreshold {
			s.largeCount++
		}
	}
	result.Worth = round(s.earned / owed)
	result.OnTimeShare = share(result.OnTime, result.Submitted)
	result.LargeOnTimeShare = share(s.largeOnTime, s.largeCount)
	if s.workload.weights != nil {
		result.WorkspaceShare, result.WorstSpaces = summarizeSpaces(s.jobs, s.onTime)
	}
	if s.usedCoreTime > 0 {
		result.WastedShare = round(s.wastedCoreTime / s.usedCoreTime)
	}
	if len(s.latencies) > 0 {
		slices.Sort(s.latencies)
		result.MedianLatency = s.latencies[len(s.latencies)/2].Round(time.Millisecond).String()
		result.MaxLatency = s.latencies[len(s.latencies)-1].Round(time.Millisecond).String()
	}
	return result
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return round(float64(n) / float64(of))
}

// round rounds x to three decimal places.
func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }
