//go:build review

package main

import (
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes: a job has one task of 20 s, on a service of nine runners. The runner that runs it crashes when the task has worked for
// 3 s, and is back after 3 s under its ID; this happens five times, one runner at a time. Nothing happens to anything else. Without
// the trouble no runner crashes.
func crashes(s *site, trouble bool) int {
	if err := smallSite(s, 9, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	c := newClients(s)
	job := newJob("00000000000000cc", "alerts", 1, 1, specStep{Ms: 20_000, CPU: 1000, Mem: 256}, nil)
	c.submit(job, 0)
	for n := range 5 {
		if !trouble {
			break
		}
		r := s.awaitWork(3*time.Second, 12*time.Second)
		if r == nil {
			s.record.say("nothing runs before crash %d", n+1)
			break
		}
		r.crash()
		time.AfterFunc(3*time.Second, r.restart)
		time.Sleep(3 * time.Second)
	}
	return c.checkLost(time.Now().Add(12 * time.Second))
}

// awaitWork waits for a runner with a run that has worked for a time, and returns nil if there is none within patience.
func (s *site) awaitWork(worked, patience time.Duration) *runner {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range s.runners {
			r.mu.Lock()
			found := false
			for _, run := range r.runs {
				found = found || time.Since(run.startedAt) >= worked
			}
			r.mu.Unlock()
			if found {
				return r
			}
		}
	}
	return nil
}
