package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gypsumlead/api/oas"
)

func runStatus(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r := addRemote(fs)
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	s, err := c.GetStatus(ctx)
	if err != nil {
		return r.answered(err)
	}
	if *r.json {
		return printJSON(e.out, s)
	}
	t := newTable(e.out, "INSTANCE", "CENTRE", "REGION", "CHANGE", "READY", "LEAVING", "PROGRESS", "PEERS", "DUTIES", "PLATFORM")
	store := s.Store.Or("answers")
	t.row(s.Instance, s.Centre, s.Region, s.Seq, s.Ready, s.Leaving, s.Progress, len(s.Peers), strings.Join(s.Duties, ","), store)
	return t.flush()
}

func runInstances(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r := addRemote(fs)
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	res, err := c.ListInstances(ctx)
	if err != nil {
		return r.answered(err)
	}
	if *r.json {
		return printJSON(e.out, res)
	}
	t := newTable(e.out, "INSTANCE", "ROLE", "POOL", "STATE", "DRAINED", "CENTRE", "RACK", "BOOT")
	for _, in := range res.Instances {
		t.row(in.ID, in.Role, in.Pool, in.State, in.Drained.Or(false), in.Centre, in.Rack, in.Boot)
	}
	return t.flush()
}

func runMove(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	c := addChange(fs)
	to := fs.String("to", "", "`POOL` that it goes to")
	from := fs.String("from", "", "`POOL` that it is in now, empty where it is in none")
	rest, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	if *to == "" {
		return usageError{"-to is missing"}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	req := &oas.MoveInstanceReq{Pool: *to, From: optString(*from)}
	res, err := cl.MoveInstance(ctx, req, oas.MoveInstanceParams{Name: rest[0], ChangeID: c.changeID(), Why: optString(*c.why)})
	if err != nil {
		return c.answered(err)
	}
	return printAccepted(e.out, res, *c.json)
}

func runExplain(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r := addRemote(fs)
	rest, err := parse(fs, args, 2, 2)
	if err != nil {
		return err
	}
	kind := oas.ExplainKind(rest[0])
	if err := kind.Validate(); err != nil {
		return usageError{fmt.Sprintf("nothing of kind %q can be explained", rest[0])}
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	res, err := c.Explain(ctx, oas.ExplainParams{Kind: kind, Name: rest[1]})
	if err != nil {
		return r.answered(err)
	}
	if *r.json {
		return printJSON(e.out, res)
	}
	for _, en := range res.Entries {
		printEntry(e, en)
	}
	return nil
}

// printEntry prints one decision: when, by whom, what, why, and below it the inputs.
func printEntry(e *env, en oas.Entry) {
	act := en.Act
	if kind, ok := en.Refused.Get(); ok {
		act += " (refused: " + kind + ")"
	}
	fmt.Fprintf(e.out, "%s  %s  %s", en.At.UTC().Format(time.RFC3339Nano), en.Actor, act)
	if v, ok := en.Version.Get(); ok {
		fmt.Fprintf(e.out, "  version %d", v)
	}
	if en.Why != "" {
		fmt.Fprintf(e.out, "  why: %s", en.Why)
	}
	fmt.Fprintln(e.out)
	for _, in := range en.Inputs {
		fmt.Fprintf(e.out, "    %s = %s\n", in.Name, in.Value)
	}
}
