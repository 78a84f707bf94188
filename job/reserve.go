package job

// reserve keeps a worker free for a job whose tasks have waited long for room, so that smaller
// tasks which fit into every gap don't keep larger ones out for good.
func (p *Pool) reserve(s *pass, j *Job, need Amount) {
	if s.now.Sub(j.stuckAt) < p.policy.Patience || s.kept*reserveParts >= len(p.workers) || p.planned(j) > 0 {
		return
	}
	var best *Worker
	for _, w := range p.workers {
		if !w.takes(j) || w.plan.job != nil || !need.within(w.total) || j.racks[w.Rack] >= j.rackLimit() {
			continue
		}
		if best == nil || need.minus(w.free()).share(w.total) < need.minus(best.free()).share(best.total) {
			best = w
		}
	}
	if best == nil {
		return
	}
	s.kept++
	best.plan = plan{job: j, tasks: 1, until: s.now.Add(p.policy.Patience), kept: true}
	p.noteJob(j, "reserve", "its tasks waited long for room", s.now, "worker", best.ID, "size", need, "since", j.stuckAt)
	p.changes.touch(j)
}
