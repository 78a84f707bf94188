//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["repeats"] = repeats }

// repeats: a job of 60 small steps is handed in that runs 96 times, a pipeline that is due every quarter of an hour of a day;
// here the quarter of an hour takes 300 ms. Other clients hand in a job of one task every half second. Without the trouble the
// same job runs 24 times.
func repeats(s *site, trouble bool) int {
	if err := smallSite(s, 4, 16); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	turns := 24
	if trouble {
		turns = 96
	}
	c := newClients(s)
	step := specStep{Ms: 50, CPU: 100, Mem: 64}
	pipeline := newJob("00000000000000aa", "alerts", 60, 1, step, map[string]any{"RepeatCount": turns, "StartAtMs": time.Now().Add(time.Second).UnixMilli(), "IntervalMs": 300})
	c.submit(pipeline, 0)
	trafficEnds := time.Now().Add(45 * time.Second)
	for n := 1; time.Now().Before(trafficEnds); n++ {
		job := newJob(fmt.Sprintf("%016x", 0x1000+n), "alerts", 1, 1, specStep{Ms: 100, CPU: 500, Mem: 64}, nil)
		c.wg.Go(func() { c.submit(job, n) })
		time.Sleep(500 * time.Millisecond)
	}
	c.wg.Wait()
	return c.checkLost(trafficEnds)
}
