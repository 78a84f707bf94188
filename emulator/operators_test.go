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
)

// Operators learn from any daemon what it has in force, who schedules a service and where a job stands, and
// from the daemons together why.
func TestOperatorsAreToldWhereAJobStandsAndWhy(t *testing.T) {
	emptyPools()
	synctest.Test(t, func(t *testing.T) {
		w := New(context.Background(), Small, 5, zap.NewNop())
		w.recall = true
		defer synctest.Wait()
		defer w.Close()
		for _, name := range w.Daemons() {
			w.Start(name)
		}
		time.Sleep(4 * time.Second)
		wj, j := w.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 2, MeanMS: 500, CPU: 1000})
		id := w.Submit("s0", wj, j)
		time.Sleep(6 * time.Second)
		var story []string
		for _, name := range w.Daemons() {
			c, err := oas.NewClient("http://"+netip.AddrPortFrom(w.daemons[name].at, portReady).String(), oas.WithClient(w.http))
			require.NoError(t, err)
			s, err := c.GetStatus(t.Context())
			require.NoError(t, err)
			require.Equal(t, name, s.Instance)
			require.True(t, s.Ready)
			require.Len(t, s.Daemons, len(w.Daemons()))
			require.Positive(t, s.Config)

			list, err := c.ListServices(t.Context())
			require.NoError(t, err)
			for _, x := range list {
				require.Equal(t, w.Leader(x.Name), x.Holder, x.Name)
				require.Equal(t, x.Holder == name, x.Progress.Set, "only the holder knows how far it is")
			}

			job, err := c.GetJob(t.Context(), oas.GetJobParams{ID: string(id)})
			require.NoError(t, err)
			require.Equal(t, oas.Job{ID: string(id), Service: "s0", State: "done"}, *job)

			_, err = c.GetJob(t.Context(), oas.GetJobParams{ID: "00000000000000ff"})
			var f *oas.FaultStatusCode
			require.ErrorAs(t, err, &f)
			require.Equal(t, fault.Missing.String(), f.Response.Kind)

			lines, err := c.GetTrail(t.Context(), oas.GetTrailParams{ID: string(id)})
			require.NoError(t, err)
			story = append(story, lines...)
		}
		all := strings.Join(story, "\n")
		require.Contains(t, all, `"answer":"accepted"`)
		require.Contains(t, all, "job is over")
	})
}
