package emulator

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/api/oas"
)

// Guards against the setting not reaching the scheduler, and against waits that operators can't see. The second job waits
// for its rack while another rack is free.
func TestTasksWaitForTheirRack(t *testing.T) {
	size := Small
	size.RunnersPerService = 8 // two racks of four; while the service is idle it lends half of each
	runScenario(t, size, 70, func(t *testing.T, c *Cluster) {
		submit := func(ms int64) string {
			wire, job := c.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: ms, CPU: 16000})
			wire.JobSteps[0].Count, wire.JobSteps[0].Affinity, wire.JobSteps[0].EstimateMs = 2, "r0", ms
			job.Steps[0].Count = 2
			return string(c.Submit("s0", wire, job))
		}
		submit(2000)
		time.Sleep(700 * time.Millisecond)
		id := submit(6000)
		time.Sleep(200 * time.Millisecond)
		var waits []oas.Wait
		var lines []string
		for _, name := range c.Daemons() {
			client, err := oas.NewClient("http://"+netip.AddrPortFrom(c.daemons[name].addr, portReady).String(), oas.WithClient(c.http))
			require.NoError(t, err)
			job, err := client.GetJob(t.Context(), oas.GetJobParams{ID: id})
			require.NoError(t, err)
			waits = append(waits, job.Waits...)
			trail, err := client.GetTrail(t.Context(), oas.GetTrailParams{ID: id})
			require.NoError(t, err)
			lines = append(lines, trail...)
		}
		require.NotEmpty(t, waits, "only the leader knows them")
		require.Equal(t, "r0", waits[0].Rack)
		require.True(t, waits[0].Latest.After(time.Now()))
		require.Contains(t, strings.Join(lines, "\n"), "waits for its rack now")
	})
}
