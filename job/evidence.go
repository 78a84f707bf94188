package job

import (
	"math"
	"slices"
	"time"

	"gypsumlead/audit"
	"gypsumlead/fault"
)

const (
	fullAt       = 0.8 // part of a worker's memory in use at which new tasks may fail for want of it
	strikeWeight = 3.0 // weight of the failure of a task whose job runs well elsewhere
	crowdedGuess = 4   // factor on what a task may use of which nothing is known

	failPause     = 2500 * time.Millisecond // before the next try of a task; doubles with each failure
	judgeAfter    = 12 * time.Second        // reports of what goes well come so much later than a failure
	outlastMargin = time.Second
)

// fail takes in a failed try: it speaks against the job, the worker, or both, until one of them
// is seen to do well without the other.
func (p *Pool) fail(t *Task, w *Worker, ran time.Duration, now time.Time) error {
	j := t.job
	p.stats.Wasted += t.lostWork(now)
	if p.isCrowded(w, t) {
		t.avoid(w.ID)
		return p.follow(t, "failed on a worker whose memory was used up", t.isRepeatable(), now)
	}
	t.Fails++
	t.avoid(w.ID)
	t.Ready = now.Add(failPause << t.Fails)
	s := Strike{Job: j.Name, Worker: w.ID, At: now, Ran: ran}
	j.Evidence.Bad++
	j.Evidence.Fails = remember(j.Evidence.Fails, s)
	w.strikes = remember(w.strikes, s)
	j.soft = true
	p.changes.touch(j)
	onProbation := w.bad.Health == Probation
	if err := p.follow(t, "failed too often", t.isRepeatable(), now); err != nil {
		return err
	}
	if onProbation {
		p.quarantine(w, "failed on probation", now)
	}
	return nil
}

// judge looks at workers and jobs with failures again, for reports that come later than a
// failure may tell whose fault it was.
func (p *Pool) judge(now time.Time) error {
	for _, w := range p.workers {
		if len(w.strikes) > 0 {
			p.judgeWorker(w, now)
		}
	}
	for _, j := range p.jobs {
		if len(j.Evidence.Fails) > 0 {
			if err := p.judgeJob(j, now); err != nil {
				return err
			}
		}
	}
	return nil
}

// outlasted tells whether other tries of the job ran well for longer than the one that failed.
func (j *Job) outlasted(s Strike) bool {
	return j.longest > 2*s.Ran+outlastMargin
}

func remember(list []Strike, s Strike) []Strike {
	if len(list) == strikeLimit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, s)
}

// isCrowded tells whether the worker's memory may have been too small for what was on it; then
// the failure is the estimate's fault.
func (p *Pool) isCrowded(w *Worker, t *Task) bool {
	sum := w.foreign.Memory
	for _, o := range w.tasks {
		switch {
		case o.live.peak.Memory > 0:
			sum += o.live.peak.Memory
		case o.job.isKnown():
			sum += o.Size.Memory
		default:
			sum += o.Size.Memory * crowdedGuess
		}
	}
	return len(w.tasks) > 1 && sum > w.total.Memory
}

// succeed clears the worker, and turns earlier failures on it against the jobs that failed.
func (p *Pool) succeed(t *Task, w *Worker, now time.Time) {
	j := t.job
	j.Evidence.Good++
	j.Evidence.Fails = nil
	p.clear(t, w)
	if w.bad.Health == Probation {
		w.bad = Ban{Health: InService}
		p.changes.pool = true
		p.noteWorker(w, "release", "a task succeeded on probation", now, "task", t.ID())
	}
}

// prove counts a task that has run for long like a success, once.
func (p *Pool) prove(t *Task, w *Worker) {
	if !t.live.proved {
		t.live.proved = true
		p.clear(t, w)
	}
}

func (p *Pool) clear(t *Task, w *Worker) {
	w.strikes = slices.DeleteFunc(w.strikes, func(s Strike) bool { return t.Began.After(s.At) || t.State == Done })
	for _, o := range p.jobs {
		if o == t.job || o.Phase != Open {
			continue
		}
		for i, s := range o.Evidence.Fails {
			if s.Worker == w.ID && !s.Clear && t.Began.After(s.At) {
				o.Evidence.Fails[i].Clear = true
			}
		}
	}
}

// judgeWorker quarantines a worker on which jobs fail that do well elsewhere. A failure weighs
// as much as it is improbable by the job's own rate of failures.
func (p *Pool) judgeWorker(w *Worker, now time.Time) {
	if p.policy.NoQuarantine || w.bad.Health != InService {
		return
	}
	if w.measured() > int64(fullAt*float64(w.total.Memory)) {
		p.forgive(w)
		return
	}
	weight := 0.0
	counted := map[string]bool{}
	for _, s := range w.strikes {
		j := p.byName[s.Job]
		if j == nil || j.Phase == Bad || w.measured()+max(j.Declared.Memory, j.guess.Memory) > w.total.Memory {
			continue // or the worker had no memory left for it
		}
		weight += p.weight(j, w, s, counted)
		counted[s.Job] = true
	}
	if weight < float64(p.policy.Strikes)*strikeWeight {
		return
	}
	p.quarantine(w, "tasks fail on it that do well elsewhere", now)
}

