//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gypsumlead/standin"
)

func init() { cases["cancels"] = cancels }

// cancels: for 4.5 s the store doesn't answer 35% of the writes and carries them out 1 to 6 s later. Clients hand in a job every 150 ms;
// a client that has no answer after 900 ms leaves, and cancels the job it no longer wants, until it is answered 2xx or 410.
// A job has eight steps of 1.5 s, one after the other. Without the trouble the store answers all writes.
func cancels(s *site, trouble bool) int {
	if err := smallSite(s, 9, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	c := newClients(s)
	if trouble {
		s.record.say("35%% of the writes are carried out late from now on")
		s.store.SetFaults(standin.StoreFaults{DelayedCommitRate: 0.35})
		s.tasks.calmSince(time.Now().Add(4500 * time.Millisecond))
		time.AfterFunc(4500*time.Millisecond, func() {
			s.store.SetFaults(standin.StoreFaults{})
			s.record.say("the store answers all writes again")
		})
	}
	for n := range 30 {
		var steps []specStep
		for i := range 8 {
			step := specStep{Count: 1, Ms: 1500, CPU: 500, Mem: 64}
			if i > 0 {
				step.After = []int{i - 1}
			}
			steps = append(steps, step)
		}
		job := chainJob(fmt.Sprintf("%016x", 0xdd00+n), "alerts", steps)
		c.wg.Go(func() { c.submitImpatiently(job, n) })
		time.Sleep(150 * time.Millisecond)
	}
	c.wg.Wait()
	time.Sleep(20 * time.Second)
	broken := s.tasks.violations()

	s.tasks.mu.Lock()
	s.record.say("%d jobs, %d of them cancelled by clients that had left, and acknowledged", 30, len(s.tasks.cancelled))
	s.tasks.mu.Unlock()
	for _, line := range broken[:min(len(broken), 8)] {
		s.record.say("  %s", line)
	}
	if len(broken) > 0 {
		s.record.say("BROKEN: %d starts", len(broken))
		return exitBroken
	}
	s.record.say("held")
	return exitHeld
}

// submitImpatiently hands a job in and cancels it if there is no answer within 900 ms.
func (c *clients) submitImpatiently(job *clientJob, first int) {
	d := c.site.daemons[first%len(c.site.daemons)]
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	status, _ := c.callWithin(ctx, http.MethodPost, d, "/"+job.service+"/"+job.id, job.body)
	c.site.record.log("POST %s at %s: %d", job.id, d.name, status)
	if status != 0 {
		return
	}
	for try := range 40 {
		d := c.site.daemons[(first+try)%len(c.site.daemons)]
		status, _ := c.call(http.MethodDelete, d, "/"+job.service+"/"+job.id, nil)
		c.site.record.log("DELETE %s at %s: %d", job.id, d.name, status)
		if slices.Contains([]int{http.StatusOK, http.StatusAccepted, http.StatusNoContent, http.StatusGone}, status) {
			c.site.tasks.cancelAcknowledged(job.id)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
