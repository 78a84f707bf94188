package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floodShape is the shape of jobs of which some hundred are more than all machines can process in time.
var floodShape = JobShape{MaxSteps: 1, MaxWidth: 8, MeanMS: 1000, CPU: 2000}

// floodedSize is the size of a site with five machines.
var floodedSize = Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 2, RunnersPerService: 2, SpareMachines: 1, CoresPerMachine: 16}

// configureWorkspaces writes a configuration with a workspace, whose routes need no key.
func configureWorkspaces(c *Cluster) {
	c.changeConfig(func(config *config) {
		config.Tenants = []configTenant{{Name: "w", APIKeys: []string{"key"}, Weight: 10}}
		for i := range config.Routes {
			config.Routes[i].Public = true
		}
	})
}

// Guards against refusals for lack of capacity that aren't true of every try: with several times what all machines can
// process, and daemons that are cut off, killed and restarted while callers repeat tries and come back after a refusal, a
// job whose last answer was a refusal never runs, and none is refused after its acceptance.
func TestRefusedForLackOfCapacityNeverRun(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, floodedSize, 7000+seed, func(t *testing.T, c *Cluster) {
				configureWorkspaces(c)
				time.Sleep(time.Second)
				var refusals atomic.Int64
				rng := rand.New(rand.NewPCG(seed, 8))
				for n := range 350 {
					submitTrusting(c, "s0", floodShape, func(rng *rand.Rand) bool {
						refusals.Add(1)
						return rng.IntN(3) > 0
					})
					if n > 150 && n%60 == 59 { // not before jobs are refused
						injectOutage(c, rng)
					}
					time.Sleep(30 * time.Millisecond)
				}
				repairAll(c)
				time.Sleep(100 * time.Second) // until all accepted work is done; 60 s were too short on one of 12 seeds
				require.Positive(t, refusals.Load())
				t.Logf("%d refusals", refusals.Load())
			})
		})
	}
}
