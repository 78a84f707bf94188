package cli

import (
	"context"
	"time"

	"gypsumlead/emulator"
)

const demoDuration = 12 * time.Second

// runDemo runs a day of jobs and a wave in real time, on an emulated platform in this process.
func runDemo(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	seed := fs.Uint64("seed", 1, "seed of the load and of the injected faults")
	duration := fs.Duration("duration", demoDuration, "how long callers submit jobs")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	return emulator.Demo(ctx, e.out, *seed, *duration)
}
