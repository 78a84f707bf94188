package job

import "container/heap"

// line is a team's jobs of one urgency; the job that holds the fewest tasks is on top, so that a
// team's flood doesn't keep out its other jobs.
type line struct {
	team  *team
	jobs  []*Job
	share float64
	seat  int // first come, which orders equal shares
}

func (l *line) Len() int { return len(l.jobs) }
func (l *line) Less(i, k int) bool {
	a, b := l.jobs[i], l.jobs[k]
	return a.held < b.held || a.held == b.held && a.Born < b.Born
}
func (l *line) Swap(i, k int) { l.jobs[i], l.jobs[k] = l.jobs[k], l.jobs[i] }
func (l *line) Push(v any)    { l.jobs = append(l.jobs, v.(*Job)) }
func (l *line) Pop() any {
	last := len(l.jobs) - 1
	v := l.jobs[last]
	l.jobs = l.jobs[:last]
	return v
}

// lines is a heap of teams; the one with the least share of its quota is on top.
type lines []*line

func (l lines) Len() int { return len(l) }
func (l lines) Less(i, k int) bool {
	return l[i].share < l[k].share || l[i].share == l[k].share && l[i].seat < l[k].seat
}
func (l lines) Swap(i, k int) { l[i], l[k] = l[k], l[i] }
func (l *lines) Push(v any)   { *l = append(*l, v.(*line)) }
func (l *lines) Pop() any {
	old := *l
	v := old[len(old)-1]
	*l = old[:len(old)-1]
	return v
}

// newLines sorts the jobs of one urgency by team.
func (p *Pool) newLines(jobs []*Job) lines {
	byTeam := map[string]*line{}
	var h lines
	for _, j := range jobs {
		ln := byTeam[j.Team]
		if ln == nil {
			tm := p.team(j.Team)
			ln = &line{team: tm, share: tm.used.share(tm.quota), seat: len(h)}
			byTeam[j.Team] = ln
			h = append(h, ln)
		}
		ln.jobs = append(ln.jobs, j)
	}
	for _, ln := range h {
		heap.Init(ln)
	}
	heap.Init(&h)
	return h
}

func (p *Pool) placeLevel(s *pass, jobs []*Job) error {
	h := p.newLines(jobs)
	for len(h) > 0 && s.left > 0 {
		ln := h[0]
		ok, err := p.placeNext(s, ln.jobs[0])
		if err != nil {
			return err
		}
		if ok {
			heap.Fix(ln, 0)
		} else {
			heap.Pop(ln)
		}
		if len(ln.jobs) == 0 {
			heap.Pop(&h)
			continue
		}
		ln.share = ln.team.used.share(ln.team.quota)
		heap.Fix(&h, 0)
	}
	return nil
}
