package trial

import (
	"math/rand/v2"
	"time"
)

// The loads with slow tasks: 3 of 100 take seven times as long, declared run times are off by up to 0.9, and 3 of 10 steps
// allow copies. Under "slow" a run is slow, and a fresh one most likely isn't; under "long" the task is long wherever it runs;
// under "mixed" it is either with equal odds.
const (
	slowTaskShare   = 0.03
	slowTaskFactor  = 7
	copyStepShare   = 0.3
	estimateError   = 0.9
	copyUtilization = 0.6
)

// copyWorkloads are the names of the loads with slow tasks.
var copyWorkloads = []string{"slow", "long", "mixed"}

// newCopyWorkload draws a load with slow tasks.
func newCopyWorkload(name string, rng *rand.Rand) Workload {
	workload := Workload{Name: name, Machines: machineCount, CoresPerMachine: coresPerMachine, firstMachines: machineCount, span: workloadSpan}
	switch name {
	case "slow":
		workload.slowRunShare = slowTaskShare
	case "mixed":
		workload.slowRunShare = slowTaskShare / 2
	}
	longShare := slowTaskShare - workload.slowRunShare
	outstanding := 0.0
	for at := time.Duration(0); at < workloadSpan; at += arrivalStep {
		outstanding += copyUtilization * machineCount * coresPerMachine * arrivalStep.Seconds()
		for outstanding > 0 {
			a := arrival{at: at, spec: newJob(rng, name)}
			for i := range a.spec.Steps {
				a.drawTimes(rng, i, longShare)
			}
			outstanding -= a.coreSeconds()
			workload.arrivals = append(workload.arrivals, a)
		}
	}
	return workload
}

// drawTimes draws the real run times of a step's tasks, which of them are long, and how wrong the declared time is.
func (a *arrival) drawTimes(rng *rand.Rand, step int, longShare float64) {
	s := &a.spec.Steps[step]
	s.Speculative = rng.Float64() < copyStepShare
	took, long := make([]time.Duration, s.Count), make([]bool, s.Count)
	for i := range took {
		took[i] = time.Duration(float64(s.Estimate) * (0.8 + 0.4*rng.Float64()))
		long[i] = rng.Float64() < longShare
	}
	s.Estimate = time.Duration(float64(s.Estimate) * (1 + estimateError*(2*rng.Float64()-1)))
	a.took, a.long = append(a.took, took), append(a.long, long)
}

// slowDuration returns how long a run of a task takes that usually takes d.
func (s *simulation) slowDuration(a arrival, step, index int, d time.Duration) time.Duration {
	if a.long == nil {
		return d
	}
	if a.long[step][index] || s.rand.Float64() < s.workload.slowRunShare {
		return slowTaskFactor * d
	}
	return d
}
