package wave

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
	"gypsumlead/record"
)

func TestIdlePoolReadsNothing(t *testing.T) {
	w := newWorld(t, 1, "")
	d := w.daemons[0].newDriver("a", &testLease{Until: start.Add(time.Hour), w: w, key: "lease/idle"})
	steps := func() int64 {
		before := w.p.Counts(standin.ServiceTable).Rows
		for range 10 {
			require.NoError(t, d.Step(context.Background()))
		}
		return w.p.Counts(standin.ServiceTable).Rows - before
	}
	require.Equal(t, int64(1), steps(), "a new holder looks once for takes of waves")
	require.Zero(t, steps())
	w.startWave("w", record.Wave{Pools: []string{"a"}, Racks: []string{"r0"}})
	require.NotZero(t, steps())
	for range 120 {
		w.tick()
	}
	steps()
	require.Zero(t, steps(), "the wave is over")
}
