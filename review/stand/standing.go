//go:build review

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

func init() { cases["standing"] = standing }

// standing: forty standing jobs are handed in, one every 500 ms, each due every minute for a week (RepeatCount 10,080) from an hour
// from now on, with two steps of one task. Other clients hand in a job of one task every half second. The platform ends a
// process that takes more than MemoryMb and starts it again a second later. Without the trouble the jobs are due for an hour.
func standing(s *site, trouble bool) int {
	if err := smallSite(s, 4, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	turns := 60
	if trouble {
		turns = 10_080
	}
	stop := make(chan struct{})
	defer close(stop)
	kills := make(chan string, 1000)
	for _, d := range s.daemons {
		go s.limitMemory(d, kills, stop)
	}
	c := newClients(s)
	first := time.Now().Add(time.Hour).UnixMilli()
	var waiting []*clientJob
	trafficEnds := time.Now().Add(45 * time.Second)
	for n := 0; time.Now().Before(trafficEnds); n++ {
		if len(waiting) < 40 {
			extra := map[string]any{"RepeatCount": turns, "StartAtMs": first, "IntervalMs": 60_000}
			job := newJob(fmt.Sprintf("%016x", 0xbb00+n), "alerts", 2, 1, specStep{Ms: 500, CPU: 100, Mem: 64}, extra)
			waiting = append(waiting, job)
			c.wg.Go(func() { c.submit(job, n) })
		}
		job := newJob(fmt.Sprintf("%016x", 0x1000+n), "alerts", 1, 1, specStep{Ms: 100, CPU: 500, Mem: 64}, nil)
		c.wg.Go(func() { c.submit(job, n) })
		time.Sleep(500 * time.Millisecond)
	}
	c.wg.Wait()
	c.drop(waiting) // their first occurrences are due in an hour
	rc := c.checkLost(trafficEnds)
	s.record.say("the platform has ended %d processes because of their memory", len(kills))
	return rc
}

// limitMemory ends a daemon when it has more than MemoryMb, and starts it again a second later.
func (s *site) limitMemory(d *daemonProcess, kills chan<- string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := residentMB(d.cmd.Process.Pid)
		if used <= memoryMb {
			continue
		}
		s.record.log("%s takes %d MB and is killed", d.name, used)
		_ = d.cmd.Process.Kill()
		kills <- d.name
		time.Sleep(time.Second)
		select {
		case <-stop:
			return
		default:
		}
		if err := s.startDaemon(d); err != nil {
			s.record.say("%v", err)
			return
		}
	}
}

// residentMB returns the memory that a process has, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		kb := 0
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// drop leaves jobs out of the check.
func (c *clients) drop(jobs []*clientJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = slices.DeleteFunc(c.jobs, func(job *clientJob) bool { return slices.Contains(jobs, job) })
}
