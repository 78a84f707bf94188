//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playAdvice: wide jobs come at once on a queue that needs approvals. The service for approvals answers each call after the time
// that the pages state. Each accepted job must have something running at the end, as the pool is idle.
func playAdvice(s *scene) ([]string, error) {
	if err := s.addAdviser(200*time.Millisecond, 50*time.Millisecond, 3*time.Second, func(string, string) bool { return true }); err != nil {
		return nil, err
	}
	s.configure(route{prefix: "/jobs/", service: "desk", advice: s.adviser.terms()})
	for i := range 40 {
		if _, err := s.addRunner(fmt.Sprintf("i-%02d", i), "desk", 8000, "a", fmt.Sprintf("r%d", i/4)); err != nil {
			return nil, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	job := func(count int) map[string]any {
		return map[string]any{"Spec": "cpu=1000 ms=1000", "JobSteps": []any{map[string]any{"Count": count, "Cpu": 1000, "MemMb": 512, "EstimateMs": 1000}}}
	}
	ids := []string{}
	for n := range 4 {
		if !s.submit("/jobs/"+jobID(n), job(6)) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, jobID(n))
		time.Sleep(2 * time.Second)
	}
	if s.trouble {
		for n := 10; n < 13; n++ {
			if !s.submit("/jobs/"+jobID(n), job(24)) {
				return nil, fmt.Errorf("a wide job was not accepted")
			}
			s.note("POST %s, 24 tasks: 200", jobID(n))
			ids = append(ids, jobID(n))
		}
	}
	time.Sleep(20 * time.Second) // more than finish_s, without traffic
	var broken []string
	for _, id := range ids {
		status, body := s.daemons[0].call(http.MethodGet, "/jobs/"+id, nil, 3*time.Second)
		s.note("GET %s: %d %s", id, status, body)
		if strings.Contains(body, "queued") && len(s.running(id)) == 0 {
			broken = append(broken, "LOST: "+id+" has nothing running 20 s after the last job came, though all runners are free and approved")
		}
	}
	return broken, nil
}

// playGang: two of 40 runners are lost for good. A gang of eight that needs a runner each is handed in on a queue that needs
// approvals; 18 of the runners that are left are free and would be approved.
func playGang(s *scene) ([]string, error) {
	allowed := func(_, id string) bool { return id <= "i-08" || (id >= "i-25" && id <= "i-35") }
	if err := s.addAdviser(50*time.Millisecond, 3*time.Millisecond, 3*time.Second, allowed); err != nil {
		return nil, err
	}
	s.configure(route{prefix: "/jobs/", service: "desk", advice: s.adviser.terms()})
	var runners []*runner
	for i := range 40 {
		r, err := s.addRunner(fmt.Sprintf("i-%02d", i), "desk", 8000, "a", fmt.Sprintf("r%d", i/4))
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	gang := map[string]any{"Spec": "cpu=8000 ms=1000 gang=8", "JobSteps": []any{map[string]any{"Count": 8, "Cpu": 8000, "MemMb": 512, "EstimateMs": 1000, "Gang": true}}}
	if !s.submit("/jobs/"+jobID(0), gang) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(6 * time.Second)
	if _, body := s.daemons[0].call(http.MethodGet, "/jobs/"+jobID(0), nil, 3*time.Second); !strings.Contains(body, "completed") {
		return nil, fmt.Errorf("the first gang did not run: %s", body)
	}
	if s.trouble {
		runners[0].crash()
		runners[1].crash()
	}
	time.Sleep(8 * time.Second) // their entries are gone and the rest is in touch
	if !s.submit("/jobs/"+jobID(1), gang) {
		return nil, fmt.Errorf("the second job was not accepted")
	}
	free := 0
	for _, r := range runners {
		if r.up && allowed("", r.id) {
			free++
		}
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		status, body := s.daemons[0].call(http.MethodGet, "/jobs/"+jobID(1), nil, 3*time.Second)
		s.note("GET %s: %d %s; %d of its tasks run", jobID(1), status, body, len(s.running(jobID(1))))
		if strings.Contains(body, "completed") {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("LOST: %s has nothing running for 25 s, though %d runners are free and would be approved, and it needs 8", jobID(1), free)}, nil
}

// playMemory: timed jobs with many occurrences come at once. The platform kills a process that exceeds its memory.
func playMemory(s *scene) ([]string, error) {
	s.configure(route{prefix: "/jobs/", service: "desk"})
	for i := range 8 {
		if _, err := s.addRunner(fmt.Sprintf("i-%d", i), "desk", 8000, "a", fmt.Sprintf("r%d", i/4)); err != nil {
			return nil, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			for _, d := range s.daemons {
				if mb := d.residentMB(); mb > d.memoryMB() {
					s.note("%s takes %d MB: killed", d.name, mb)
					d.kill()
					time.Sleep(50 * time.Millisecond)
				}
			}
		}
	}()
	turns := 6
	if s.trouble {
		turns = 10_080 // a week
	}
	for n := range 64 {
		job := map[string]any{
			"Spec": "cpu=1000 ms=1000", "RepeatCount": turns, "StartAtMs": time.Now().Add(time.Hour).UnixMilli(), "IntervalMs": 60_000,
			"JobSteps": []any{map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimateMs": 1000}},
		}
		status, _ := s.daemons[n%3].call(http.MethodPost, "/jobs/"+jobID(n), job, 3*time.Second)
		s.note("POST %s, %d times: %d", jobID(n), turns, status)
		time.Sleep(150 * time.Millisecond)
	}
	for _, d := range s.daemons {
		s.note("%s takes %d MB", d.name, d.residentMB())
	}
	time.Sleep(12 * time.Second)
	var accepted []string
	for n := range 10 {
		id := jobID(100 + n)
		if s.submit("/jobs/"+id, map[string]any{"Spec": "cpu=1000 ms=200", "JobSteps": []any{map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimateMs": 200}}}) {
			s.note("POST %s: 200", id)
			accepted = append(accepted, id)
		}
	}
	time.Sleep(14 * time.Second) // finish_s, without traffic
	lost := s.unfinished(accepted, 3*time.Second)
	ended, often := []string{}, 0
	for _, d := range s.daemons {
		d.mu.Lock()
		ended = append(ended, fmt.Sprintf("%s ended %d times", d.name, d.ends))
		if d.ends >= 3 {
			often++
		}
		d.mu.Unlock()
	}
	s.note("%s; %d of 10 ordinary jobs accepted", strings.Join(ended, ", "), len(accepted))
	var broken []string
	if len(lost) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: of %d ordinary jobs that were accepted, these have nothing running or get no answer: %s", len(accepted), strings.Join(lost, " ")))
	}
	if often >= 2 {
		broken = append(broken, "Fault: "+strings.Join(ended, ", "))
	}
	return broken, nil
}

// unfinished returns the jobs that are shown as queued or running, or get no answer, and of which nothing runs for a time.
func (s *scene) unfinished(jobs []string, during time.Duration) []string {
	ran := map[string]bool{}
	for until := time.Now().Add(during); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, id := range jobs {
			ran[id] = ran[id] || len(s.running(id)) > 0
		}
	}
	var lost []string
	for _, id := range jobs {
		state := "no answer"
		for i := range 5 {
			status, body := s.daemons[i%len(s.daemons)].call(http.MethodGet, "/jobs/"+id, nil, 3*time.Second)
			if status == http.StatusOK {
				state = body
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.note("GET %s: %s; has run in the last %v: %v", id, state, during, ran[id])
		if !ran[id] && !strings.Contains(state, "completed") {
			lost = append(lost, id)
		}
	}
	return lost
}
