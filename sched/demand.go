package sched

import (
	"time"

	"gypsumlead/work"
)

// Windows over which the work that comes in is counted.
const (
	rateSlot  = 250 * time.Millisecond
	rateSlots = 8 // two seconds: the last one against the one before
)

// Demand is what a pool's work asks for, in thousandths of a core.
type Demand struct {
	Used        int64   // by what runs
	LongRunning int64   // of that, by what lasts
	Waiting     int64   // by tasks that could start and are in time
	Late        int64   // by tasks that could start and are late already
	ArrivalRate float64 // core time that comes in, a second of time, over the last second
	Before      float64 // over the second before
}

// arrivals counts the core time that was accepted, by slots of time.
type arrivals struct {
	slots [rateSlots]float64
	slot  int64
}

func (a *arrivals) roll(now time.Time) {
	at := now.UnixNano() / int64(rateSlot)
	for i := max(a.slot+1, at-rateSlots+1); i <= at; i++ {
		a.slots[i%rateSlots] = 0
	}
	a.slot = max(a.slot, at)
}

func (a *arrivals) add(now time.Time, cores float64) {
	a.roll(now)
	a.slots[a.slot%rateSlots] += cores
}

// rates returns the core time a second over the last second and over the one before.
func (a *arrivals) rates(now time.Time) (float64, float64) {
	a.roll(now)
	var last, before float64
	for i := range int64(rateSlots) {
		v := a.slots[((a.slot-i)%rateSlots+rateSlots)%rateSlots]
		if i < rateSlots/2 {
			last += v
		} else {
			before += v
		}
	}
	return last, before
}

// Demand returns what the pool's work asks for.
func (p *Pool) Demand(now, wall time.Time) Demand {
	var d Demand
	for _, r := range p.runners {
		d.Used += r.used.CPU
		for x := range r.runs {
			if s := x.task.step.spec; s.LongRunning && !s.BestEffort {
				d.LongRunning += s.Resources.CPU
			}
		}
	}
	for _, c := range p.candidates(now, wall) {
		if c.step.spec.BestEffort {
			continue
		}
		need := int64(c.step.wait) * c.step.spec.Resources.CPU
		if c.late {
			d.Late += need
		} else {
			d.Waiting += need
		}
	}
	d.ArrivalRate, d.Before = p.arrived.rates(now)
	return d
}

// RunnerStatus is a runner as the decision on lending sees it.
type RunnerStatus struct {
	Runner         string
	Machine        string
	Rack           string
	Room           work.Resources
	Used           int64 // thousandths of a core
	LongRunning    int   // tasks that last on it
	Runs           int
	Schedulable    bool // it takes new work
	Evacuating     bool
	MaintenanceDue bool
}

// RunnerStatuses returns the pool's runners by their IDs.
func (p *Pool) RunnerStatuses(_ time.Time) []RunnerStatus {
	var list []RunnerStatus
	for _, r := range p.ordered() {
		if !r.listed {
			continue
		}
		list = append(list, RunnerStatus{
			Runner: r.ID, Machine: r.Machine, Rack: r.rack(), Room: r.Room, Used: r.used.CPU, LongRunning: r.lasting(),
			Runs: len(r.runs), Schedulable: !r.missed && !r.Draining, Evacuating: r.evacuate, MaintenanceDue: r.due,
		})
	}
	return list
}

// SetRetained names the runners that the pool will keep when it gives machines back; what lasts goes there first.
func (p *Pool) SetRetained(ids map[string]struct{}) {
	for id, r := range p.runners {
		_, r.keep = ids[id]
	}
	p.keeping = len(ids) > 0
}
