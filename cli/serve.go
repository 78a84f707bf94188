package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gypsumlead/daemon"
	"gypsumlead/fault"
	"gypsumlead/logs"
	"gypsumlead/settings"
)

// heapShare is the share of the allowed memory that the garbage collector aims to stay below; the rest is stacks and buffers of the kernel.
const heapShare = 0.7

// runServe runs the daemon of an entry instance.
func runServe(ctx context.Context, e *env, args []string) error {
	file, err := settingsFile(e, args)
	if err != nil {
		return err
	}
	set, err := settings.Load(file)
	if err != nil {
		return err
	}
	log, err := logs.New(set.LogLevel, os.Stdout)
	if err != nil {
		return err
	}
	defer log.Close()
	debug.SetMemoryLimit(int64(float64(set.MemoryMB<<20) * heapShare))
	// net/http reports some things of its own to the standard logger only.
	restore := zap.RedirectStdLog(log.Logger)
	defer restore()
	d, err := daemon.New(set, log.Logger, daemon.WithDroppedLogs(log.Dropped), daemon.WithTrail(log.Trail))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "start the daemon")
	}
	go reload(ctx, file, d, log.Logger)
	return d.Run(ctx)
}

// settingsEvery is the time between two looks at the settings file, which may change without a signal.
const settingsEvery = 5 * time.Second

// reload takes in the settings file again at SIGHUP and now and then.
func reload(ctx context.Context, file string, d *daemon.Daemon, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("asked to read the settings again")
		case <-t.C:
		}
		set, err := settings.Load(file)
		if err != nil {
			log.Error("settings can't be used; those before stay in force", zap.Error(err))
			continue
		}
		d.Reload(set)
	}
}
