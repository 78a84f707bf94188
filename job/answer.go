package job

import (
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
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
	if t == nil || err != nil {
		return nil
	}
	switch {
	case e.Act == platform.ActRenew:
		t.live.until = e.Until
	case e.Act == platform.ActThrottle && t.State == Throttling:
		return p.slowed(t, now)
	case e.Act == platform.ActStop && t.State == Stopping:
		return p.move(t, Acked, now)
	case e.Act == platform.ActCheckpoint && t.State == Saving:
		t.live.sent = never
	}
	return nil
}

// never is later than any resend, for effects that were acknowledged.
var never = time.Unix(1<<40, 0)

// Effects returns what is to be done on the platform by the committed state; it is all derived
// from the state, so that a new holder goes on where another one was killed.
func (p *Pool) Effects(now time.Time) []Effect {
	var out []Effect
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if e := p.effect(t, now); e != nil {
				out = append(out, e)
			}
		}
	}
	return out
}

func (p *Pool) effect(t *Task, now time.Time) Effect {
	if e := p.renewal(t); e != nil && p.due(t, now) {
		t.live.sent = now
		return e
	}
	if !p.due(t, now) {
		return nil
	}
	switch t.State {
	case Live:
		if t.live.started {
			return nil
		}
		t.live.sent, t.live.until = now, p.until
		return Start{Task: p.task(t)}
	case Throttling:
		t.live.sent = now
		return Act{Task: t.ID(), Act: platform.ActThrottle}
	case Saving:
		t.live.sent = now
		return Act{Task: t.ID(), Act: platform.ActCheckpoint}
	case Stopping:
		t.live.sent = now
		return Act{Task: t.ID(), Act: platform.ActStop}
	}
	return nil
}

// due tells whether the last request for the task is old enough to be repeated.
func (p *Pool) due(t *Task, now time.Time) bool {
	return now.Sub(t.live.sent) >= p.policy.Resend
}

// renewal returns the renewal that a started try needs.
func (p *Pool) renewal(t *Task) Effect {
	if !t.State.runs() || !t.live.started || !t.live.until.Before(p.until) {
		return nil
	}
	return Act{Task: t.ID(), Act: platform.ActRenew, Until: p.until}
}

func (p *Pool) task(t *Task) platform.Task {
	return platform.Task{
		ID: t.ID(), Job: t.job.Name, Team: t.job.Team, Worker: t.Worker, Boot: t.Boot,
		Size: t.Size.size(), Epoch: p.epoch, Until: p.until,
	}
}
