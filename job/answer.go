package job

import (
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// answer takes in what came of an effect; a missing answer changes nothing, the effect is sent again.
func (p *Pool) answer(a Answered, now time.Time) error {
	switch e := a.Effect.(type) {
	case Start:
		return p.answerStart(p.tries[e.Task.ID], a.Err, now)
	case Act:
		return p.answerAct(p.tries[e.Task], e, a.Err, now)
	}
	return nil
}

// answerStart believes a refusal only of the first request that this holder, who decided on
// the try, sent: before it nobody can have asked.
func (p *Pool) answerStart(t *Task, err error, now time.Time) error {
	if t == nil {
		return nil
	}
	first := t.live.fresh
	t.live.fresh = false
	if err == nil {
		t.live.started = true
		t.live.sent = time.Time{}
		return nil
	}
	if !first || !isRefusal(err) {
		return nil
	}
	if t.State == Live {
		return p.follow(t, "the worker refused it: "+err.Error(), true, now)
	}
	return nil
}

// isRefusal tells whether the platform says that nothing was done.
func isRefusal(err error) bool {
	k := fault.KindOf(err)
	return k != fault.StoreDown && fault.AnswerTo(k).Outcome == fault.NotRun
}

func (p *Pool) answerAct(t *Task, e Act, err error, now time.Time) error {
	if t == nil {
		return nil
	}
	if fault.Is(err, fault.Missing) {
		return p.answerMissing(t, now)
	}
	if err != nil {
		return nil
	}
	switch {
	case e.Act == backing.ActRenew:
		t.live.until = e.Until
	case e.Act == backing.ActThrottle && t.State == Throttling:
		return p.slowed(t, now)
	case e.Act == backing.ActStop && t.State == Stopping:
		return p.move(t, Acked, now)
	case e.Act == backing.ActCheckpoint && t.State == Saving:
		t.live.sent = never
	}
	return nil
}

// answerMissing takes in that the worker has never had the try: its start is sent again, but for
// one that is to be stopped, which can't be started by a late request once its lease has ended.
func (p *Pool) answerMissing(t *Task, now time.Time) error {
	t.live.started = false
	t.live.sent = time.Time{}
	if t.State != Stopping {
		return nil
	}
	t.Until = p.until
	return p.move(t, Silence, now)
}

// never is later than any resend, for effects that were acknowledged.
var never = time.Unix(1<<40, 0)

// rank orders effects: what urgent work waits for goes first, renewals have the most time.
type rank int

const (
	rankUrgent rank = iota // starts of urgent tasks, and what makes room
	rankStart
	rankRenew
	rankCount
)

// Effects returns what is to be done on the platform by the committed state, a bounded number
// at a time; it is all derived from the state, so that a new holder goes on where another one
// was killed.
func (p *Pool) Effects(now time.Time) []Effect {
	var ranked [rankCount][]*Task
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if r, ok := p.rankOf(t, now); ok {
				ranked[r] = append(ranked[r], t)
			}
		}
	}
	var out []Effect
	for _, ts := range ranked {
		for _, t := range ts[:min(len(ts), p.policy.Acts-len(out))] {
			t.live.sent = now
			out = append(out, p.effect(t))
		}
	}
	return out
}

// rankOf tells whether an effect of the task is due, and how much it matters.
func (p *Pool) rankOf(t *Task, now time.Time) (rank, bool) {
	if now.Sub(t.live.sent) < p.policy.Resend {
		return 0, false
	}
	switch t.State {
	case Live:
		if t.live.started {
			return rankRenew, t.live.until.Before(p.until)
		}
		if t.job.Urgent {
			return rankUrgent, true
		}
		return rankStart, true
	case Slow:
		return rankRenew, t.live.until.Before(p.until)
	case Throttling, Saving, Stopping:
		return rankUrgent, true
	}
	return 0, false
}

func (p *Pool) effect(t *Task) Effect {
	if t.State == Stopping {
		return Act{Task: t.ID(), Act: backing.ActStop}
	}
	if !t.live.started {
		t.live.until = p.until
		return Start{Task: p.task(t)}
	}
	switch t.State {
	case Throttling:
		return Act{Task: t.ID(), Act: backing.ActThrottle}
	case Saving:
		return Act{Task: t.ID(), Act: backing.ActCheckpoint}
	}
	return Act{Task: t.ID(), Act: backing.ActRenew, Until: p.until}
}

func (p *Pool) task(t *Task) backing.Task {
	return backing.Task{
		ID: t.ID(), Job: t.job.Name, Team: t.job.Team, Worker: t.Worker, Boot: t.Boot,
		Size: t.Size.size(), Epoch: p.epoch, Until: p.until,
	}
}
