package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/logs"
)

func runStatus(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r, asJSON := addRemote(fs), fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	s, err := first(ctx, r, func(ctx context.Context, c *oas.Client) (*oas.Status, error) { return c.GetStatus(ctx) })
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(e, s)
	}
	_, err = fmt.Fprintf(e.out, "instance   %s (%s)\ncentre     %s\nconfig     %d\nready      %t\nleaving    %t\ndaemons    %s\nschedules  %s\n",
		s.Instance, s.Boot, s.Centre, s.Config, s.Ready, s.Leaving, strings.Join(s.Daemons, " "), strings.Join(s.Holds, " "))
	return err
}

// runServices asks every daemon that is named, as only the one that schedules a service knows how far it is.
func runServices(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r, asJSON := addRemote(fs), fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	list, err := services(ctx, e, r)
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(e, list)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tHOLDER\tWAITING\tRUNNING\tOLDEST\tOUT\tSILENT")
	for _, s := range list {
		if p, ok := s.Progress.Get(); ok {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f s\t%d\t%d\n", s.Name, s.Holder, p.Waiting, p.Running, p.Oldest, p.Out, p.Silent)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t-\n", s.Name, s.Holder)
	}
	return w.Flush()
}

// services puts the answers of the daemons together; what the holder itself says goes before the others.
func services(ctx context.Context, e *env, r remote) ([]oas.Service, error) {
	var list []oas.Service
	at := map[string]int{}
	err := each(ctx, e, r, func(ctx context.Context, c *oas.Client) error {
		got, err := c.ListServices(ctx)
		for _, s := range got {
			i, ok := at[s.Name]
			if !ok {
				at[s.Name] = len(list)
				list = append(list, s)
			} else if s.Progress.Set {
				list[i] = s
			}
		}
		return err
	})
	return list, err
}

func runJob(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r, asJSON := addRemote(fs), fs.Bool("json", false, "print JSON")
	rest, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	j, err := first(ctx, r, func(ctx context.Context, c *oas.Client) (*oas.Job, error) {
		return c.GetJob(ctx, oas.GetJobParams{ID: rest[0]})
	})
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(e, j)
	}
	_, err = fmt.Fprintf(e.out, "%s  %s  %s\n", j.ID, j.Service, j.State)
	return err
}

// runExplain asks every daemon that is named and tells their lines in the order of their times.
func runExplain(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r := addRemote(fs)
	rest, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	var lines []string
	err = each(ctx, e, r, func(ctx context.Context, c *oas.Client) error {
		got, err := c.GetTrail(ctx, oas.GetTrailParams{ID: rest[0]})
		lines = append(lines, got...)
		return err
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.New(fault.Missing, "the daemons that answered remember nothing about %q; gypsumlead trace reads their logs", rest[0])
	}
	return logs.Trace(strings.NewReader(strings.Join(lines, "\n")), e.out, rest[0])
}

func printJSON(e *env, v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return fault.Wrap(fault.Internal, enc.Encode(v), "print")
}
