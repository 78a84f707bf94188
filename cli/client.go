package cli

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"os"
	"time"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
)

const (
	tokenVariable  = "GYPSUMLEAD_TOKEN"
	atVariable     = "GYPSUMLEAD_AT"
	atDefault      = "127.0.0.1:8081"
	requestTimeout = 30 * time.Second
)

// remote is how a verb reaches a daemon.
type remote struct {
	at   *string
	json *bool
}

// addRemote adds the flags that every operator's verb has.
func addRemote(fs *flag.FlagSet) remote {
	at := os.Getenv(atVariable)
	if at == "" {
		at = atDefault
	}
	return remote{
		at:   fs.String("at", at, "operators' `ADDR` of any daemon; "+atVariable+" sets it too"),
		json: fs.Bool("json", false, "print JSON"),
	}
}

// client returns the generated client with the token of the environment.
func (r remote) client() (*oas.Client, error) {
	c, err := oas.NewClient("http://"+*r.at, bearer{}, oas.WithClient(&http.Client{Timeout: requestTimeout}))
	return c, fault.Wrap(fault.Invalid, err, "address %q", *r.at)
}

// bearer adds the token to each request.
type bearer struct{}

// Token returns the token of the environment; an empty one is refused by the daemon.
func (bearer) Token(context.Context, oas.OperationName) (oas.Token, error) {
	return oas.Token{Token: os.Getenv(tokenVariable)}, nil
}

// answered turns a daemon's fault back into one, and a failed connection into advice.
func (r remote) answered(err error) error {
	var wrong usageError
	if errors.As(err, &wrong) {
		return err
	}
	var f *oas.FaultStatusCodeWithHeaders
	if errors.As(err, &f) {
		for _, k := range fault.Kinds() {
			if k.String() == f.Response.Kind {
				return fault.New(k, "%s", f.Response.Text)
			}
		}
	}
	return fault.Wrap(fault.StoreDown, err, "ask the daemon at %s (-at names another)", *r.at)
}