func (p *Pool) weight(j *Job, w *Worker, s Strike, counted map[string]bool) float64 {
	if j.Evidence.Good > 0 {
		rate := float64(j.Evidence.Bad+1) / float64(j.Evidence.Bad+j.Evidence.Good+2)
		return min(-math.Log(rate), strikeWeight)
	}
	if j.outlasted(s) {
		return strikeWeight
	}
	if counted[j.Name] || j.failedElsewhere(w) {
		return 0
	}
	return strikeWeight
}

func (j *Job) failedElsewhere(w *Worker) bool {
	return slices.ContainsFunc(j.Evidence.Fails, func(s Strike) bool { return s.Worker != w.ID })
}

// quarantine takes the worker out of service for a time; what failed on it is no longer held
// against the jobs.
func (p *Pool) quarantine(w *Worker, why string, now time.Time) {
	span := min(max(2*w.bad.Span, p.policy.Quarantine), p.policy.QuarantineMx)
	w.bad = Ban{Health: Quarantine, Until: now.Add(span), Span: span}
	p.stats.Quarantined++
	p.changes.pool = true
	failures := len(w.strikes)
	jobs := p.forgive(w)
	p.noteWorker(w, "quarantine", why, now, "until", w.bad.Until, "failures", failures, "jobs", jobs)
}

// forgive takes back all failures on the worker and returns of how many jobs there were any.
func (p *Pool) forgive(w *Worker) int {
	jobs := map[string]bool{}
	for _, s := range w.strikes {
		j := p.byName[s.Job]
		if !jobs[s.Job] && j != nil {
			p.pardon(j, w.ID)
		}
		jobs[s.Job] = true
	}
	w.strikes = nil
	return len(jobs)
}

// pardon takes back what failed on the worker; a task's tries stay bounded all the same.
func (p *Pool) pardon(j *Job, worker string) {
	n := len(j.Evidence.Fails)
	j.Evidence.Fails = slices.DeleteFunc(j.Evidence.Fails, func(s Strike) bool { return s.Worker == worker })
	j.Evidence.Bad = max(j.Evidence.Bad-(n-len(j.Evidence.Fails)), 0)
	for _, t := range j.queue {
		if t.Fails > 0 && slices.Contains(t.Avoid, worker) {
			t.Fails--
			t.Ready = time.Time{}
		}
	}
	j.soft = true
	p.changes.touch(j)
}

// judgeJob stops a job that fails on workers that run others.
func (p *Pool) judgeJob(j *Job, now time.Time) error {
	if j.Phase != Open {
		return nil
	}
	if now.Sub(j.Evidence.Fails[0].At) < judgeAfter {
		return nil
	}
	all, cleared, count := j.failedOn()
	often := count >= p.policy.BadFails
	apart := min(p.policy.BadWorkers, max(p.members(), 1))
	switch {
	case cleared >= p.policy.BadWorkers && (often || j.Evidence.Good == 0):
	case often && j.Evidence.Good == 0 && all >= apart:
	default:
		return nil
	}
	p.stats.BadJobs++
	why := "it fails on workers that run other jobs"
	p.noteBad(j, why, all, cleared, count, now)
	return p.close(j, Bad, why, now)
}

func (p *Pool) noteBad(j *Job, why string, all, cleared, count int, now time.Time) {
	kind := fault.Unfit
	p.note(j.Name, "stop", why, now, &kind, []audit.Subject{{Kind: "job", Name: j.Name}},
		audit.Facts("failures", count, "successes", j.Evidence.Good, "workers", all, "cleared", cleared))
}

// failedOn counts the workers that the job failed on, those that have run others since, and the
// failures; tries that others of the job outlasted don't count.
func (j *Job) failedOn() (all, cleared, count int) {
	seen := map[string]bool{}
	good := map[string]bool{}
	for _, s := range j.Evidence.Fails {
		if j.outlasted(s) {
			continue
		}
		count++
		seen[s.Worker] = true
		if s.Clear {
			good[s.Worker] = true
		}
	}
	return len(seen), len(good), count
}

// members counts the pool's workers, those that are away included.
func (p *Pool) members() int {
	n := 0
	for _, w := range p.workers {
		if w.member {
			n++
		}
	}
	return n
}

// releaseWorkers puts workers whose quarantine is over on probation.
func (p *Pool) releaseWorkers(now time.Time) {
	for _, w := range p.workers {
		if w.bad.Health != Quarantine || now.Before(w.bad.Until) {
			continue
		}
		w.bad.Health = Probation
		p.changes.pool = true
		p.noteWorker(w, "probation", "its quarantine is over", now, "span", w.bad.Span)
	}
}
