package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
)

const (
	atVariable     = "GYPSUMLEAD_AT"
	atDefault      = "127.0.0.1:8622"
	requestTimeout = 10 * time.Second // for one daemon's answer
)

// remote is how a verb reaches daemons.
type remote struct{ at *string }

// addRemote adds the flag that every operator's verb has.
func addRemote(fs *flag.FlagSet) remote {
	at := os.Getenv(atVariable)
	if at == "" {
		at = atDefault
	}
	return remote{fs.String("at", at, "ready `ADDR` of a daemon, several with commas; "+atVariable+" sets it too")}
}

// addrs returns the daemons that are to be asked.
func (r remote) addrs() []string { return strings.Split(*r.at, ",") }

// client returns the generated client of one daemon.
func client(addr string) (*oas.Client, error) {
	c, err := oas.NewClient("http://"+addr, oas.WithClient(&http.Client{Timeout: requestTimeout}))
	return c, fault.Wrap(fault.Invalid, err, "address %q", addr)
}

// first asks one daemon after the other until one answers.
func first[T any](ctx context.Context, r remote, ask func(context.Context, *oas.Client) (T, error)) (T, error) {
	var none T
	var last error
	for _, addr := range r.addrs() {
		c, err := client(addr)
		if err != nil {
			return none, err
		}
		got, err := ask(ctx, c)
		if err == nil {
			return got, nil
		}
		last = answered(addr, err)
		if !fault.Is(last, fault.Unavailable) {
			return none, last // it has been answered
		}
	}
	return none, last
}

// each asks every daemon that is named and tells of those that don't answer; it fails where none does.
func each(ctx context.Context, e *env, r remote, ask func(context.Context, *oas.Client) error) error {
	answers := 0
	var last error
	for _, addr := range r.addrs() {
		c, err := client(addr)
		if err != nil {
			return err
		}
		if err := ask(ctx, c); err != nil {
			last = answered(addr, err)
			fmt.Fprintln(e.err, last)
			continue
		}
		answers++
	}
	if answers == 0 {
		return last
	}
	return nil
}

// answered turns a daemon's fault back into one, and a failed connection into advice.
func answered(addr string, err error) error {
	var f *oas.FaultStatusCode
	if errors.As(err, &f) {
		for _, k := range fault.Kinds() {
			if k.String() == f.Response.Kind {
				return fault.New(k, "%s", f.Response.Text)
			}
		}
	}
	return fault.Wrap(fault.Unavailable, err, "ask the daemon at %s (-at names another)", addr)
}
