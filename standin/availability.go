package standin

import (
	"fmt"
	"strings"
	"time"

	"gypsumlead/work"
)

// noticeTime is how long a long-running task may be down for any cause before it counts as away, from the platform's
// documentation.
const noticeTime = 4500 * time.Millisecond

// serviceRecord is what the checker knows of a long-running task.
type serviceRecord struct {
	runner   *Runner   // of the run in progress; nil without one
	atWorkAt time.Time // when the run in progress is fully started
	stopping bool      // an order is ending the run in progress
	byOrder  bool      // an order ended the task, and it hasn't been at work since
	downAt   time.Time // since when it hasn't been at work; zero if it never was
}

// atWork reports whether the task is fully started and not being ended.
func (s *serviceRecord) atWork(now time.Time) bool {
	return s.runner != nil && !s.stopping && !now.Before(s.atWorkAt)
}

// away reports whether the task counts against the allowance of its step.
func (s *serviceRecord) away(now time.Time) bool {
	return !s.atWork(now) && (s.byOrder || now.Sub(s.downAt) >= noticeTime)
}

// end records that the run in progress is ended or about to be.
func (s *serviceRecord) end(now time.Time, byOrder bool) {
	if s.atWork(now) {
		s.byOrder, s.downAt = false, now
	}
	s.byOrder = s.byOrder || byOrder
}

// serviceStarted records the start of a run of a long-running task, which is fully started at the given time.
func (c *Checker) serviceStarted(r *Runner, task string, atWorkAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(task)
	s.end(time.Now(), false)
	s.runner, s.atWorkAt, s.stopping = r, atWorkAt, false
}

// service returns the record of a long-running task, new if there is none; the caller holds c.mu.
func (c *Checker) service(task string) *serviceRecord {
	if c.services[task] == nil {
		c.services[task] = &serviceRecord{}
	}
	return c.services[task]
}

// serviceGone records that a run has ended.
func (c *Checker) serviceGone(r *Runner, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[task]; s != nil && s.runner == r {
		s.end(time.Now(), false)
		s.runner, s.stopping = nil, false
	}
}

// serviceOrdered records that an order ends a run. It is a violation if the task is at work while as many others of its
// step are away as may be, unless the order was delayed or the job is cancelled.
func (c *Checker) serviceOrdered(r *Runner, task, order string, delayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[task]
	if s == nil || s.runner != r || s.stopping {
		return
	}
	now := time.Now()
	if s.atWork(now) && !delayed {
		c.checkAllowance(now, r, task, order)
	}
	s.end(now, true)
	s.stopping = true
}

// checkAllowance records a violation if as many others of a task's step are away as may be; the caller holds c.mu.
func (c *Checker) checkAllowance(now time.Time, r *Runner, task, order string) {
	t, ok := work.ParseTask(task)
	jr := c.jobs[t.Job]
	if !ok || jr == nil || jr.cancelSent {
		return
	}
	step := jr.job.Steps[t.Step]
	if !step.HasMaxUnavailable {
		return
	}
	var away []string
	for i := range step.Count {
		other := work.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: i}.String()
		if s := c.service(other); other != task && s.away(now) {
			away = append(away, fmt.Sprintf("%s (by an order: %v, at work until %s)", other, s.byOrder, s.downAt.Format("05.000")))
		}
	}
	if len(away) >= step.MaxUnavailable {
		c.addViolation("%s %s on %s was ended by %s while %d others of its step were away and %d may be: %s", now.Format("05.000"), task, r.ID, order, len(away), step.MaxUnavailable, strings.Join(away, ", "))
	}
}

// Evacuating returns the job of a long-running task that an order is ending at this moment. It returns false if there is
// none.
func (c *Checker) Evacuating() (work.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		if t, ok := work.ParseTask(name); ok && s.runner != nil && s.stopping {
			return t.Job, true
		}
	}
	return "", false
}
