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
	daemons, asJSON := addAddrFlag(fs), fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	s, err := queryFirst(ctx, daemons, func(ctx context.Context, c *oas.Client) (*oas.Status, error) { return c.GetStatus(ctx) })
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(e, s)
	}
	_, err = fmt.Fprintf(e.out, "instance   %s (%s)\ncentre     %s\nconfig     %d\nconfirmed  %.1f s ago\nworkspaces %d\nready      %t\nleaving    %t\ndaemons    %s\nschedules  %s\n",
		s.Instance, s.Boot, s.Centre, s.Config, s.Age.Or(0), s.Workspaces.Or(0), s.Ready, s.Leaving, strings.Join(s.Daemons, " "), strings.Join(s.Holds, " "))
	return err
}

// runServices queries every daemon, as only the leader of a service knows the service's progress.
func runServices(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	daemons, asJSON := addAddrFlag(fs), fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	list, err := collectServices(ctx, e, daemons)
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

// collectServices merges the daemons' lists of services; the entry from a service's leader, which has the progress,
// replaces the others.
func collectServices(ctx context.Context, e *env, daemons daemonAddrs) ([]oas.Service, error) {
	var list []oas.Service
	index := map[string]int{}
	err := queryAll(ctx, e, daemons, func(ctx context.Context, c *oas.Client) error {
		got, err := c.ListServices(ctx)
		for _, s := range got {
			i, ok := index[s.Name]
			if !ok {
				index[s.Name] = len(list)
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
	daemons, asJSON := addAddrFlag(fs), fs.Bool("json", false, "print JSON")
	positional, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	j, err := queryFirst(ctx, daemons, func(ctx context.Context, c *oas.Client) (*oas.Job, error) {
		return c.GetJob(ctx, oas.GetJobParams{ID: positional[0]})
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

// runExplain queries every daemon and prints their log lines about one name in the order of their times.
func runExplain(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	daemons := addAddrFlag(fs)
	positional, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	var lines []string
	err = queryAll(ctx, e, daemons, func(ctx context.Context, c *oas.Client) error {
		got, err := c.GetTrail(ctx, oas.GetTrailParams{ID: positional[0]})
		lines = append(lines, got...)
		return err
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.New(fault.Missing, "no recent decisions about %q on the daemons that responded; gypsumlead trace searches their logs", positional[0])
	}
	return logs.Trace(strings.NewReader(strings.Join(lines, "\n")), e.out, positional[0])
}

func printJSON(e *env, v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return fault.Wrap(fault.Internal, enc.Encode(v), "print JSON")
}
