//go:build review

package main

import (
	"fmt"
	"time"
)

// checkLost checks the rule LOST as it is asked finishS after the end of the traffic: an accepted job is to be known, it is not to
// be shown as failed unless a task has ended failed MaxAttempts times, nor as cancelled, which no client asks for here, and one
// whose tasks' turn has come is not to be without a run for 3 s while the service has room twice over. The jobs of these cases
// need far less than half of the service, which is checked too.
func (c *clients) checkLost(trafficEnds time.Time) int {
	time.Sleep(time.Until(trafficEnds.Add(finishS * time.Second)))
	if len(c.accepted()) == 0 {
		c.site.record.say("no job was accepted")
		return exitNotRun
	}
	used, room := 0, 0
	for _, r := range c.site.runners {
		r.mu.Lock()
		cpu, _ := r.inUse()
		r.mu.Unlock()
		used, room = used+cpu, room+r.cpu
	}
	idle, unknown, unfounded, done := 0, 0, 0, 0
	var examples []string
	for n, job := range c.accepted() {
		state := c.state(job, n)
		ended, running, last := c.site.tasks.ofJob(job.id)
		if last.IsZero() {
			last = job.acceptedAt
		}
		wait := time.Since(last)
		switch {
		case state == "completed":
			done++
		case state == "failed" && c.site.tasks.failedEnds(job.id) < maxAttempts || state == "cancelled":
			unfounded++
			examples = append(examples, fmt.Sprintf("job %s is shown as %s; no task of it has more than %d ends as failed, MaxAttempts is %d", job.id, state, c.site.tasks.failedEnds(job.id), maxAttempts))
		case state == "410" || state == "no answer":
			unknown++
			examples = append(examples, fmt.Sprintf("job %s, accepted: %s", job.id, state))
		case running == 0 && wait > 3*time.Second && 2*used < room:
			idle++
			examples = append(examples, fmt.Sprintf("job %s is %s, %d of %d tasks have ended done, nothing has run for %.1f s", job.id, state, ended, job.tasks, wait.Seconds()))
		}
	}
	c.site.record.say("%d jobs accepted, %d completed, %d not known, %d shown as failed or cancelled without cause, %d with nothing running for over 3 s; %d of %d thousandths of a core in use",
		len(c.accepted()), done, unknown, unfounded, idle, used, room)
	for _, line := range examples[:min(len(examples), 8)] {
		c.site.record.say("  %s", line)
	}
	broken := c.site.tasks.violations()
	for _, line := range broken[:min(len(broken), 8)] {
		c.site.record.say("  %s", line)
	}
	if idle+unknown+unfounded+len(broken) > 0 {
		c.site.record.say("BROKEN")
		return exitBroken
	}
	c.site.record.say("held")
	return exitHeld
}
