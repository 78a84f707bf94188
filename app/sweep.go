package app

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
)

const sweepEvery = 10 * time.Second

// sweepClaims removes expired claims from the table, a bounded number at a time, until ctx ends.
// Daemons that sweep at once lose to one of them.
func (a *App) sweepClaims(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		_, err := a.claims.Sweep(ctx)
		if err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.StoreDown) {
			a.log.Warn("sweep expired claims", zap.Error(err))
		}
	}
}
