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

// Times of a play.
const (
	tick  = 50 * time.Millisecond
	after = 20 * time.Second // in which what is left may end
	hold  = 4500 * time.Millisecond
)

// The queue's objective: a job is in time within Slack times its longest chain and Aim.
const (
	slack = 1.6
	aim   = 600 * time.Millisecond
)

// Result is what callers got.
type Result struct {
	Workload         string  `json:"load"`
	Strategy         string  `json:"way"`
	Seed             uint64  `json:"seed"`
	Submitted        int     `json:"asked"`
	OnTime           int     `json:"intime"`
	Late             int     `json:"late"` // within three times the objective
	OnTimeShare      float64 `json:"share"`
	LargeOnTimeShare float64 `json:"large"` // share in time of the largest tenth
	MedianLatency    string  `json:"median"`
	MaxLatency       string  `json:"worst"`
	WastedShare      float64 `json:"wasted"` // share of the core time that was thrown away
	Violations       int     `json:"broken"`
}

// machine is a runner that does what it is told.
type machine struct {
	w    work.Runner
	runs map[work.Task]*execution
	ends []work.RunEnd
	n    int64
	dead bool
}

type execution struct {
	run  int
	from time.Time
	till time.Time
	cpu  int64
}

// play is one play.
type play struct {
	load   Workload
	rand   *rand.Rand
	pool   *sched.Pool
	now    time.Time
	clock  time.Duration
	fleet  []*machine
	jobs   map[work.ID]arrival
	began  map[work.ID]time.Time
	result Result
	took   []time.Duration
	large  int // of the largest tenth, and how many of them were in time
	largeT int
	wide   float64 // core time of a job of the largest tenth, at least
	used   float64
	wasted float64
}

// Run plays a load under a way of deciding.
func Run(load, way string, seed uint64) (Result, error) {
	if !slices.Contains(Workloads, load) {
		return Result{}, fault.New(fault.Missing, "there is no load %q; there are %v", load, Workloads)
	}
	w, ok := sched.Strategies[way]
	if !ok {
		return Result{}, fault.New(fault.Missing, "there is no way %q of deciding", way)
	}
	p := newPlay(makeLoad(load, seed), w, seed)
	p.result.Strategy = way
	p.run()
	return p.sum(), nil
}

func newPlay(l Workload, way sched.Strategy, seed uint64) *play {
	p := &play{
		load: l, rand: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_800_000_000, 0).UTC(),
		jobs: map[work.ID]arrival{}, began: map[work.ID]time.Time{},
		result: Result{Workload: l.Name, Seed: seed},
	}
	broken := func(error) { p.result.Violations++ }
	p.pool = sched.New(p.now, 1, sched.LeaseConfig{TTL: hold}, sched.WithStrategy(way), sched.WithViolationHook(broken), sched.WithJobEndHook(p.over))
	for i := range l.Machines {
		m := &machine{runs: map[work.Task]*execution{}, w: work.Runner{
			ID: fmt.Sprintf("r%03d", i), Machine: fmt.Sprintf("m%03d", i), Service: "s", Leaves: -1, Born: 1,
			Room: work.Resources{CPU: l.CoresPerMachine * 1000, Mem: 1 << 16}, Labels: []string{"plain", fmt.Sprintf("rack%d", i/rackSize)},
		}}
		p.fleet = append(p.fleet, m)
		p.pool.UpdateRunner(p.now, m.w)
	}
	var sizes []float64
	for _, a := range l.arrivals {
		sizes = append(sizes, a.spec.CPUSeconds())
	}
	slices.Sort(sizes)
	p.wide = sizes[len(sizes)*9/10]
	return p
}

// run plays to the end.
func (p *play) run() {
	q := work.Queue{Name: "q", Service: "s", Attempts: 3, Slack: slack, Aim: aim}
	next := 0
	for p.clock < loadSpan+after {
		for next < len(p.load.arrivals) && p.load.arrivals[next].at <= p.clock {
			id := work.ID(fmt.Sprintf("%016x", next+1))
			p.jobs[id], p.began[id] = p.load.arrivals[next], p.now
			p.pool.Accept(p.now, id, q, p.load.arrivals[next].spec)
			p.result.Submitted++
			next++
		}
		p.step()
	}
}

