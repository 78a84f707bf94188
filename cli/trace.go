package cli

import (
	"context"
	"io"
	"os"

	"gypsumlead/fault"
	"gypsumlead/logs"
)

// runTrace prints the log lines that mention a job, or another name, in the order of their times.
func runTrace(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	file := fs.String("log", "", "log `FILE` of one daemon or several (default standard input)")
	positional, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	var in io.Reader = os.Stdin
	if *file != "" {
		f, err := os.Open(*file)
		if err != nil {
			return fault.Wrap(fault.Invalid, err, "open the log")
		}
		defer func() { _ = f.Close() }() // opened for reading only, so closing can't lose data
		in = f
	}
	return logs.Trace(in, e.out, positional[0])
}
