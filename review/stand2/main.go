//go:build review

// Command stand2 plays the cases of the second review: it starts daemons of this repository as separate processes on loopback
// addresses, with stand-ins of the platform, the runners and the callers in its own process, and judges what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoPlay  = 2
	playAtLeast = 110 * time.Second // after which a case is given up
)

var cases = map[string]func(*scene) (broken []string, err error){
	"label":  playLabel,
	"cancel": playCancel,
	"crash":  playCrash,
	"advice": playAdvice,
	"caps":   playCaps,
	"gang":   playGang,
	"moved":  playMoved,
	"memory": playMemory,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD PROGRAM")
		os.Exit(exitNoPlay)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays one case and returns the exit code.
func run(name, record, program string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoPlay
	}
	s, err := newScene(record, program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoPlay
	}
	defer s.end()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[name](s)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case sig := <-signals:
		s.note("could not run: %v", sig)
		return exitNoPlay
	case r := <-results:
		switch {
		case r.err != nil:
			s.note("could not run: %v", r.err)
			return exitNoPlay
		case len(r.broken) > 0:
			s.note("BROKEN: %s", strings.Join(r.broken, "; "))
			return exitBroken
		}
		s.note("held")
		return exitHeld
	case <-time.After(playAtLeast):
		s.note("could not run: out of time")
		return exitNoPlay
	}
}