// step lets one tick pass: runs end, looks are answered, ends are stored, orders are carried out.
func (p *play) step() {
	p.now, p.clock = p.now.Add(tick), p.clock+tick
	for i, m := range p.fleet {
		if p.load.lost > 0 && p.clock >= p.load.lost && i < rackSize && !m.dead {
			m.dead = true
			for _, x := range m.runs {
				p.spend(x, p.now, true)
			}
			p.pool.MarkUnlisted(p.now, m.w.ID)
		}
		if m.dead {
			p.pool.HandlePollFailure(p.now, m.w.ID)
			continue
		}
		p.look(m)
	}
	p.pool.MarkCommitted(p.now, p.pool.UncommittedBatch(p.now, len(p.jobs), true))
	for _, o := range p.pool.Plan(p.now, p.now, true) {
		p.carryOut(o)
	}
}

// look ends what is over on a machine and tells the scheduler.
func (p *play) look(m *machine) {
	got := work.PollResult{Clock: p.clock}
	for _, task := range m.tasks() {
		x := m.runs[task]
		if p.now.Before(x.till) {
			got.Runs = append(got.Runs, work.Run{Task: task, Run: x.run})
			continue
		}
		p.end(m, task, work.EndDone)
	}
	got.Ends = m.ends
	p.pool.PollSent(p.now, m.w.ID, 0)
	p.pool.ExtendLease(p.now, m.w.ID)
	p.pool.HandlePollResult(p.now, m.w.ID, p.now, got)
	acked := p.pool.AckCursor(m.w.ID)
	m.ends = slices.DeleteFunc(m.ends, func(e work.RunEnd) bool { return e.N <= acked })
}

// tasks returns what runs on the machine in an order that is the same in each play.
func (m *machine) tasks() []work.Task {
	return slices.SortedFunc(maps.Keys(m.runs), func(a, b work.Task) int { return cmp.Compare(a.String(), b.String()) })
}

func (p *play) end(m *machine, task work.Task, how work.EndReason) {
	x := m.runs[task]
	delete(m.runs, task)
	m.n++
	m.ends = append(m.ends, work.RunEnd{N: m.n, Task: task, Run: x.run, Reason: how})
	p.spend(x, p.now, how != work.EndDone)
}

// spend counts the core time of a run.
func (p *play) spend(x *execution, till time.Time, wasted bool) {
	took := till.Sub(x.from).Seconds() * float64(x.cpu) / 1000
	p.used += took
	if wasted {
		p.wasted += took
	}
}

func (p *play) carryOut(o sched.Order) {
	switch o := o.(type) {
	case sched.Start:
		m := p.machine(o.Runner)
		s := p.jobs[o.Task.Job].spec.Steps[o.Task.Step]
		if m.dead {
			p.pool.HandleStartResult(p.now, o, sched.OutcomeUnknown, "", 0)
			return
		}
		took := time.Duration(float64(s.Estimate) * (0.8 + 0.4*p.rand.Float64()))
		m.runs[o.Task] = &execution{o.Run, p.now, p.now.Add(took), s.Resources.CPU}
		p.pool.HandleStartResult(p.now, o, sched.OutcomeDone, "", p.clock)
	case sched.Stop:
		m := p.machine(o.Runner)
		if _, ok := m.runs[o.Task]; ok && !m.dead {
			p.end(m, o.Task, work.EndStopped)
		}
		p.pool.HandleStopResult(p.now, o, sched.OutcomeDone)
	case sched.Pace, sched.ApprovalRequest: // these loads have neither
	}
}

func (p *play) machine(id string) *machine {
	i := slices.IndexFunc(p.fleet, func(m *machine) bool { return m.w.ID == id })
	return p.fleet[i]
}

// over takes in a job's end.
func (p *play) over(o sched.JobEnd) {
	if o.State != work.Done {
		return
	}
	p.took = append(p.took, o.Elapsed)
	wide := p.jobs[o.Job].spec.CPUSeconds() >= p.wide
	switch {
	case o.Elapsed <= o.Objective+tick:
		p.result.OnTime++
		if wide {
			p.largeT++
		}
	case o.Elapsed <= 3*o.Objective:
		p.result.Late++
	}
}

// sum makes the result.
func (p *play) sum() Result {
	r := p.result
	for _, a := range p.load.arrivals {
		if a.spec.CPUSeconds() >= p.wide {
			p.large++
		}
	}
	r.OnTimeShare = share(r.OnTime, r.Submitted)
	r.LargeOnTimeShare = share(p.largeT, p.large)
	if p.used > 0 {
		r.WastedShare = round(p.wasted / p.used)
	}
	if len(p.took) > 0 {
		slices.Sort(p.took)
		r.MedianLatency = p.took[len(p.took)/2].Round(time.Millisecond).String()
		r.MaxLatency = p.took[len(p.took)-1].Round(time.Millisecond).String()
	}
	return r
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return round(float64(n) / float64(of))
}

// round leaves three digits.
func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }
