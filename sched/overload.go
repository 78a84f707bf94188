package sched

import (
	"container/heap"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"gypsumlead/work"
)

// maxPacking is the share of a pool's CPU that tasks can use at best. The rest is fragments that are too small for a
// further task.
const maxPacking = 0.9

// occurrenceLoad is the work of an occurrence's tasks that have no run yet.
type occurrenceLoad struct {
	occurrence *occurrence
	deadline   time.Time     // time by which the pool has to finish it
	duration   time.Duration // with the whole pool to itself
	shedWeight float64       // the largest is shed first
	excess     bool          // beyond the guaranteed rate of its workspace: shed before all others
}

// minShedFactor is added to the job's pseudo-random factor, so that the job's size always counts.
const minShedFactor = 0.2

// shedWeight returns the weight by which occurrences are shed. It grows with the square root of the remaining work
// and with a factor derived from the job's ID: if the largest job were always shed, no large job would be on time
// while there are small ones. The factor of a job stays the same, so that a job that has started isn't shed in favour
// of another.
func shedWeight(duration time.Duration, jobFactor float64) float64 {
	return math.Sqrt(duration.Seconds()) * (minShedFactor + jobFactor)
}

// shedFactor derives a job's pseudo-random factor from its ID.
func shedFactor(id work.ID) float64 {
	f := fnv.New32a()
	f.Write([]byte(id)) // a hash's Write returns no error
	return float64(f.Sum32()) / math.MaxUint32
}

// shedHeap is a heap.Interface with the first load to shed on top.
type shedHeap []occurrenceLoad

func (h shedHeap) Len() int      { return len(h) }
func (h shedHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *shedHeap) Push(x any)   { *h = append(*h, x.(occurrenceLoad)) }
func (h shedHeap) Less(a, b int) bool {
	if h[a].excess != h[b].excess {
		return h[a].excess
	}
	return h[a].shedWeight > h[b].shedWeight
}

func (h *shedHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// overload returns the occurrences to shed when the load exceeds the pool's capacity, so that as many of the others
// as possible are on time. Scheduling by urgency alone would make every job a little late. The rule is close to the
// Moore-Hodgson algorithm for one machine as wide as the pool: whenever an occurrence would be late, one of the
// larger ones so far is shed. Excess jobs are shed before those within the guaranteed rates, and the more a workspace has
// used of the pool in relation to its share, the sooner its jobs are.
func (p *Pool) overload(now, wall time.Time) map[*occurrence]struct{} {
	shed := map[*occurrence]struct{}{}
	byPriority := map[int][]occurrenceLoad{}
	p.resetRooms()
	for _, j := range p.live {
		if j.state.Final() {
			continue
		}
		for _, occ := range j.occurrences {
			load, ok := p.loadOf(now, wall, occ, j)
			if ok && p.capsAllow(wall, occ) {
				byPriority[j.queue.Priority] = append(byPriority[j.queue.Priority], load)
			}
		}
	}
	var urgentWork time.Duration // time that more urgent queues take
	for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
		urgentWork = shedExcess(now, urgentWork, byPriority[priority], shed)
	}
	p.noteShed(shed)
	return shed
}

// loadOf returns an occurrence's load. It returns false if the occurrence has nothing to start, isn't due, is late in
// any case, or has long-running or best-effort steps, or if the pool has no schedulable CPU.
func (p *Pool) loadOf(now, wall time.Time, occ *occurrence, j *job) (occurrenceLoad, bool) {
	if p.schedulableCPU <= 0 || !occ.due.IsZero() && wall.Before(occ.due) {
		return occurrenceLoad{}, false
	}
	waiting := 0.0
	for _, s := range occ.steps {
		if s.spec.LongRunning || s.spec.BestEffort {
			return occurrenceLoad{}, false
		}
		waiting += s.cpuTime(s.waiting)
	}
	deadline := p.latestStart(occ, j)
	if waiting == 0 || now.After(deadline) {
		return occurrenceLoad{}, false
	}
	duration := p.durationOf(waiting, maxPacking*float64(p.schedulableCPU), j)
	// The last tasks may start at the latest start; what follows them runs beside other work.
	return occurrenceLoad{
		occ, deadline.Add(min(duration, p.estimateRatios[j.queue.Name].expected(occ.remainingCriticalPath()))), duration,
		shedWeight(duration, j.shedFactor) * p.shares.shareFactor(j), j.excess,
	}, true
}

// shedExcess adds to shed the occurrences of one priority to shed. It returns how long the pool is busy with the
// others and with urgentWork, the time that more urgent queues take.
func shedExcess(now time.Time, urgentWork time.Duration, list []occurrenceLoad, shed map[*occurrence]struct{}) time.Duration {
	slices.SortStableFunc(list, func(a, b occurrenceLoad) int { return a.deadline.Compare(b.deadline) })
	var kept shedHeap
	sum := urgentWork
	for _, load := range list {
		heap.Push(&kept, load)
		sum += load.duration
		if now.Add(sum).After(load.deadline) {
			largest := heap.Pop(&kept).(occurrenceLoad)
			sum -= largest.duration
			shed[largest.occurrence] = struct{}{}
		}
	}
	return sum
}
