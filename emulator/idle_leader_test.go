package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// unevenSite returns a site of daemons of two sizes with a workspace. A large one leads the idle spare service, a small one another service.
func unevenSite(daemons int) Size {
	return Size{
		Centres: []string{"c1", "c2", "c3"}, Daemons: daemons, Services: 4, RunnersPerService: 2, SpareMachines: 2, CoresPerMachine: 16,
		Workspaces: 1, Weights: []float64{0.3, 0.8}, SteadyConfig: true,
	}
}

// requireAllServicesWork submits jobs of the capped workspace to each service and requires that they are done soon.
func requireAllServicesWork(t *testing.T, c *Cluster) {
	t.Helper()
	var jobs []work.ID
	for i := range 2 * c.size.Services {
		jobs = append(jobs, submitCapped(c, serviceName(i%c.size.Services), JobShape{MaxSteps: 1, MaxWidth: 2, MeanMS: 500, CPU: 2000}))
	}
	time.Sleep(8 * time.Second)
	require.Equal(t, len(jobs), countDone(c, jobs))
}

// Guards against two leaders of one service after a daemon has started again during an outage of the store. The one of the idle
// spare service grants the caps of workspaces: with two of them, no work of a capped workspace starts any more.
func TestCappedWorkGoesOnAfterARestartBesideAnOutage(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		faults standin.StoreFaults
	}{
		{"down", standin.StoreFaults{Down: true}},
		{"silent", standin.StoreFaults{Unresponsive: true}},
	} {
		for i := range 6 {
			// Which daemon's heartbeat is heard first is a matter of milliseconds.
			outage, restart := 1100*time.Millisecond+time.Duration(i)*50*time.Millisecond, 226*time.Millisecond+time.Duration(i)*13*time.Millisecond
			t.Run(fmt.Sprint(scenario.name, " for ", outage, ", back after ", restart), func(t *testing.T) {
				runScenario(t, unevenSite(2+i%3), uint64(90+i), func(t *testing.T, c *Cluster) {
					setCap(c, 40_000)
					requireAllServicesWork(t, c)
					for _, name := range c.Daemons() {
						if name == c.Leader(spareService) {
							continue
						}
						c.Store.SetFaults(scenario.faults)
						c.Kill(name)
						time.Sleep(restart)
						c.Start(name)
						time.Sleep(outage - restart)
						c.Store.SetFaults(standin.StoreFaults{})
						time.Sleep(10 * time.Second)
						requireAllServicesWork(t, c)
					}
				})
			})
		}
	}
}
