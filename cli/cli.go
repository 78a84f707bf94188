package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"gypsumlead/fault"
)

// Exit codes of the command line.
const (
	exitOK      = 0
	exitFailed  = 1 // the command failed
	exitUsage   = 2 // the command line is invalid
	exitRetry   = 3 // nothing was done; a retry may succeed
	exitUnknown = 4 // it is unknown whether the request was executed; a retry with the same change ID is safe
)

// command is one subcommand of gypsumlead.
type command struct {
	name        string
	description string // one-line summary
	usage       string // arguments after the name
	example     string
	run         func(ctx context.Context, e *env, args []string) error
}

// env is the environment in which a command runs.
type env struct {
	command command
	out     io.Writer
	err     io.Writer
}

// Run executes one command line, given without the program's name, and returns its exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	if len(args) == 0 || isHelp(args[0]) {
		printUsage(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			e := &env{command: c, out: out, err: errs}
			return e.exitCode(c.run(ctx, e, args[1:]))
		}
	}
	fmt.Fprintf(errs, "gypsumlead: unknown command %q; run gypsumlead -h for a list of commands\n", args[0])
	return exitUsage
}

// exitCode prints err, if any, and returns its exit code.
func (e *env) exitCode(err error) int {
	var u usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &u):
		fmt.Fprintf(e.err, "gypsumlead %s: %s; run gypsumlead %s -h for an example\n", e.command.name, u.text, e.command.name)
		return exitUsage
	}
	fmt.Fprintf(e.err, "gypsumlead %s: %v\n", e.command.name, err)
	return exitCodeFor(err)
}

// exitCodeFor maps a fault to an exit code by its outcome and by whether a retry may help.
func exitCodeFor(err error) int {
	a := fault.AnswerTo(fault.KindOf(err))
	switch {
	case fault.Is(err, fault.Internal):
		return exitFailed
	case a.Outcome == fault.Unknown:
		return exitUnknown
	case a.Retry > 0:
		return exitRetry
	}
	return exitFailed
}

// usageError is an error in the command line.
type usageError struct{ text string }

// Error returns the text of the error.
func (u usageError) Error() string { return u.text }

// flags returns an empty flag set whose help shows the command's usage and example.
func (e *env) flags() *flag.FlagSet {
	fs := flag.NewFlagSet(e.command.name, flag.ContinueOnError)
	fs.SetOutput(e.out)
	fs.Usage = func() {
		fmt.Fprintf(e.out, "%s\n\n  gypsumlead %s %s\n\n", e.command.description, e.command.name, e.command.usage)
		fs.PrintDefaults()
		fmt.Fprintf(e.out, "\nExample:\n  %s\n", e.command.example)
	}
	return fs
}

// parse parses flags, which may come before, between and after the positional arguments, and returns the positional
// arguments. It fails unless their number is between minArgs and maxArgs.
func parse(fs *flag.FlagSet, args []string, minArgs, maxArgs int) ([]string, error) {
	var positional []string
	for {
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError{err.Error()}
		}
		if fs.NArg() == 0 {
			break
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(positional) < minArgs || len(positional) > maxArgs {
		return nil, usageError{fmt.Sprintf("got %d arguments, want %s", len(positional), formatRange(minArgs, maxArgs))}
	}
	return positional, nil
}

func formatRange(minArgs, maxArgs int) string {
	if minArgs == maxArgs {
		return fmt.Sprint(minArgs)
	}
	return fmt.Sprintf("%d to %d", minArgs, maxArgs)
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "gypsumlead manages the capacity and maintenance of fleets of instances.\n\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.description)
	}
	fmt.Fprint(w, "\nRun gypsumlead COMMAND -h for a command's flags and an example.\n")
	fmt.Fprint(w, "Exit codes: 0 success, 1 failure, 2 invalid command line, 3 not done (a retry may succeed), 4 unknown whether it was done.\n")
}
