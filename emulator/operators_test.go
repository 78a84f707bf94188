package emulator

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/standin"
)

// Every daemon answers operators with its configuration, the leaders of the services and the state of a job. The trails
// of all daemons together show what happened to the job.
func TestOperatorAPI(t *testing.T) {
	drainSyncPools()
	synctest.Test(t, func(t *testing.T) {
		c := New(context.Background(), keyedSite(false), 5, zap.NewNop())
		c.keepTrail = true
		defer synctest.Wait()
		defer c.Close()
		for _, name := range c.Daemons() {
			c.Start(name)
		}
		time.Sleep(4 * time.Second)
		wire, job := c.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 2, MeanMS: 500, CPU: 1000})
		id := c.Submit("s0", wire, job)
		time.Sleep(6 * time.Second)
		var trailLines []string
		for _, name := range c.Daemons() {
			client, err := oas.NewClient("http://"+netip.AddrPortFrom(c.daemons[name].addr, portReady).String(), oas.WithClient(c.http))
			require.NoError(t, err)
			status, err := client.GetStatus(t.Context())
			require.NoError(t, err)
			require.Equal(t, name, status.Instance)
			require.True(t, status.Ready)
			require.Len(t, status.Daemons, len(c.Daemons()))
			require.Positive(t, status.Config)
			require.Equal(t, 3, status.Workspaces.Value)
			require.Less(t, status.Age.Value, 3.0)

			services, err := client.ListServices(t.Context())
			require.NoError(t, err)
			for _, service := range services {
				require.Equal(t, c.Leader(service.Name), service.Holder, service.Name)
				require.Equal(t, service.Holder == name, service.Progress.Set, "only the leader reports progress")
			}

			job, err := client.GetJob(t.Context(), oas.GetJobParams{ID: string(id)})
			require.NoError(t, err)
			require.Equal(t, oas.Job{ID: string(id), Service: "s0", State: "done"}, *job)

			_, err = client.GetJob(t.Context(), oas.GetJobParams{ID: "00000000000000ff"})
			var f *oas.FaultStatusCode
			require.ErrorAs(t, err, &f)
			require.Equal(t, fault.Missing.String(), f.Response.Kind)

			lines, err := client.GetTrail(t.Context(), oas.GetTrailParams{ID: string(id)})
			require.NoError(t, err)
			trailLines = append(trailLines, lines...)
		}
		text := strings.Join(trailLines, "\n")
		require.Contains(t, text, `"answer":"accepted"`)
		require.Contains(t, text, "job is over")
	})
}

// A daemon that has started while the store is down knows no services to ask for the job.
func TestOperatorIsNotToldThatAJobIsMissingByADaemonWithoutConfiguration(t *testing.T) {
	drainSyncPools()
	synctest.Test(t, func(t *testing.T) {
		c := New(context.Background(), Small, 5, zap.NewNop())
		defer synctest.Wait()
		defer c.Close()
		c.Store.SetFaults(standin.StoreFaults{Down: true})
		name := c.Daemons()[0]
		c.Start(name)
		time.Sleep(4 * time.Second)
		client, err := oas.NewClient("http://"+netip.AddrPortFrom(c.daemons[name].addr, portReady).String(), oas.WithClient(c.http))
		require.NoError(t, err)
		_, err = client.GetJob(t.Context(), oas.GetJobParams{ID: "00000000000000ff"})
		var f *oas.FaultStatusCode
		require.ErrorAs(t, err, &f)
		require.Equal(t, fault.Unavailable.String(), f.Response.Kind)
	})
}
