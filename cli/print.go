package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"gypsumlead/api/oas"
)

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

const columnGap = 2 // blanks

func newTable(out io.Writer, head ...any) *table {
	t := &table{tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

func (t *table) flush() error {
	return t.w.Flush()
}

// printJSON prints a value of the generated client as one indented document.
func printJSON(out io.Writer, v json.Marshaler) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return err
}

func printRecord(out io.Writer, r *oas.Record, asJSON bool) error {
	if asJSON {
		return printJSON(out, r)
	}
	_, err := fmt.Fprintf(out, "%s/%s version %d schema %d\n%s\n", r.Kind, r.Name, r.Version, r.Schema, r.Body)
	return err
}

func printAccepted(out io.Writer, a *oas.Accepted, asJSON bool) error {
	if asJSON {
		return printJSON(out, a)
	}
	_, err := fmt.Fprintf(out, "accepted as change %d (%s)\n", a.Seq, a.ID)
	return err
}
