package emulator

import (
	"testing"
	"time"

	"gypsumlead/standin"
)

// A poll that was sent while the store was silent keeps the daemon from asking again after the store's return.
func TestAddedRouteIsRefusedAfterStoreWasSilent(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			runScenario(t, Small, 91, func(_ *testing.T, c *Cluster) {
				c.wg.Go(c.watchContact)
				c.wg.Go(c.tryRoutes)
				submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
				c.Store.SetFaults(standin.StoreFaults{Unresponsive: true})
				time.Sleep(outage)
				c.Store.SetFaults(standin.StoreFaults{})
				submitEvenly(c, "s0", 10, 8*time.Second, batchShape)
			})
		})
	}
}
