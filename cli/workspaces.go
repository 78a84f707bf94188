package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"gypsumlead/api/oas"
)

// runWorkspaces queries every daemon, as only the granter of caps knows what the workspaces use.
func runWorkspaces(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	daemons, asJSON := addAddrFlag(fs), fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	list := []oas.Workspace{}
	err := queryAll(ctx, e, daemons, func(ctx context.Context, c *oas.Client) error {
		got, err := c.ListWorkspaces(ctx)
		list = append(list, got...)
		return err
	})
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(e, list)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tCAP\tGRANTED\tRUNNING\tWAITING")
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Name, amountText(s.Cap), amountText(s.Granted), amountText(s.Running), amountText(s.Waiting))
	}
	return w.Flush()
}

// amountText returns an amount in cores, MB and GPUs.
func amountText(a oas.Amount) string {
	return fmt.Sprintf("%.1f/%d/%d", float64(a.CPU)/1000, a.Mem, a.Gpu)
}
