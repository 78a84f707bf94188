// Command gypsumlead runs the daemon and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gypsumlead/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
