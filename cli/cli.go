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
	exitFailed  = 1 // the command was understood and didn't succeed
	exitUsage   = 2 // the command line is wrong
	exitRetry   = 3 // nothing was done; asking again later may succeed
	exitUnknown = 4 // it is unknown whether it was done; asking again with the same change ID is safe
)

// verb is one command.
type verb struct {
	name    string
	what    string // one line
	usage   string // arguments behind the name
	example string
	run     func(ctx context.Context, e *env, args []string) error
}

// env is what every verb works with.
type env struct {
	verb verb
	out  io.Writer
	err  io.Writer
}

// Run executes one command line and returns its exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	if len(args) == 0 || isHelp(args[0]) {
		usage(out)
		return exitOK
	}
	for _, v := range verbs() {
		if v.name == args[0] {
			e := &env{verb: v, out: out, err: errs}
			return e.exitCode(v.run(ctx, e, args[1:]))
		}
	}
	fmt.Fprintf(errs, "gypsumlead: there is no command %q; gypsumlead -h lists them\n", args[0])
	return exitUsage
}

// exitCode reports err in one line and returns its code.
func (e *env) exitCode(err error) int {
	var u usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &u):
		fmt.Fprintf(e.err, "gypsumlead %s: %s; gypsumlead %s -h shows an example\n", e.verb.name, u.text, e.verb.name)
		return exitUsage
	}
	fmt.Fprintf(e.err, "gypsumlead %s: %v\n", e.verb.name, err)
	return codeOf(err)
}

// codeOf maps a fault to an exit code by its outcome and its advice.
func codeOf(err error) int {
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

// usageError is a wrong command line.
type usageError struct{ text string }

// Error returns what is wrong with the command line.
func (u usageError) Error() string { return u.text }

// flags returns an empty flag set whose help shows the verb and its example.
func (e *env) flags() *flag.FlagSet {
	fs := flag.NewFlagSet(e.verb.name, flag.ContinueOnError)
	fs.SetOutput(e.out)
	fs.Usage = func() {
		fmt.Fprintf(e.out, "%s\n\n  gypsumlead %s %s\n\n", e.verb.what, e.verb.name, e.verb.usage)
		fs.PrintDefaults()
		fmt.Fprintf(e.out, "\nExample:\n  %s\n", e.verb.example)
	}
	return fs
}

// parse reads flags that may stand before, between and behind want arguments, which it returns.
func parse(fs *flag.FlagSet, args []string, least, most int) ([]string, error) {
	var rest []string
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
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(rest) < least || len(rest) > most {
		return nil, usageError{fmt.Sprintf("%d arguments given, %s wanted", len(rest), span(least, most))}
	}
	return rest, nil
}

func span(least, most int) string {
	if least == most {
		return fmt.Sprint(least)
	}
	return fmt.Sprintf("%d to %d", least, most)
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

func usage(w io.Writer) {
	fmt.Fprint(w, "gypsumlead manages the capacity and the maintenance of fleets of instances.\n\n")
	for _, v := range verbs() {
		fmt.Fprintf(w, "  %-10s %s\n", v.name, v.what)
	}
	fmt.Fprint(w, "\ngypsumlead COMMAND -h shows a command's flags and an example.\n")
	fmt.Fprint(w, "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 not done and worth asking again, 4 unknown whether done.\n")
}
