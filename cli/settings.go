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

// checkSettings checks a settings file.
func checkSettings(e *env, file string) error {
	conf, err := settings.Load(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "settings of %s in data centre %s are fine\n", conf.Instance, conf.Centre)
	return nil
}

// settingsFile returns the path given by the -settings flag.
func settingsFile(e *env, args []string) (string, error) {
	fs := e.flags()
	file := fs.String("settings", "", "settings `FILE`")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return "", err
	}
	if *file == "" {
		return "", usageError{"-settings is required"}
	}
	return *file, nil
}
