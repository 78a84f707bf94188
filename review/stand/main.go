//go:build review

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each returns an exit code.
var cases = map[string]func(s *site, trouble bool) int{}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	program := flag.String("program", "target/gypsumlead", "the daemon's program")
	keep := flag.Bool("keep", false, "keep the logs of the daemons")
	flag.Parse()
	os.Exit(play(*name, *dir, *program, *keep))
}

func play(name, dir, program string, keep bool) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	do, ok := cases[name]
	if !ok {
		rec.say("no case %q", name)
		return exitNotRun
	}
	s, err := newSite(program, rec)
	if err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	defer s.close(keep)
	return do(s, os.Getenv("TROUBLE") != "0")
}

// smallSite is a site with three daemons and one service.
func smallSite(s *site, runners, cores int) error {
	s.addService("alerts")
	s.configure()
	for i := range runners {
		if err := s.addRunner(fmt.Sprintf("run-%d", i), "alerts", fmt.Sprintf("z%d", i%2), fmt.Sprintf("r%d", i%2), cores*1000, cores*4096, "std"); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := s.addDaemon(fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i%2)); err != nil {
			return err
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return fmt.Errorf("the daemons aren't ready")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// newJob returns a job whose steps all have one task like the given one, without an order among the steps.
func newJob(id, service string, steps, count int, step specStep, extra map[string]any) *clientJob {
	spec, _ := json.Marshal([]specStep{step})
	var wire []map[string]any
	for range steps {
		wire = append(wire, map[string]any{"Count": count, "Cpu": step.CPU, "MemMb": step.Mem, "EstimateMs": step.Ms})
	}
	body := map[string]any{"Spec": string(spec), "JobSteps": wire}
	turns := 1
	for key, value := range extra {
		body[key] = value
		if n, ok := value.(int); ok && key == "RepeatCount" {
			turns = n
		}
	}
	text, _ := json.Marshal(body)
	return &clientJob{id: id, service: service, body: text, tasks: steps * count * turns}
}

// chainJob returns a job with the given steps.
func chainJob(id, service string, steps []specStep) *clientJob {
	spec, _ := json.Marshal(steps)
	var wire []map[string]any
	tasks := 0
	for _, step := range steps {
		entry := map[string]any{"Count": step.Count, "Cpu": step.CPU, "MemMb": step.Mem, "EstimateMs": step.Ms}
		if len(step.After) > 0 {
			entry["After"] = step.After
		}
		wire = append(wire, entry)
		tasks += step.Count
	}
	body, _ := json.Marshal(map[string]any{"Spec": string(spec), "JobSteps": wire})
	return &clientJob{id: id, service: service, body: body, tasks: tasks}
}
