package job

import "time"

const readSoon = time.Second // between reads of a worker whose task is to leave it

// Reads returns the workers whose reports are due.
func (p *Pool) Reads(now time.Time) []string {
	soon := map[string]bool{}
	for _, j := range p.jobs {
		if j.off > 0 {
			p.awaited(j, soon)
		}
	}
	var out []string
	for _, w := range p.workers {
		every := p.policy.ReportEvery
		for _, t := range w.tasks {
			if t.State == Saving {
				soon[w.ID] = true
			}
		}
		if soon[w.ID] {
			every = readSoon
		}
		if (len(w.tasks) > 0 || soon[w.ID]) && now.Sub(w.asked) >= every {
			w.asked = now
			out = append(out, w.ID)
		}
	}
	return out
}

// awaited adds the workers that owe a last report of a stopped task.
func (p *Pool) awaited(j *Job, soon map[string]bool) {
	for _, n := range j.order {
		for _, t := range j.chunks[n].Tasks {
			if t.State == Off {
				soon[t.Worker] = true
			}
		}
	}
}
