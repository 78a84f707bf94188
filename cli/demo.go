package cli

import (
	"context"
	"time"

	"gypsumlead/demo"
)

const demoDuration = 12 * time.Second

func runDemo(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	seed := fs.Uint64("seed", 1, "seed of the callers' choices")
	duration := fs.Duration("duration", demoDuration, "time that callers ask for")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	return demo.Run(ctx, e.out, demo.WithSeed(*seed), demo.WithDuration(*duration))
}
