package sched

import (
	"encoding/json"
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/work"
)

// Progress is the part of a job's state that is stored besides the job itself.
type Progress struct {
	State       work.State           `json:"state"`
	Runners     []string             `json:"at,omitempty"`   // those that may have runs of the job
	Done        []byte               `json:"past,omitempty"` // of a job with many occurrences: one bit for each that is done, low bits first
	Occurrences []OccurrenceProgress `json:"turns,omitempty"`
}

// Limits that keep a job's progress well below what the store takes for a row.
const (
	fewOccurrences    = 100      // a job with more of them stores those that are done as bits
	maxCheckpointSize = 16 << 10 // of all checkpoints of a job; tasks beyond that start from the beginning under another leader
	checkpointExtra   = 10       // of each, for its task's index and punctuation
)

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	Occurrence int            `json:"turn"`
	Steps      []StepProgress `json:"steps"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	Done        []byte          `json:"done,omitempty"`    // one bit per task, low bits first
	FailedRuns  map[int][]int   `json:"fails,omitempty"`   // numbers of failed runs, by task; a gang's by -1
	Checkpoints map[int]string  `json:"saved,omitempty"`   // checkpoints, by task
	Crashes     map[int][]Crash `json:"crashes,omitempty"` // crashes of runners, by task
	Trials      map[int]Trial   `json:"trials,omitempty"`  // trials that aren't settled, by task
}

// gangKey is the key of a gang's failed runs in StepProgress.FailedRuns.
const gangKey = -1

// progress returns the job's progress to store. A final job keeps only its state.
func (j *job) progress() Progress {
	if j.state.Final() {
		if j.workspace != nil && j.hasRuns() {
			return Progress{State: j.state, Runners: j.placements.list()} // its runs count against a cap until they have ended
		}
		return Progress{State: j.state}
	}
	pr := Progress{State: j.state, Runners: j.placements.list()}
	if len(j.occurrences) > fewOccurrences {
		pr.Done = make([]byte, (len(j.occurrences)+7)/8)
	}
	checkpointRoom := maxCheckpointSize
	for i, occ := range j.occurrences {
		if pr.Done != nil && occ.done() {
			pr.Done[i/8] |= 1 << (i % 8)
			continue
		}
		op := OccurrenceProgress{Occurrence: occ.index}
		any := false
		for _, s := range occ.steps {
			sp := s.progress(&checkpointRoom)
			any = any || sp.Done != nil || sp.FailedRuns != nil || sp.Checkpoints != nil || sp.Crashes != nil || sp.Trials != nil
			op.Steps = append(op.Steps, sp)
		}
		if any {
			pr.Occurrences = append(pr.Occurrences, op)
		}
	}
	return pr
}

// done reports whether all tasks of the occurrence are done.
func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.remaining > 0 })
}

// progress returns the step's progress to store, with checkpoints as far as there is room for them.
func (s *step) progress(checkpointRoom *int) StepProgress {
	var sp StepProgress
	if s.remaining < len(s.tasks) {
		sp.Done = make([]byte, (len(s.tasks)+7)/8)
	}
	for i, t := range s.tasks {
		if t.done {
			sp.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if len(t.failedRuns) > 0 {
			sp.addFailedRuns(i, t.failedRuns)
		}
		if size := len(t.checkpoint) + checkpointExtra; t.checkpoint != "" && s.spec.Checkpointing && size <= *checkpointRoom {
			*checkpointRoom -= size
			if sp.Checkpoints == nil {
				sp.Checkpoints = map[int]string{}
			}
			sp.Checkpoints[i] = t.checkpoint
		}
		sp.addCrashes(i, t)
	}
	if len(s.failedRuns) > 0 {
		sp.addFailedRuns(gangKey, s.failedRuns)
	}
	return sp
}

// addFailedRuns sets the failed runs of a task index or of gangKey.
func (sp *StepProgress) addFailedRuns(key int, runs []int) {
	if sp.FailedRuns == nil {
		sp.FailedRuns = map[int][]int{}
	}
	sp.FailedRuns[key] = runs
}

// addCrashes sets the crashes and the trial of a task.
func (sp *StepProgress) addCrashes(key int, t *task) {
	if len(t.crashes) > 0 {
		if sp.Crashes == nil {
			sp.Crashes = map[int][]Crash{}
		}
		sp.Crashes[key] = slices.Clone(t.crashes)
	}
	if trial := t.trialToStore(); trial != nil {
		if sp.Trials == nil {
			sp.Trials = map[int]Trial{}
		}
		sp.Trials[key] = *trial
	}
}

// Encode returns the progress in its stored form.
func (pr Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(pr)
	return b, fault.Wrap(fault.Internal, err, "encode job progress")
}

// DecodeProgress decodes a job's progress from its stored form.
func DecodeProgress(value []byte) (Progress, error) {
	var pr Progress
	err := json.Unmarshal(value, &pr)
	return pr, fault.Wrap(fault.Invalid, err, "decode job progress")
}

// RestoreJob adds a job that an earlier leader accepted, with its stored progress or nil. It does nothing if the job is
// known.
func (p *Pool) RestoreJob(now time.Time, id work.ID, queue work.Queue, spec work.Job, accepted time.Time, pr *Progress) {
	if _, ok := p.jobs[id]; ok {
		return
	}
	j := newJob(id, p.newestTerms(queue), spec, accepted)
	j.inherited, j.workspace = true, p.joinWorkspace(spec.Workspace, queue.Version)
	p.jobs[id] = j
	p.shares.unclassified = append(p.shares.unclassified, j)
	if pr != nil {
		p.restore(now, j, *pr)
	}
	if !j.state.Final() {
		p.live = append(p.live, j)
	}
}

// restore applies stored progress to a new job.
func (p *Pool) restore(now time.Time, j *job, pr Progress) {
	if pr.State.Final() {
		j.state, j.committedState, j.ended = pr.State, pr.State, now
		// Polls find the job's remaining runs, which are then stopped.
		if len(pr.Runners) > 0 {
			j.restorePlacements(pr.Runners)
			p.endedInherited = append(p.endedInherited, j)
		}
		return
	}
	j.restorePlacements(pr.Runners)
	for i, occ := range j.occurrences {
		if bitSet(pr.Done, i) {
			occ.markDone()
		}
	}
	for _, op := range pr.Occurrences {
		if op.Occurrence < 0 || op.Occurrence >= len(j.occurrences) {
			continue
		}
		for stepIndex, sp := range op.Steps {
			if stepIndex < len(j.occurrences[op.Occurrence].steps) {
				p.restoreStep(j.occurrences[op.Occurrence].steps[stepIndex], sp)
			}
		}
	}
	if pr.started() {
		j.state = work.Running
	}
}

// started reports whether the progress proves that a runner has started a task. A crash that is blamed on a task doesn't:
// its start may not have been confirmed.
func (pr Progress) started() bool {
	for _, op := range pr.Occurrences {
		if slices.ContainsFunc(op.Steps, func(sp StepProgress) bool { return sp.Done != nil || sp.FailedRuns != nil || sp.Checkpoints != nil }) {
			return true
		}
	}
	return slices.ContainsFunc(pr.Done, func(bits byte) bool { return bits != 0 })
}

// restoreStep applies stored progress to a new step.
func (p *Pool) restoreStep(s *step, sp StepProgress) {
	s.restore(sp)
	for i, t := range s.tasks {
		if trial, ok := sp.Trials[i]; ok && !t.done {
			p.addLostTrial(t, &trial)
		}
	}
}

// markDone marks all tasks of the occurrence as done.
func (o *occurrence) markDone() {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			t.markDone()
		}
	}
}

// bitSet reports whether a bit is set; low bits come first.
func bitSet(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// restore applies stored progress to a new step.
func (s *step) restore(sp StepProgress) {
	s.failedRuns = sp.FailedRuns[gangKey]
	for i, t := range s.tasks {
		if bitSet(sp.Done, i) {
			t.markDone()
		}
		t.failedRuns = sp.FailedRuns[i]
		for _, number := range t.failedRuns {
			t.lastRun = max(t.lastRun, number)
		}
		t.crashes = sp.Crashes[i]
		t.suspect = len(t.crashes) > 0
		for _, c := range t.crashes {
			t.lastRun = max(t.lastRun, c.Run)
		}
		t.checkpoint = sp.Checkpoints[i]
	}
}
