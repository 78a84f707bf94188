package sched

import "gypsumlead/work"

// Owner returns the workspace that submitted a job, empty if it has none. It returns false for an unknown job.
func (p *Pool) Owner(id work.ID) (string, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return j.spec.Workspace, true
}
