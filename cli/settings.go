package cli

import (
	"context"
	"fmt"

	"gypsumlead/settings"
)

func runSettings(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	schema := fs.Bool("schema", false, "print the JSON Schema")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	if *schema {
		data, err := settings.Schema()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(e.out, "%s\n", data)
		return err
	}
	_, err := fmt.Fprint(e.out, settings.Reference())
	return err
}
