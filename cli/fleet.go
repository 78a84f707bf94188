package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"gypsumlead/api/oas"
)

func runStatus(ctx context.Context, e *env, args []string) error {
	return e.read(args, 0, 0, func(c *oas.Client, _ []string) (answer, error) {
		s, err := c.GetStatus(ctx)
		return answer{s, func(out io.Writer) error {
			t := newTable(out, "INSTANCE", "CENTRE", "REGION", "CHANGE", "READY", "LEAVING", "PROGRESS", "PEERS", "DUTIES", "PLATFORM")
			store := s.Store.Or("answers")
			t.row(s.Instance, s.Centre, s.Region, s.Seq, s.Ready, s.Leaving, s.Progress, len(s.Peers), strings.Join(s.Duties, ","), store)
			return t.flush()
		}}, err
	})
}

func runInstances(ctx context.Context, e *env, args []string) error {
	return e.read(args, 0, 0, func(c *oas.Client, _ []string) (answer, error) {
		res, err := c.ListInstances(ctx)
		return answer{res, func(out io.Writer) error {
			t := newTable(out, "INSTANCE", "ROLE", "POOL", "STATE", "DRAINED", "CENTRE", "RACK", "BOOT")
			for _, in := range res.Instances {
				t.row(in.ID, in.Role, in.Pool, in.State, in.Drained.Or(false), in.Centre, in.Rack, in.Boot)
			}
			return t.flush()
		}}, err
	})
}

func runJob(ctx context.Context, e *env, args []string) error {
	return e.read(args, 1, 1, func(c *oas.Client, rest []string) (answer, error) {
		p, err := c.GetJobProgress(ctx, oas.GetJobProgressParams{Name: rest[0]})
		return answer{p, func(out io.Writer) error {
			t := newTable(out, "JOB", "POOL", "PHASE", "TASKS", "DONE", "ENDED", "WHY")
			t.row(p.Name, p.Pool, p.Phase, p.Count, p.Done, p.Ended, p.Why)
			return t.flush()
		}}, err
	})
}

func runExplain(ctx context.Context, e *env, args []string) error {
	return e.read(args, 2, 2, func(c *oas.Client, rest []string) (answer, error) {
		kind := oas.ExplainKind(rest[0])
		if err := kind.Validate(); err != nil {
			return answer{}, usageError{fmt.Sprintf("nothing of kind %q can be explained", rest[0])}
		}
		res, err := c.Explain(ctx, oas.ExplainParams{Kind: kind, Name: rest[1]})
		return answer{res, func(out io.Writer) error {
			for _, en := range res.Entries {
				printEntry(out, en)
			}
			return nil
		}}, err
	})
}

// printEntry prints one decision: when, by whom, what, why, and below it the inputs.
func printEntry(out io.Writer, en oas.Entry) {
	act := en.Act
	if kind, ok := en.Refused.Get(); ok {
		act += " (refused: " + kind + ")"
	}
	fmt.Fprintf(out, "%s  %s  %s", en.At, en.Actor, act)
	if v, ok := en.Version.Get(); ok {
		fmt.Fprintf(out, "  version %d", v)
	}
	if en.Why != "" {
		fmt.Fprintf(out, "  why: %s", en.Why)
	}
	fmt.Fprintln(out)
	for _, in := range en.Inputs {
		fmt.Fprintf(out, "    %s = %s\n", in.Name, in.Value)
	}
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
