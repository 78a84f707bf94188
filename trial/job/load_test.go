package jobtrial

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/job"
)

func TestUrgentWorkStartsInTimeOnlyByDisplacing(t *testing.T) {
	sc := Scale{Name: "small", Pools: 1, Workers: 24, Teams: 3, Span: 4 * time.Minute, Size: backing.Size{Cores: 16, Memory: 64 * gib}}
	late := map[bool]int{}
	for _, off := range []bool{false, true} {
		y := job.DefaultPolicy()
		y.NoDisplace = off
		w := NewWorld(sc, "pool", 5, 1, job.WithPolicy(y))
		require.NoError(t, w.run(context.Background()))
		r := w.Result()
		t.Logf("seed 5, displacing off %v: urgent %+v amid %+v", off, r.Urgent, r.Amid)
		late[off] = r.Urgent.Late
	}
	require.Zero(t, late[false])
	require.Positive(t, late[true])
}
