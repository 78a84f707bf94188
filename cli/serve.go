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

// heapShare is the share of the allowed memory that is set as Go's soft memory limit, which the garbage collector aims
// to stay below. The rest is for what the limit doesn't cover: stacks of threads and buffers of the kernel.
const heapShare = 0.7

// runServe runs the daemon of an entry instance.
func runServe(ctx context.Context, e *env, args []string) error {
	file, err := settingsFile(e, args)
	if err != nil {
		return err
	}
	conf, err := settings.Load(file)
	if err != nil {
		return err
	}
	log, err := logs.New(conf.LogLevel, os.Stdout)
	if err != nil {
		return err
	}
	defer log.Close()
	debug.SetMemoryLimit(int64(float64(conf.MemoryMB<<20) * heapShare))
	// net/http logs some of its errors to the standard logger only.
	restore := zap.RedirectStdLog(log.Logger)
	defer restore()
	d, err := daemon.New(conf, log.Logger, daemon.WithDroppedLogs(log.Dropped), daemon.WithTrail(log.Trail))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "start the daemon")
	}
	go reloadSettings(ctx, file, d, log.Logger)
	return d.Run(ctx)
}

// reloadInterval is the interval of reading the settings file, which may change without a signal.
const reloadInterval = 5 * time.Second

// reloadSettings applies the settings file again on SIGHUP and at every reloadInterval.
func reloadSettings(ctx context.Context, file string, d *daemon.Daemon, log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("received SIGHUP, reloading the settings")
		case <-t.C:
		}
		conf, err := settings.Load(file)
		if err != nil {
			log.Error("invalid settings file, keeping the previous settings", zap.Error(err))
			continue
		}
		d.Reload(conf)
	}
}
