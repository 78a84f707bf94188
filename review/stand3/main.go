//go:build review

// Package main is the stand of the review's scripts: a platform, runners and clients on loopback addresses around the project's own
// daemons, which run as separate processes on the real clock.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. A case returns what it found broken, or an error if it could not run.
var cases = map[string]func(s *scene) ([]string, error){
	"advice": adviceCase,
	"crowd":  crowdCase,
	"late":   lateCase,
	"spread": spreadCase,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case, writes its record and returns the exit code.
func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s, err := newScene(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	broken, err := play(s)
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	broken = append(broken, s.fleet.violations()...)
	s.fleet.writeTasks()
	for _, b := range broken {
		s.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.note("the rules held")
	fmt.Println("held")
	return exitHeld
}
