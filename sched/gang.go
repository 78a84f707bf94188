package sched

import "time"

// placeGang starts all tasks of a gang or none.
func (p *Pool) placeGang(now time.Time, s *step) bool {
	n := 0
	for _, t := range s.tasks {
		if t.doubt {
			return false
		}
		if len(t.runs) > 0 {
			p.dissolve(s)
			return true // the members of the last run are still ending
		}
		n = max(n, t.last)
	}
	n = p.number(n)
	if s.saved() != "" {
		for _, t := range s.tasks {
			t.saved = s.saved()
		}
	}
	mark := len(p.orders)
	for _, t := range s.tasks {
		r := p.choose(now, t)
		if r == nil {
			p.takeBack(now, s)
			p.orders = p.orders[:mark]
			return false
		}
		p.startOn(now, t, r, n)
	}
	return true
}

// takeBack undoes the starts of a gang that were not sent.
func (p *Pool) takeBack(now time.Time, s *step) {
	for _, t := range s.tasks {
		for _, x := range t.runs {
			t.drop(x, now)
		}
	}
}

// dissolve ends what is left of a gang that has lost a member.
func (p *Pool) dissolve(s *step) {
	for _, t := range s.tasks {
		for _, x := range t.runs {
			x.stop("its gang has lost a member")
		}
	}
}

// saved returns the checkpoint that the gang goes on from: any member's is valid for all.
func (s *step) saved() string {
	best := ""
	for _, t := range s.tasks {
		if t.saved > best {
			best = t.saved
		}
	}
	return best
}
