package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func TestTransitionTable(t *testing.T) {
	inputs := []Input{Place, Throttle, Slowed, Save, Stop, Acked, Silence, Heard, Finish, End, Drop}
	for from, row := range transitions {
		for _, in := range inputs {
			task := &Task{State: from, job: &Job{}}
			err := task.enter(in, time.Time{})
			to, ok := row[in]
			if !ok {
				require.True(t, fault.Is(err, fault.Breach), "%s on %s", in, from)
				require.Equal(t, from, task.State)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, to, task.State)
			require.Contains(t, transitions, to)
			// Only placing gives a task a place on a worker, so that it has one try at most.
			if to.holds() && !from.holds() {
				require.Equal(t, Place, in, "from %s", from)
			}
		}
	}
}

func TestEstimates(t *testing.T) {
	declared := Amount{Milli: 1000, Memory: 1 << 30}
	for _, tc := range []struct {
		name  string
		own   []float64
		prior []float64
		want  float64 // of the declared memory
	}{
		{"nothing is known", nil, nil, 1},
		{"the team declares double", nil, []float64{0.5, 0.5, 0.5}, 0.5},
		{"one sample below the prior counts half", []float64{0.25}, nil, (0.3 + 1) / 2},
		{"many samples count", []float64{0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25, 0.25}, nil, (9*0.3 + 1) / 10},
		{"a sample above counts at once", []float64{3}, nil, 3.6},
		{"one outlier of eleven doesn't", []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 40}, nil, 1.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e, prior Estimate
			for _, r := range tc.own {
				e.Memory.add(r)
			}
			for _, r := range tc.prior {
				prior.Memory.add(r)
			}
			got := e.sized(declared, &prior, 1.2)
			require.InDelta(t, tc.want, float64(got.Memory)/float64(declared.Memory), 1e-6)
		})
	}
}

func TestCheckFindsBreaches(t *testing.T) {
	for _, tc := range []struct {
		name string
		hurt func(p *Pool, w *Worker, t *Task)
	}{
		{"worker promised more than it has", func(_ *Pool, w *Worker, _ *Task) { w.total.Milli = 10 }},
		{"sum out of step", func(_ *Pool, w *Worker, _ *Task) { w.used.Memory++ }},
		{"team above its bound", func(p *Pool, _ *Worker, _ *Task) { p.teams["a"].quota, p.teams["a"].limit = Amount{}, Amount{} }},
		{"too many tries", func(_ *Pool, _ *Worker, t *Task) { t.Try = 1000 }},
		{"ended task on a worker", func(_ *Pool, _ *Worker, t *Task) { t.State = Done }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, w, task := onePlaced(t)
			require.NoError(t, p.Check())
			tc.hurt(p, w, task)
			require.True(t, fault.Is(p.Check(), fault.Breach))
		})
	}
}
