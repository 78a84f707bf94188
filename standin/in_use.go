package standin

import "gypsumlead/work"

// InUse returns what the runs in progress on the runner declare, those of best-effort tasks included.
func (r *Runner) InUse() work.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum work.Resources
	for _, run := range r.runs {
		sum = sum.Add(work.Resources{CPU: run.spec.CPU, Mem: run.spec.Mem})
	}
	return sum
}
