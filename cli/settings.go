package cli

import (
	"context"
	"fmt"

	"gypsumlead/settings"
)

func runSettings(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	schema := fs.Bool("schema", false, "print the JSON Schema")
	fleet := fs.Bool("fleet", false, "those of a daemon on the users' platform")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	page, scheme := settings.Reference, settings.Schema
	if *fleet {
		page, scheme = settings.FleetReference, settings.FleetSchema
	}
	if *schema {
		data, err := scheme()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(e.out, "%s\n", data)
		return err
	}
	_, err := fmt.Fprint(e.out, page())
	return err
}
