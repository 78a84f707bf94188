package sched

import (
	"math"
	"time"

	"gypsumlead/work"
)

const (
	// maxShareFactor bounds the factor by which a workspace's usage scales the weight by which its jobs are shed: the
	// square root of a job's size and its pseudo-random factor go on deciding between workspaces near their shares.
	maxShareFactor = 3
	// jobSizeWeight is the weight of a new job in the average size of jobs.
	jobSizeWeight = 0.02
	// chargeInterval is the time between two updates of the usage, which take time in proportion to the number of
	// workspaces. Tasks run for several times as long.
	chargeInterval = 100 * time.Millisecond
	// minUsage is the usage, in jobs of average size, above which a workspace counts among those that share the pool.
	minUsage = 1.0 / 16
)

// poolUsage is what the workspaces' usage is compared with.
type poolUsage struct {
	chargedAt time.Time
	capacity  work.Resources // of schedulable runners
	total     float64        // usage of the workspaces that share the pool
	weight    float64        // of these workspaces
	jobSize   float64        // average usage of a job
}

// charge adds what runs to the usage of its workspace: the seconds for which it occupied the whole pool, by its dominant
// resource, CPU or memory. Usage decays with a half-life of the rate window.
func (p *Pool) charge(now time.Time) {
	s := &p.shares
	if !s.configured || now.Sub(s.usage.chargedAt) < chargeInterval {
		return
	}
	elapsed := 0.0
	if !s.usage.chargedAt.IsZero() {
		elapsed = now.Sub(s.usage.chargedAt).Seconds()
	}
	s.usage.chargedAt = now
	s.usage.capacity = p.capacity(now)
	p.sumRunning()
	decay := math.Exp2(-elapsed / s.window.Seconds())
	s.usage.total, s.usage.weight = 0, 0
	for _, w := range s.sorted { // in a fixed order, so that the sums are the same in each simulation of a load
		w.usage = w.usage*decay + elapsed*s.usage.dominant(w.running)
		if w.usage > minUsage*s.usage.jobSize {
			s.usage.total += w.usage
			s.usage.weight += w.weight
		}
	}
}

// sumRunning sums the resources of each workspace's runs. Best-effort runs use only what others leave.
func (p *Pool) sumRunning() {
	for _, w := range p.shares.sorted {
		w.running = work.Resources{}
	}
	for _, r := range p.runners {
		for run := range r.runs {
			s := run.task.step
			if w, ok := p.shares.byName[s.job.spec.Workspace]; ok && !s.spec.BestEffort {
				w.running = w.running.Add(s.spec.Resources)
			}
		}
	}
}

// capacity returns the room of the schedulable runners.
func (p *Pool) capacity(now time.Time) work.Resources {
	var sum work.Resources
	for _, r := range p.runners {
		if r.schedulable(now) {
			sum = sum.Add(r.Room)
		}
	}
	return sum
}

// dominant returns the larger of the shares of the pool's CPU and memory that resources take.
func (u *poolUsage) dominant(r work.Resources) float64 {
	share := 0.0
	if u.capacity.CPU > 0 {
		share = float64(r.CPU) / float64(u.capacity.CPU)
	}
	if u.capacity.Mem > 0 {
		share = max(share, float64(r.Mem)/float64(u.capacity.Mem))
	}
	return share
}

// observe adds an accepted job to the average size of jobs.
func (u *poolUsage) observe(spec *work.Job) {
	size := 0.0
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if !step.BestEffort && !step.LongRunning {
			size += float64(step.Count) * step.Estimate.Seconds() * u.dominant(step.Resources)
		}
	}
	if u.jobSize == 0 {
		u.jobSize = size
	}
	u.jobSize += jobSizeWeight * (size - u.jobSize)
}

// shareFactor returns the factor by which a job is shed rather than others: how many times its share its workspace has
// used lately. Both sides of the ratio contain a job of average size, or a small workspace would be over its share
// whenever one of its jobs has just run.
func (s *shares) shareFactor(j *job) float64 {
	w, ok := s.byName[j.spec.Workspace]
	if !ok || s.usage.total <= 0 || s.usage.jobSize <= 0 {
		return 1
	}
	expected := s.usage.jobSize
	if s.usage.weight > 0 {
		expected += s.usage.total * w.weight / s.usage.weight
	}
	return min(max((w.usage+s.usage.jobSize)/expected, 1.0/maxShareFactor), maxShareFactor)
}
