package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"gypsumlead/fault"
	"gypsumlead/trial/buffer"
	"gypsumlead/trial/control"
	"gypsumlead/trial/copies"
	"gypsumlead/trial/flood"
	jobtrial "gypsumlead/trial/job"
	wavetrial "gypsumlead/trial/wave"
)

// trial is one measurement on virtual time.
type trial struct {
	name string
	run  func(args []string, out io.Writer) error
}

// trials lists every measurement.
func trials() []trial {
	return []trial{
		{"flood", flood.Run},
		{"buffer", buffer.Run},
		{"copies", copies.Run},
		{"control", control.Run},
		{"wave", wavetrial.Run},
		{"job", jobtrial.Run},
	}
}

func runTrial(_ context.Context, e *env, args []string) error {
	var names []string
	for _, t := range trials() {
		names = append(names, t.name)
	}
	if len(args) == 0 || isHelp(args[0]) {
		fmt.Fprintf(e.out, "%s\nTrials: %s. gypsumlead trial NAME -h shows the flags.\n", e.verb.what, strings.Join(names, ", "))
		return nil
	}
	i := slices.Index(names, args[0])
	if i < 0 {
		return fault.New(fault.Missing, "there is no trial %q; there are %s", args[0], strings.Join(names, ", "))
	}
	return trials()[i].run(args[1:], e.out)
}
