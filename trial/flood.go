package trial

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gypsumlead/work"
)

// The load "flood" is that of "turns" from workspaces of unequal size, one of which sends many times its usual for some
// seconds. "calm" is the same without the flood.
const (
	floodWorkspaces = 20
	floodFactor     = 6
	floodFrom       = 8 * time.Second // it begins between two peaks and covers the next one
	floodUntil      = 14 * time.Second
	floodSender     = 2 // a large workspace
)

// floodWeights returns the relative sizes of the workspaces: 4 of 20 send two thirds of all jobs.
func floodWeights() []float64 {
	sizes := make([]float64, floodWorkspaces)
	for i := range sizes {
		sizes[i] = 1
		if i < 4 {
			sizes[i] = 8
		}
		if i >= 12 {
			sizes[i] = 0.5
		}
	}
	return sizes
}

// floodSpace returns the name of a workspace.
func floodSpace(i int) string { return "ws" + strconv.Itoa(i) }

// newFloodWorkload draws the load. The usual jobs are the same with and without the flood.
func newFloodWorkload(name string, rng *rand.Rand) Workload {
	workload := Workload{Name: name, Machines: machineCount, CoresPerMachine: coresPerMachine, firstMachines: machineCount, span: workloadSpan}
	sizes := floodWeights()
	total := 0.0
	for _, size := range sizes {
		total += size
	}
	capacity := float64(machineCount * coresPerMachine)
	outstanding := 0.0
	for at := time.Duration(0); at < workloadSpan; at += arrivalStep {
		for outstanding += rateAt("turns", at) * meanUtilization * capacity * arrivalStep.Seconds(); outstanding > 0; {
			job := newJob(rng, name)
			job.Workspace = floodSpace(drawSpace(rng, sizes, total))
			outstanding -= job.CPUSeconds()
			workload.arrivals = append(workload.arrivals, arrival{at: at, spec: job})
		}
	}
	workload.weights = map[string]float64{}
	for i, size := range sizes {
		workload.weights[floodSpace(i)] = float64(len(workload.arrivals)) / workloadSpan.Seconds() * size / total
	}
	if name == "flood" {
		workload.arrivals = append(workload.arrivals, flood(rng, workload.weights[floodSpace(floodSender)])...)
		slices.SortStableFunc(workload.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	}
	return workload
}

// drawSpace draws the workspace of a job by the workspaces' sizes.
func drawSpace(rng *rand.Rand, sizes []float64, total float64) int {
	at := rng.Float64() * total
	for i, size := range sizes {
		if at < size {
			return i
		}
		at -= size
	}
	return len(sizes) - 1
}

// flood draws what a workspace sends beyond its usual. Its usual counts as that of a peak, like that of its neighbours.
func flood(rng *rand.Rand, rate float64) []arrival {
	var list []arrival
	outstanding := 0.0
	for at := floodFrom; at < floodUntil; at += arrivalStep {
		relative := max(1, rateAt("turns", at)) // it doesn't wait for its queue's turn
		for outstanding += (floodFactor - 1) * relative * rate * arrivalStep.Seconds(); outstanding >= 1; outstanding-- {
			job := newJob(rng, "flood")
			job.Workspace = floodSpace(floodSender)
			list = append(list, arrival{at: at, spec: job})
		}
	}
	return list
}

// spaceCount counts a workspace's jobs.
type spaceCount struct{ submitted, onTime int }

// summarizeSpaces returns the mean share on time of the workspaces' jobs, and that of the worst tenth of the workspaces. The
// workspace that sends a flood isn't among them.
func summarizeSpaces(arrivals map[work.ID]arrival, onTime map[work.ID]struct{}) (mean, worst float64) {
	counts := map[string]spaceCount{}
	for id, a := range arrivals {
		c := counts[a.spec.Workspace]
		c.submitted++
		if _, ok := onTime[id]; ok {
			c.onTime++
		}
		counts[a.spec.Workspace] = c
	}
	delete(counts, floodSpace(floodSender))
	var shares []float64
	for _, c := range counts {
		shares = append(shares, float64(c.onTime)/float64(c.submitted))
	}
	slices.Sort(shares)
	for i, share := range shares {
		mean += share / float64(len(shares))
		if tenth := floodWorkspaces / 10; i < tenth {
			worst += share / float64(tenth)
		}
	}
	return round(mean), round(worst)
}
