// Command standin runs stand-ins of the platform and of runners for the demo and for trials by hand.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"gypsumlead/fault"
)

func main() {
	log, err := zap.NewProduction()
	if err != nil {
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, log, os.Args[1:]); err != nil {
		log.Fatal("standin failed", zap.Error(err))
	}
}

// serve runs the stand-in that the first argument names until ctx ends.
func serve(ctx context.Context, log *zap.Logger, args []string) error {
	if len(args) > 0 && args[0] == "platform" {
		return servePlatform(ctx, log, args[1:])
	}
	if len(args) > 0 && args[0] == "runner" {
		return serveRunner(ctx, log, args[1:])
	}
	return fault.New(fault.Invalid, "usage: standin platform|runner [flags]; -help after either lists its flags")
}
