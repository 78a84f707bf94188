package trial

import (
	"math/rand/v2"
	"slices"
	"time"

	"gypsumlead/work"
)

// arrival is a submitted job and its time, counted from the start of the simulation.
type arrival struct {
	at   time.Duration
	spec work.Job
	long [][]bool          // which tasks take slowTaskFactor times as long wherever they run; nil under most loads
	took [][]time.Duration // real run times by step and task; nil if they are about as long as estimated
}

// Workload is a pool of machines and the jobs submitted to it.
type Workload struct {
	Name            string
	Machines        int
	CoresPerMachine int64
	arrivals        []arrival
	rackLostAt      time.Duration      // when the first rack is lost; 0 means never
	remoteFactor    float64            // by which tasks are slower away from their rack; 0 means not at all
	slowRunShare    float64            // of runs that take slowTaskFactor times as long
	leaderLostAt    time.Duration      // when nobody schedules for leaderGap, while jobs go on being accepted; 0 means never
	firstMachines   int                // machines that are there from the start; the others follow from machinesFrom to machinesUntil
	span            time.Duration      // of the arrivals
	weights         map[string]float64 // of the workspaces; nil if jobs have none
}

// Workloads are the names of the workloads that Run accepts.
var Workloads = []string{"steady", "turns", "bursts", "rack", "surge", "takeover", "flood", "calm", "hot", "ebb", "loss", "group", "uneven", "slow", "long", "mixed"}

// Times and sizes of the workloads.
const (
	workloadSpan    = 40 * time.Second
	arrivalStep     = 100 * time.Millisecond // arrivals are drawn for one such interval at a time
	machineCount    = 40
	coresPerMachine = 16
	rackSize        = 8
	peakPeriod      = 10 * time.Second // interval from the start of a peak to the start of the next
	peakLength      = 3 * time.Second  // duration of a peak
	peakFactor      = 5                // scales the arrival rate during a peak, see rateAt
	offPeakFactor   = 0.05             // relative arrival rate between peaks
	meanUtilization = 0.6              // core time requested at relative rate 1, as a share of the pool's capacity
	rackLossTime    = 12 * time.Second
	largeShare      = 0.1 // share of the jobs that are large, under bursts
	largeFactor     = 5   // number of tasks per step of a large job, relative to the other jobs
)

// newWorkload draws the named workload; the same seed gives the same workload.
func newWorkload(name string, seed uint64) Workload {
	rng := rand.New(rand.NewPCG(seed, 1))
	if name == "surge" || name == "takeover" {
		return newNoticeWorkload(name, rng)
	}
	if name == "flood" || name == "calm" {
		return newFloodWorkload(name, rng)
	}
	if slices.Contains(rackWorkloads, name) {
		return newRackWorkload(name, rng)
	}
	if slices.Contains(copyWorkloads, name) {
		return newCopyWorkload(name, rng)
	}
	workload := Workload{Name: name, Machines: machineCount, CoresPerMachine: coresPerMachine, firstMachines: machineCount, span: workloadSpan}
	if name == "rack" {
		workload.rackLostAt = rackLossTime
	}
	capacity := float64(machineCount * coresPerMachine) // core-seconds per second
	outstanding := 0.0
	for at := time.Duration(0); at < workloadSpan; at += arrivalStep {
		outstanding += rateAt(name, at) * meanUtilization * capacity * arrivalStep.Seconds()
		for outstanding > 0 {
			job := newJob(rng, name)
			outstanding -= job.CPUSeconds()
			workload.arrivals = append(workload.arrivals, arrival{at: at, spec: job})
		}
	}
	return workload
}

// rateAt returns the relative arrival rate of a workload at a time; 1 is meanUtilization.
func rateAt(name string, at time.Duration) float64 {
	if name != "turns" && name != "bursts" {
		return 1
	}
	if at%peakPeriod < peakLength {
		return peakFactor * peakLength.Seconds() / peakPeriod.Seconds() * 2
	}
	return offPeakFactor
}

// newJob draws a job of one or two consecutive steps of eight tasks each. Under bursts largeShare of the jobs are
// largeFactor times as wide.
func newJob(rng *rand.Rand, name string) work.Job {
	job := work.Job{Spec: "trial"}
	width := 8
	if rng.Float64() < largeShare && name == "bursts" {
		width *= largeFactor
	}
	for i := range 1 + rng.IntN(2) {
		step := work.Step{
			Count:     width,
			Resources: work.Resources{CPU: 1000 + rng.Int64N(2000), Mem: 100},
			Estimate:  time.Duration(500+rng.IntN(700)) * time.Millisecond,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}
