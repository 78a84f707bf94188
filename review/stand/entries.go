//go:build review

package main

import (
	"time"
)

func init() { cases["entries"] = entries }

// entries: a job of 18 tasks of 12 s runs on nine runners. Another writer puts one entry into the list of runners: its Slots is a
// text, Version and ColdLeftMs are missing, and it names the machine of a runner that works. Nothing answers at its address.
// Without the trouble nobody writes it.
func entries(s *site, trouble bool) int {
	if err := smallSite(s, 9, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	c := newClients(s)
	job := newJob("00000000000000ab", "alerts", 1, 18, specStep{Ms: 12_000, CPU: 4000, Mem: 1024}, nil)
	c.submit(job, 0)
	r := s.awaitWork(3*time.Second, 15*time.Second)
	if r == nil {
		s.record.say("nothing runs")
		return exitNotRun
	}
	nobody, err := freePort()
	if err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	if trouble {
		s.record.say("another writer's entry names the machine of %s", r.id)
		s.store.Put("servers", "other-1", map[string]any{
			"Service": "alerts", "Address": nobody.String(), "Zone": r.zone, "Slots": "8", "State": "ready", "SeqNo": 1, "born": time.Now().UnixMilli(),
			"Machine": r.machine, "Labels": r.labels, "Capacity": r.capacity(),
		})
	}
	return c.checkLost(time.Now().Add(12 * time.Second))
}
