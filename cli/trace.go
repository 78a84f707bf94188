package cli

import (
	"context"
	"io"
	"os"

	"gypsumlead/fault"
	"gypsumlead/logs"
)

// runTrace prints the log lines about one job, or another name, in the order of their times.
func runTrace(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	file := fs.String("log", "", "log `FILE` of one daemon or several; standard input where it is missing")
	rest, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	var in io.Reader = os.Stdin
	if *file != "" {
		f, err := os.Open(*file)
		if err != nil {
			return fault.Wrap(fault.Invalid, err, "open the log")
		}
		defer func() { _ = f.Close() }() // it was only read
		in = f
	}
	return logs.Trace(in, e.out, rest[0])
}
