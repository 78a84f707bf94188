//go:build review

package main

import (
	"encoding/json"
	"time"
)

func init() { cases["lasting"] = lasting }

// lasting: a job of nine tasks that last runs on nine runners. The process that schedules them and one of the runners are lost for good
// at the same moment. Without the trouble nothing is lost.
func lasting(s *site, trouble bool) int {
	if err := smallSite(s, 9, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	c := newClients(s)
	job := lastingJob("00000000000000fa", "alerts", 9)
	c.submit(job, 0)
	r := s.awaitWork(4*time.Second, 15*time.Second)
	victim := s.leader("alerts")
	if r == nil || victim == nil {
		s.record.say("nothing runs, or nobody leads the service")
		return exitNotRun
	}
	if trouble {
		s.record.say("%s, which schedules the service, and runner %s are lost for good", victim.name, r.id)
		_ = victim.cmd.Process.Kill()
		r.crash()
		time.AfterFunc(3*heartbeatMs*time.Millisecond, func() { s.store.Remove("servers", r.id) })
	}
	return s.checkIdle(job, 30*time.Second)
}

// checkIdle checks, for a time, that no task that lasts is without a run for longer than the rule LOST allows: 6 s after its last
// run, the 3 s during which it must not stand still any longer, and the 4 s before these that have to be calm begin.
func (s *site) checkIdle(job *clientJob, during time.Duration) int {
	const allowed = 10 * time.Second
	longest := time.Duration(0)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.tasks.mu.Lock()
		for _, h := range s.tasks.byTask {
			if h.job == job.id && h.running == 0 {
				longest = max(longest, time.Since(h.lastRun))
			}
		}
		s.tasks.mu.Unlock()
	}
	s.record.say("the longest time that a task that lasts had no run is %.1f s; up to %.0f s are allowed", longest.Seconds(), allowed.Seconds())
	if longest > allowed {
		s.record.say("BROKEN")
		return exitBroken
	}
	s.record.say("held")
	return exitHeld
}

// lastingJob returns a job of one step whose tasks last.
func lastingJob(id, service string, count int) *clientJob {
	step := specStep{Count: count, Ms: 900, CPU: 2000, Mem: 256, Lasts: true}
	spec, _ := json.Marshal([]specStep{step})
	body, _ := json.Marshal(map[string]any{"Spec": string(spec), "JobSteps": []map[string]any{
		{"Count": count, "Cpu": step.CPU, "MemMb": step.Mem, "EstimateMs": step.Ms, "LongRunning": true, "MayMiss": 1},
	}})
	return &clientJob{id: id, service: service, body: body, tasks: count}
}
