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
	addrEnv        = "GYPSUMLEAD_AT"
	defaultAddr    = "127.0.0.1:8622"
	requestTimeout = 10 * time.Second // for the response of one daemon
)

// daemonAddrs holds the addresses of the daemons that a command queries.
type daemonAddrs struct{ list *string }

// addAddrFlag adds the -at flag, which all operators' commands have.
func addAddrFlag(fs *flag.FlagSet) daemonAddrs {
	addrs := os.Getenv(addrEnv)
	if addrs == "" {
		addrs = defaultAddr
	}
	return daemonAddrs{fs.String("at", addrs, "ready `ADDR` of a daemon, or several separated by commas; "+addrEnv+" sets the default")}
}

// addrs returns the addresses to query.
func (d daemonAddrs) addrs() []string { return strings.Split(*d.list, ",") }

// newClient returns the generated API client for one daemon.
func newClient(addr string) (*oas.Client, error) {
	c, err := oas.NewClient("http://"+addr, oas.WithClient(&http.Client{Timeout: requestTimeout}))
	return c, fault.Wrap(fault.Invalid, err, "address %q", addr)
}

// queryFirst queries the daemons in turn until one responds, with a result or an error of its own.
func queryFirst[T any](ctx context.Context, daemons daemonAddrs, query func(context.Context, *oas.Client) (T, error)) (T, error) {
	var zero T
	var lastErr error
	for _, addr := range daemons.addrs() {
		c, err := newClient(addr)
		if err != nil {
			return zero, err
		}
		answer, err := query(ctx, c)
		if err == nil {
			return answer, nil
		}
		lastErr = callError(addr, err)
		if !fault.Is(lastErr, fault.Unavailable) {
			return zero, lastErr // the daemon responded with an error
		}
	}
	return zero, lastErr
}

// queryAll queries every daemon and prints the errors of those that fail; it returns an error if all fail.
func queryAll(ctx context.Context, e *env, daemons daemonAddrs, query func(context.Context, *oas.Client) error) error {
	answers := 0
	var lastErr error
	for _, addr := range daemons.addrs() {
		c, err := newClient(addr)
		if err != nil {
			return err
		}
		if err := query(ctx, c); err != nil {
			lastErr = callError(addr, err)
			fmt.Fprintln(e.err, lastErr)
			continue
		}
		answers++
	}
	if answers == 0 {
		return lastErr
	}
	return nil
}

// callError turns a daemon's error response back into a fault, and any other error into one of kind fault.Unavailable.
func callError(addr string, err error) error {
	var f *oas.FaultStatusCode
	if errors.As(err, &f) {
		for _, k := range fault.Kinds() {
			if k.String() == f.Response.Kind {
				return fault.New(k, "%s", f.Response.Text)
			}
		}
	}
	return fault.Wrap(fault.Unavailable, err, "query the daemon at %s (use -at for another)", addr)
}
