package sched

import "time"

// placeGang starts all tasks of a gang or none, all with the same run number. It returns false if they don't fit.
func (p *Pool) placeGang(now time.Time, s *step) bool {
	number := 0
	for _, t := range s.tasks {
		if t.held {
			return true // no room would change that
		}
		if len(t.runs) > 0 {
			p.stopGang(s)
			return true // members of the last run are still ending
		}
		number = max(number, t.lastRun)
	}
	number = p.nextRunNumber(number)
	if p.gangWaits(now, s) {
		return true
	}
	if s.checkpoint() != "" {
		for _, t := range s.tasks {
			t.checkpoint = s.checkpoint()
		}
	}
	mark := len(p.planned)
	for _, t := range s.tasks {
		r := p.chooseRunner(now, t)
		if r == nil {
			p.undoGangStart(now, s)
			p.planned = p.planned[:mark]
			return t.isSuspect() && p.reserveGangForTrial(now, s)
		}
		p.planRun(now, t, r, number)
	}
	return true
}

// undoGangStart removes the planned runs of a gang that doesn't fit.
func (p *Pool) undoGangStart(now time.Time, s *step) {
	for _, t := range s.tasks {
		for _, run := range t.runs {
			t.removeRun(run, now)
			p.projectRun(now, run, true)
		}
	}
}

// stopGang stops the remaining runs of a gang that has lost a member.
func (p *Pool) stopGang(s *step) {
	for _, t := range s.tasks {
		for _, run := range t.runs {
			run.stop("its gang has lost a member")
		}
	}
}

// checkpoint returns the checkpoint that a gang continues from. Any member's is valid for all.
func (s *step) checkpoint() string {
	best := ""
	for _, t := range s.tasks {
		if t.checkpoint > best {
			best = t.checkpoint
		}
	}
	return best
}
