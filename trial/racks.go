package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumlead/work"
)

// The loads with data on racks have steps that are slower by the remote factor away from their rack or their step's other
// tasks. Its value is drawn, as platforms have 2 or 3.
const (
	hotShare        = 0.35 // of the jobs that prefer the hot rack, which has a fifth of the machines
	ebbShare        = 0.6  // of the jobs that prefer the rack whose turn it is
	ebbPeriod       = 2 * time.Second
	groupShare      = 0.3 // of the steps whose tasks belong in the same rack
	gangShare       = 0.1 // of the steps that are gangs in one rack
	groupWidth      = 24
	rackUtilization = 0.75
	rackSpan        = 16 * time.Second // short, as a pool that is full of slow runs takes long to simulate
	hotRackLossTime = 6 * time.Second
	unevenSpread    = 0.6 // of real run times about those declared
)

// rackWorkloads are the names of the loads with data on racks: a hot rack, racks that fill and empty in turn, a hot rack
// that is lost, steps that belong in one rack, and unequal run times.
var rackWorkloads = []string{"hot", "ebb", "loss", "group", "uneven"}

// newRackWorkload draws a load with data on racks.
func newRackWorkload(name string, rng *rand.Rand) Workload {
	workload := Workload{Name: name, Machines: machineCount, CoresPerMachine: coresPerMachine, firstMachines: machineCount, span: rackSpan}
	workload.remoteFactor = float64(2 + rng.IntN(2))
	if name == "loss" {
		workload.rackLostAt = hotRackLossTime
	}
	outstanding := 0.0
	for at := time.Duration(0); at < rackSpan; at += arrivalStep {
		outstanding += rackUtilization * machineCount * coresPerMachine * arrivalStep.Seconds()
		for outstanding > 0 {
			a := arrival{at: at, spec: newJob(rng, name)}
			addPreferences(rng, name, &a)
			outstanding -= a.coreSeconds()
			workload.arrivals = append(workload.arrivals, a)
		}
	}
	return workload
}

// addPreferences draws where the job's steps belong, and the real run times of an uneven load.
func addPreferences(rng *rand.Rand, name string, a *arrival) {
	racks := machineCount / rackSize
	home := rng.IntN(racks)
	switch {
	case (name == "hot" || name == "loss") && rng.Float64() < hotShare:
		home = 0
	case name == "ebb" && rng.Float64() < ebbShare:
		home = int(a.at/ebbPeriod) % racks
	}
	for i := range a.spec.Steps {
		s := &a.spec.Steps[i]
		kind := rng.Float64()
		switch {
		case name != "group":
			s.PreferredRack = fmt.Sprintf("rack%d", home)
		case kind < gangShare:
			s.Gang, s.SameRack = true, true
		case kind < gangShare+groupShare:
			s.SameRack, s.Count = true, groupWidth
		}
		if name == "uneven" {
			a.took = append(a.took, unevenTimes(rng, s))
		}
	}
}

// unevenTimes draws the real run times of a step's tasks.
func unevenTimes(rng *rand.Rand, s *work.Step) []time.Duration {
	var took []time.Duration
	for range s.Count {
		took = append(took, time.Duration(float64(s.Estimate)*lognormal(rng, 1, unevenSpread, 4)))
	}
	return took
}

// stepID identifies a step of a job.
type stepID struct {
	job  work.ID
	step int
}

// remoteDuration returns how long a new run of a step's task on a runner takes that would take d in its place. It slows the
// step's runs that are no longer in one rack.
func (s *simulation) remoteDuration(r *simRunner, task work.Task, step work.Step, d time.Duration) time.Duration {
	factor := s.workload.remoteFactor
	if factor <= 1 {
		return d
	}
	rack := rackOf(r)
	if step.PreferredRack != "" && step.PreferredRack != rack {
		return time.Duration(factor * float64(d))
	}
	if !step.SameRack {
		return d
	}
	id := stepID{task.Job, task.Step}
	switch first, ok := s.stepRacks[id]; {
	case !ok:
		s.stepRacks[id] = rack
	case first != rack && first != spreadStep:
		s.stepRacks[id] = spreadStep
		s.slowDown(id, factor)
	}
	if s.stepRacks[id] == spreadStep {
		return time.Duration(factor * float64(d))
	}
	return d
}

// spreadStep is the entry of a step in simulation.stepRacks that runs in several racks.
const spreadStep = "several"

// slowDown stretches what is left of a step's runs.
func (s *simulation) slowDown(id stepID, factor float64) {
	for _, r := range s.runners {
		for task, e := range r.runs {
			if task.Job == id.job && task.Step == id.step && e.endsAt.After(s.now) {
				e.endsAt = s.now.Add(time.Duration(factor * float64(e.endsAt.Sub(s.now))))
			}
		}
	}
}

// rackOf returns a runner's rack.
func rackOf(r *simRunner) string { return r.info.Labels[len(r.info.Labels)-1] }
