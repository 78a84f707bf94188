package sched

import (
	"time"

	"gypsumlead/work"
)

// Time slots in which arriving work is counted.
const (
	arrivalSlot  = 250 * time.Millisecond
	arrivalSlots = 8 // two seconds: the last one is compared with the one before
)

// Demand is the CPU that a pool's work needs, in millicores.
type Demand struct {
	Used        int64   // by runs in progress
	LongRunning int64   // part of Used: by long-running tasks
	Overdue     int64   // part of Used: by tasks of occurrences whose objective has passed
	Waiting     int64   // by tasks that can start and can end on time
	Late        int64   // by tasks that can start and can't end on time
	ArrivalRate float64 // CPU time accepted per second, over the last second
	Before      float64 // the same over the second before
}

// arrivals counts the accepted CPU time in millicore-seconds, by time slot.
type arrivals struct {
	slots [arrivalSlots]float64
	slot  int64
}

// advance clears the slots that have started since the last call.
func (a *arrivals) advance(now time.Time) {
	at := now.UnixNano() / int64(arrivalSlot)
	for i := max(a.slot+1, at-arrivalSlots+1); i <= at; i++ {
		a.slots[i%arrivalSlots] = 0
	}
	a.slot = max(a.slot, at)
}

// add counts CPU time accepted now.
func (a *arrivals) add(now time.Time, cpuTime float64) {
	a.advance(now)
	a.slots[a.slot%arrivalSlots] += cpuTime
}

// rates returns the CPU time accepted during the last second and during the one before.
func (a *arrivals) rates(now time.Time) (float64, float64) {
	a.advance(now)
	var last, before float64
	for i := range int64(arrivalSlots) {
		v := a.slots[((a.slot-i)%arrivalSlots+arrivalSlots)%arrivalSlots]
		if i < arrivalSlots/2 {
			last += v
		} else {
			before += v
		}
	}
	return last, before
}

// Demand returns the CPU that the pool's work needs.
func (p *Pool) Demand(now, wall time.Time) Demand {
	var d Demand
	for _, r := range p.runners {
		d.Used += r.used.CPU
		for run := range r.runs {
			switch s := run.task.step; {
			case s.spec.BestEffort:
			case run.isCopy():
				d.Used -= s.spec.Resources.CPU // it uses what is free and needs no machines
			case s.spec.LongRunning:
				d.LongRunning += s.spec.Resources.CPU
			case now.After(p.objective(s.occurrence, s.job)):
				d.Overdue += s.spec.Resources.CPU
			}
		}
	}
	p.measureWorkspaces()
	candidates := p.candidates(now, wall)
	p.resetRooms()
	for _, c := range candidates {
		if c.step.spec.BestEffort {
			continue
		}
		need := max(0, p.countStartable(c.step)-int64(c.step.awaiting)) * c.step.spec.Resources.CPU
		if c.late {
			d.Late += need
		} else {
			d.Waiting += need
		}
	}
	d.ArrivalRate, d.Before = p.arrivals.rates(now)
	return d
}

// RunnerStatus is the state of a runner on which autoscaling and maintenance decide.
type RunnerStatus struct {
	Runner         string
	Machine        string
	Rack           string
	Room           work.Resources
	Used           int64 // millicores
	LongRunning    int   // long-running tasks on it
	Runs           int
	Schedulable    bool // it answers polls and isn't draining; it may be evacuating or excluded
	Evacuating     bool
	MaintenanceDue bool
}

// RunnerStatuses returns the listed runners, ordered by ID.
func (p *Pool) RunnerStatuses(_ time.Time) []RunnerStatus {
	var list []RunnerStatus
	for _, r := range p.sortedRunners() {
		if !r.listed {
			continue
		}
		list = append(list, RunnerStatus{
			Runner: r.ID, Machine: r.Machine, Rack: r.rack(), Room: r.Room, Used: r.used.CPU, LongRunning: r.countLongRunning(),
			Runs: len(r.runs), Schedulable: !r.pollFailed && !r.Draining, Evacuating: r.evacuating, MaintenanceDue: r.maintenanceDue,
		})
	}
	return list
}

// SetRetained sets which runners stay when the pool releases machines. Long-running tasks are placed there first.
func (p *Pool) SetRetained(ids map[string]struct{}) {
	for id, r := range p.runners {
		_, r.retained = ids[id]
	}
	p.retaining = len(ids) > 0
}
