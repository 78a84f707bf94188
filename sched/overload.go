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

// packing is the share of a pool's room that tasks fill at best: what is left over on a runner takes no further task.
const packing = 0.9

// load is the work of a turn that has no run yet.
type load struct {
	turn  *turn
	by    time.Time // until then the pool has to be through with it
	takes time.Duration
	yield float64 // the largest gives way first
}

// yieldLeast keeps a job's luck from making its size mean nothing.
const yieldLeast = 0.2

// yield grows with what is left of a job, but by its square root and by a luck of its own: if the largest
// always gave way, no large job would ever be in time while there are small ones. A job keeps its luck, so
// that one that has begun isn't given up for another.
func yield(takes time.Duration, id work.ID) float64 {
	f := fnv.New32a()
	f.Write([]byte(id)) // a hash's Write returns no error
	luck := float64(f.Sum32()) / math.MaxUint32
	return math.Sqrt(takes.Seconds()) * (yieldLeast + luck)
}

// heaviest holds loads with the first to give way on top.
type heaviest []load

func (h heaviest) Len() int           { return len(h) }
func (h heaviest) Less(a, b int) bool { return h[a].yield > h[b].yield }
func (h heaviest) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *heaviest) Push(x any)        { *h = append(*h, x.(load)) }
func (h *heaviest) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// overload returns the turns that can't all be in time beside the others, chosen so that many are: where the
// most urgent first would make each a little late, all would be late. It answers a load above what the pool
// holds. The rule is close to Moore and Hodgson's for one machine that is as wide as the pool: where one would
// be late, one of the larger ones so far goes.
func (p *Pool) overload(now, wall time.Time) map[*turn]struct{} {
	out := map[*turn]struct{}{}
	byPriority := map[int][]load{}
	for _, j := range p.live {
		if j.state.Final() {
			continue
		}
		for _, t := range j.turns {
			l, ok := p.loadOf(now, wall, t, j)
			if ok {
				byPriority[j.queue.Priority] = append(byPriority[j.queue.Priority], l)
			}
		}
	}
	var before time.Duration // what more urgent queues take
	for _, n := range slices.Sorted(maps.Keys(byPriority)) {
		before = shed(now, before, byPriority[n], out)
	}
	return out
}

// loadOf returns a turn's load; ok is false where it asks for no room now or is late anyhow.
func (p *Pool) loadOf(now, wall time.Time, t *turn, j *job) (load, bool) {
	if p.room <= 0 || !t.due.IsZero() && wall.Before(t.due) {
		return load{}, false
	}
	waiting := 0.0
	for _, s := range t.steps {
		if s.spec.LongRunning || s.spec.BestEffort {
			return load{}, false
		}
		waiting += s.work(s.wait)
	}
	by := p.latest(t, j)
	if waiting == 0 || now.After(by) {
		return load{}, false
	}
	takes := p.through(waiting, packing*float64(p.room), j)
	// The last of it may start at the latest start, and what comes after that runs beside other work.
	return load{t, by.Add(min(takes, p.learned[j.queue.Name].of(t.rest()))), takes, yield(takes, j.id)}, true
}

// shed adds to out the turns of one priority that give way, and returns until when, from now on, the rest takes the pool.
func shed(now time.Time, before time.Duration, list []load, out map[*turn]struct{}) time.Duration {
	slices.SortStableFunc(list, func(a, b load) int { return a.by.Compare(b.by) })
	var kept heaviest
	sum := before
	for _, l := range list {
		heap.Push(&kept, l)
		sum += l.takes
		if now.Add(sum).After(l.by) {
			largest := heap.Pop(&kept).(load)
			sum -= largest.takes
			out[largest.turn] = struct{}{}
		}
	}
	return sum
}
