package cli

import (
	"context"
	"encoding/json"
	"strings"

	"gypsumlead/fault"
	"gypsumlead/trial"
)

// runTrial plays a load under a way of deciding.
func runTrial(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	load := fs.String("load", "turns", "`NAME` of the load: "+strings.Join(trial.Workloads, ", "))
	way := fs.String("way", "now", "`NAME` of the way: now, urgent (by the latest start alone) or first (first come first served, first fit)")
	seed := fs.Uint64("seed", 1, "seed of the load")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	r, err := trial.Run(*load, *way, *seed)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.Internal, json.NewEncoder(e.out).Encode(r), "print the result")
}
