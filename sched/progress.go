package sched

import (
	"encoding/json"
	"time"

	"gypsumlead/fault"
	"gypsumlead/work"
)

// Progress is what the store keeps of a job besides the job itself.
type Progress struct {
	State       work.State           `json:"state"`
	Occurrences []OccurrenceProgress `json:"turns,omitempty"`
}

// OccurrenceProgress is how far one turn is.
type OccurrenceProgress struct {
	Occurrence int            `json:"turn"`
	Steps      []StepProgress `json:"steps"`
}

// StepProgress is how far one step is.
type StepProgress struct {
	Done        []byte         `json:"done,omitempty"`  // a bit a task
	FailedRuns  map[int][]int  `json:"fails,omitempty"` // numbers of failed runs, by task; a gang's by -1
	Checkpoints map[int]string `json:"saved,omitempty"` // checkpoints, by task
}

// gangFails is the key under which a gang's failed runs stand.
const gangFails = -1

// progress returns what is to be stored of a job.
func (j *job) progress() Progress {
	if j.state.Final() {
		return Progress{State: j.state}
	}
	pr := Progress{State: j.state}
	for _, t := range j.turns {
		td := OccurrenceProgress{Occurrence: t.k}
		any := false
		for _, s := range t.steps {
			sd := s.progress()
			any = any || sd.Done != nil || sd.FailedRuns != nil || sd.Checkpoints != nil
			td.Steps = append(td.Steps, sd)
		}
		if any {
			pr.Occurrences = append(pr.Occurrences, td)
		}
	}
	return pr
}

func (s *step) progress() StepProgress {
	var d StepProgress
	if s.left < len(s.tasks) {
		d.Done = make([]byte, (len(s.tasks)+7)/8)
	}
	for i, t := range s.tasks {
		if t.done {
			d.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if len(t.fails) > 0 {
			d.fail(i, t.fails)
		}
		if t.saved != "" && s.spec.Checkpointing {
			if d.Checkpoints == nil {
				d.Checkpoints = map[int]string{}
			}
			d.Checkpoints[i] = t.saved
		}
	}
	if len(s.fails) > 0 {
		d.fail(gangFails, s.fails)
	}
	return d
}

func (d *StepProgress) fail(i int, runs []int) {
	if d.FailedRuns == nil {
		d.FailedRuns = map[int][]int{}
	}
	d.FailedRuns[i] = runs
}

// Encode returns the progress in the store's form.
func (pr Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(pr)
	return b, fault.Wrap(fault.Internal, err, "encode progress")
}

// DecodeProgress reads a job's progress from the store.
func DecodeProgress(value []byte) (Progress, error) {
	var pr Progress
	err := json.Unmarshal(value, &pr)
	return pr, fault.Wrap(fault.Invalid, err, "progress of a job")
}

// RestoreJob takes in a job that an earlier holder accepted, with its progress; nil is none.
func (p *Pool) RestoreJob(now time.Time, id work.ID, queue work.Queue, spec work.Job, accepted time.Time, pr *Progress) {
	if _, ok := p.jobs[id]; ok {
		return
	}
	if q, ok := p.queues[queue.Name]; ok {
		queue = q
	}
	j := newJob(id, queue, spec, accepted)
	j.inherited = true
	p.jobs[id] = j
	if pr != nil {
		p.restore(now, j, *pr)
	}
	if !j.state.Final() {
		p.live = append(p.live, j)
	}
}

func (p *Pool) restore(now time.Time, j *job, pr Progress) {
	if pr.State.Final() {
		j.state, j.shown, j.ended = pr.State, pr.State, now
		// Runs that are left of it are found by the looks, and stopped.
		return
	}
	for _, td := range pr.Occurrences {
		if td.Occurrence >= len(j.turns) {
			continue
		}
		for n, sd := range td.Steps {
			if n < len(j.turns[td.Occurrence].steps) {
				j.turns[td.Occurrence].steps[n].restore(sd)
			}
		}
	}
	if len(pr.Occurrences) > 0 {
		j.state = work.Running
	}
}

func (s *step) restore(d StepProgress) {
	s.fails = d.FailedRuns[gangFails]
	for i, t := range s.tasks {
		if i/8 < len(d.Done) && d.Done[i/8]&(1<<(i%8)) != 0 {
			t.finish()
		}
		t.fails = d.FailedRuns[i]
		for _, n := range t.fails {
			t.last = max(t.last, n)
		}
		t.saved = d.Checkpoints[i]
	}
}
