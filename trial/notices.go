package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"gypsumlead/work"
)

// The loads "surge" and "takeover" have jobs as a user's notices: declared run times are far off, tasks of a step differ,
// and a machine has room for few tasks.
const (
	noticeMachines = 100
	noticeCores    = 64
	noticeSpan     = 14 * time.Second

	machinesFrom  = 2600 * time.Millisecond // of a surge: when the first borrowed machine works
	machinesUntil = 4500 * time.Millisecond // when the last one does
	surgeFrom     = time.Second
	surgeUntil    = 5 * time.Second
	surgeRate     = 1.1 // of the capacity with all machines
	restRate      = 0.05

	leaderLossTime = 3 * time.Second
	leaderGap      = 2500 * time.Millisecond // until the next leader schedules
	takeoverUntil  = 9 * time.Second
	takeoverRate   = 1.05
)

// newNoticeWorkload draws the load of a queue whose turn comes while most machines are still elsewhere ("surge"), or whose
// leader is lost under load ("takeover").
func newNoticeWorkload(name string, rng *rand.Rand) Workload {
	workload := Workload{Name: name, Machines: noticeMachines, CoresPerMachine: noticeCores, firstMachines: noticeMachines, span: noticeSpan}
	if name == "surge" {
		workload.firstMachines = noticeMachines / 4
	} else {
		workload.leaderLostAt = leaderLossTime
	}
	outstanding := 0.0
	for at := time.Duration(0); at < noticeSpan; at += arrivalStep {
		outstanding += noticeRate(name, at) * noticeMachines * noticeCores * arrivalStep.Seconds()
		for outstanding > 0 {
			a := newNotice(rng, at)
			outstanding -= a.coreSeconds()
			workload.arrivals = append(workload.arrivals, a)
		}
	}
	return workload
}

// noticeRate returns the arriving work at a time, as a share of the capacity with all machines.
func noticeRate(name string, at time.Duration) float64 {
	switch {
	case name == "surge" && at >= surgeFrom && at < surgeUntil:
		return surgeRate
	case name == "takeover" && at < takeoverUntil:
		return takeoverRate
	}
	return restRate
}

// newNotice draws a job of one to four consecutive steps.
func newNotice(rng *rand.Rand, at time.Duration) arrival {
	a := arrival{at: at, spec: work.Job{Spec: "trial"}}
	steps := int(math.Round(lognormal(rng, 1.6, 0.4, 4)))
	for i := range max(1, steps) {
		real := time.Duration(lognormal(rng, 800, 0.5, 2000)) * time.Millisecond
		step := work.Step{
			Count:     max(1, int(lognormal(rng, 8, 0.6, 32))),
			Resources: work.Resources{CPU: int64(lognormal(rng, 9000, 0.45, 27000)), Mem: int64(lognormal(rng, 33000, 0.6, 100000))},
			Estimate:  time.Duration(float64(real) * lognormal(rng, 1, 0.5, 4)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		var took []time.Duration
		for range step.Count {
			took = append(took, time.Duration(float64(real)*lognormal(rng, 1, 0.3, 3)))
		}
		a.spec.Steps = append(a.spec.Steps, step)
		a.took = append(a.took, took)
	}
	return a
}

// lognormal draws a number with about the given mean and relative spread, at most most.
func lognormal(rng *rand.Rand, mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2))
}

// coreSeconds returns the job's work: the real one where it is known.
func (a arrival) coreSeconds() float64 {
	if a.took == nil {
		return a.spec.CPUSeconds()
	}
	sum := 0.0
	for i, step := range a.took {
		for _, took := range step {
			sum += took.Seconds() * float64(a.spec.Steps[i].Resources.CPU) / 1000
		}
	}
	return sum
}

// objective returns by when a job counts as on time by its real run times, or 0 where those are about as declared.
func (a arrival) objective() time.Duration {
	if a.took == nil {
		return 0
	}
	chain := time.Duration(0) // the steps follow each other
	for _, step := range a.took {
		longest := time.Duration(0)
		for _, took := range step {
			longest = max(longest, took)
		}
		chain += longest
	}
	return baseObjective + time.Duration(slackFactor*float64(chain))
}
