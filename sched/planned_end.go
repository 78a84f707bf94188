package sched

import "time"

// endIsPlanned reports whether the end of the runner's present incarnation is planned: it drains, is evacuated, or its
// machine has been claimed for maintenance. Nothing that runs there is blamed for it.
func (r *runner) endIsPlanned() bool { return r.Draining || r.evacuating || r.endPlanned }

// SetEndPlanned records that an order may take a machine down, or has done so. It holds for the present incarnations of
// its runners, also after their evacuation: the evacuation may end before the pool knows the machine's next runner.
func (p *Pool) SetEndPlanned(now time.Time, machine string) {
	for _, r := range p.runners {
		if r.Machine == machine {
			r.endPlanned = true
		}
	}
	p.dropTrialsOf(now, machine)
}

// dropTrialsOf drops the lost trials on a machine's runners, whose ends were planned.
func (p *Pool) dropTrialsOf(now time.Time, machine string) {
	for t := range p.lostTrials {
		if machine != "" && t.lostTrial.Machine == machine {
			p.dropLostTrial(t)
			p.markChanged(t.step.job, now)
		}
	}
}
