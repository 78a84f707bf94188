package cli

import (
	"context"
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gypsumlead/app"
	"gypsumlead/backing/client"
	"gypsumlead/fault"
	"gypsumlead/settings"
)

func runServe(ctx context.Context, e *env, args []string) error {
	set, err := loadSettings(e, args)
	if err != nil {
		return err
	}
	log, err := newLogger(set.Log)
	if err != nil {
		return err
	}
	// net/http reports some things of its own to the standard logger only.
	restore := zap.RedirectStdLog(log)
	defer restore()
	c := client.New(set.Platform)
	defer c.Close()
	a, err := app.New(set, app.OverHTTP(c), log)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

func runCheck(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	file := fs.String("settings", "", "settings `FILE`")
	fleet := fs.Bool("fleet", false, "they are of a daemon on the users' platform")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	if *file == "" {
		return usageError{"-settings is missing"}
	}
	name, centre, err := identify(*file, *fleet)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "settings of %s in data centre %s are fine\n", name, centre)
	return nil
}

// identify loads settings of either form and returns whose they are.
func identify(file string, fleet bool) (name, centre string, err error) {
	if fleet {
		set, err := settings.LoadFleet(file)
		return set.Instance, set.Centre, err
	}
	set, err := settings.Load(file)
	return set.Instance, set.Centre, err
}

func loadSettings(e *env, args []string) (settings.Settings, error) {
	fs := e.flags()
	file := fs.String("settings", "", "settings `FILE`")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return settings.Settings{}, err
	}
	if *file == "" {
		return settings.Settings{}, usageError{"-settings is missing"}
	}
	return settings.Load(*file)
}

// newLogger writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "log level")
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(at)
	c.Sampling = nil
	c.DisableStacktrace = true
	log, err := c.Build()
	return log, fault.Wrap(fault.Internal, err, "make the logger")
}
