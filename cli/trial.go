package cli

import (
	"context"
	"encoding/json"
	"strings"

	"gypsumlead/fault"
	"gypsumlead/trial"
)

// runTrial simulates a load with a scheduling strategy.
func runTrial(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	load := fs.String("load", "turns", "`NAME` of the load: "+strings.Join(trial.Workloads, ", "))
	strategy := fs.String("way", "now", "`NAME` of the strategy: now (deadline-aware), noshares (the same without the workspaces' shares), urgent (by latest start only) first (first come, first served; first fit), direct (as now, but no task waits for its rack) always (as now, but tasks always wait for their rack) or single (as now, but slow runs are stopped instead of copied)")
	seed := fs.Uint64("seed", 1, "seed of the load")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	r, err := trial.Run(*load, *strategy, *seed)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.Internal, json.NewEncoder(e.out).Encode(r), "print the result")
}
