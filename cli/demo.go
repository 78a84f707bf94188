package cli

import (
	"context"
	"time"

	"gypsumlead/emulator"
)

const demoDuration = 12 * time.Second

// runDemo plays a day of jobs and a wave, in real time, on stand-ins in this process.
func runDemo(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	seed := fs.Uint64("seed", 1, "seed of the load and of the troubles")
	duration := fs.Duration("duration", demoDuration, "time for which callers hand jobs in")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	return emulator.Demo(ctx, e.out, *seed, *duration)
}
