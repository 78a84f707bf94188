//go:build review

package main

import (
	"time"
)

func init() { cases["ends"] = ends }

// ends: a job of 2,000 small tasks of 4 to 6 s runs on workers of 16 cores, about 1,000 on each. When the first of them have
// ended, the process that schedules them is killed; it is started again a second later, as the platform does. Without the
// trouble nothing is killed.
func ends(s *site, trouble bool) int {
	if err := smallSite(s, 4, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	const tasks = 2000
	c := newClients(s)
	job := newJob("00000000000000ee", "alerts", 1, tasks, specStep{Ms: 4000, Spread: 2000, CPU: 15, Mem: 32}, nil)
	c.submit(job, 0)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if done, _, _ := s.tasks.ofJob(job.id); done >= 20 {
			break
		}
		if time.Now().After(end) {
			s.record.say("no task has ended")
			return exitNotRun
		}
	}
	victim := s.leader("alerts")
	if victim == nil {
		s.record.say("nobody leads the service")
		return exitNotRun
	}
	if trouble {
		for _, r := range s.runners {
			r.mu.Lock()
			s.record.log("%s runs %d tasks", r.id, len(r.runs))
			r.mu.Unlock()
		}
		s.record.say("%s, which schedules the service, is killed", victim.name)
		_ = victim.cmd.Process.Kill()
		time.Sleep(time.Second)
		if err := s.startDaemon(victim); err != nil {
			s.record.say("%v", err)
			return exitNotRun
		}
	}
	return c.checkLost(time.Now().Add(6 * time.Second))
}
