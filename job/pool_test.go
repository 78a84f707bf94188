package job

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/record"
)

var testNow = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

// bench is a pool with workers of 4 cores and 8 bytes in racks of two, and teams a and b.
func bench(t *testing.T, workers int, opts ...Option) (*Pool, View) {
	t.Helper()
	v := View{Version: 1, Teams: map[string]record.Team{
		"a": {Quotas: []record.Quota{{Cores: 100, Memory: 100 << 30, Accels: 9}}},
		"b": {Quotas: []record.Quota{{Cores: 2, Memory: 2 << 30}}},
	}}
	var list []backing.Worker
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		v.Members = append(v.Members, id)
		list = append(list, backing.Worker{
			Instance: backing.Instance{ID: id, Boot: "1", Rack: fmt.Sprintf("r%d", i/2), State: backing.StateLive, Seen: testNow},
			Total:    backing.Size{Cores: 4, Memory: 8 << 30},
		})
	}
	p := New("p", 1, opts...)
	require.NoError(t, p.Apply(Configured{View: v}, testNow))
	require.NoError(t, p.Apply(Listed{Workers: list}, testNow))
	return p, v
}

func (v *View) add(name string, j record.Job) {
	v.Version++
	j.Pool = "p"
	if j.Team == "" {
		j.Team = "a"
	}
	if j.Size == (backing.Size{}) {
		j.Size = backing.Size{Cores: 1, Memory: 1 << 30}
	}
	v.Jobs = append(v.Jobs, Spec{Name: name, Version: v.Version, Job: j})
}

func (p *Pool) pass(t *testing.T, v View, now time.Time) []Effect {
	t.Helper()
	require.NoError(t, p.Apply(Configured{View: v}, now))
	require.NoError(t, p.Settle(now))
	require.NoError(t, p.Decide(now))
	return p.Effects(now)
}

func onePlaced(t *testing.T) (*Pool, *Worker, *Task) {
	p, v := bench(t, 1)
	v.add("j", record.Job{Count: 1})
	require.Len(t, p.pass(t, v, testNow), 1)
	return p, p.workers[0], p.workers[0].tasks[0]
}

func TestJobsThatCanNeverRunAreRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		job  record.Job
		why  string // empty: it is placed
	}{
		{"fits", record.Job{Count: 1}, ""},
		{"bigger than any worker", record.Job{Count: 1, Size: backing.Size{Cores: 5, Memory: 1}}, "bigger than any worker"},
		{"no such accelerator", record.Job{Count: 1, Size: backing.Size{Cores: 1, Memory: 1, Accels: 1}}, "accelerators"},
		{"quota under one task", record.Job{Count: 1, Team: "b", Size: backing.Size{Cores: 3, Memory: 1}}, "quota"},
		{"no quota", record.Job{Count: 1, Team: "none"}, "no quota"},
		{"too few racks", record.Job{Count: 3, Racks: 3}, "racks"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, v := bench(t, 4)
			v.add("j", tc.job)
			es := p.pass(t, v, testNow)
			if tc.why == "" {
				require.Len(t, es, 1)
				return
			}
			require.Empty(t, es)
			phase, _ := p.Phase("j")
			require.Equal(t, Refused, phase)
			units, err := p.Flush()
			require.NoError(t, err)
			last := units[len(units)-1].Entries[0]
			require.Equal(t, "refuse", last.Act)
			require.Equal(t, fault.Unfit.String(), last.Refused)
			require.Contains(t, last.Why, tc.why)
		})
	}
}

func TestAWaveOfCancellationsTakesOnePass(t *testing.T) {
	p, v := bench(t, 4)
	for i := range 300 {
		v.add(fmt.Sprintf("j%d", i), record.Job{Count: 10})
	}
	p.pass(t, v, testNow)
	v.Version++
	for i := range v.Jobs {
		v.Jobs[i].Cancelled = true
		v.Jobs[i].Version = v.Version
	}
	p.pass(t, v, testNow.Add(time.Minute))
	for _, w := range p.workers {
		for _, task := range w.tasks {
			require.Equal(t, Stopping, task.State)
		}
	}
	require.Zero(t, p.Count().Waiting)
}

func TestQuotasSpreadAndRestore(t *testing.T) {
	p, v := bench(t, 4)
	v.add("limited", record.Job{Count: 5, Team: "b"})
	v.add("spread", record.Job{Count: 4, Racks: 2})
	p.pass(t, v, testNow)
	require.Equal(t, 2, p.byName["limited"].held)
	require.Equal(t, map[string]int{"r0": 2, "r1": 2}, p.byName["spread"].racks)

	units, err := p.Flush()
	require.NoError(t, err)
	var rows []backing.Row
	for _, u := range units {
		rows = append(rows, u.Puts...)
	}
	next := New("p", 2)
	sortRows(rows)
	require.NoError(t, next.Restore(rows, testNow))
	require.NoError(t, next.Apply(Configured{View: v}, testNow))
	require.Equal(t, p.Count().Tries, next.Count().Tries)
	require.Equal(t, p.until, next.until)
	require.NoError(t, next.Check())
	again := next.Effects(testNow)
	require.Len(t, again, 6, "a new holder sends every start again")
	require.Equal(t, int64(2), again[0].(Start).Task.Epoch)
}

func TestUrgentWorkThrottlesThenCheckpointsThenStops(t *testing.T) {
	for _, tc := range []struct {
		name string
		low  record.Job
		need backing.Size
		want backing.TaskAct
	}{
		{"processors", record.Job{Restart: true}, backing.Size{Cores: 1, Memory: 1 << 30}, backing.ActThrottle},
		{"memory, checkpoints", record.Job{Save: true}, backing.Size{Cores: 1, Memory: 7 << 30}, backing.ActCheckpoint},
		{"memory, restarts", record.Job{Restart: true}, backing.Size{Cores: 1, Memory: 7 << 30}, backing.ActStop},
		{"neither", record.Job{}, backing.Size{Cores: 1, Memory: 7 << 30}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			y := DefaultPolicy()
			y.UrgentShare = 1
			p, v := bench(t, 1, WithPolicy(y))
			tc.low.Count = 4
			v.add("low", tc.low)
			for _, e := range p.pass(t, v, testNow) {
				require.NoError(t, p.Apply(Answered{Effect: e}, testNow))
			}
			v.add("high", record.Job{Count: 1, Urgency: 9, Size: tc.need})
			es := p.pass(t, v, testNow.Add(time.Second))
			if tc.want == "" {
				require.Empty(t, es)
				return
			}
			require.NotEmpty(t, es)
			for _, e := range es {
				require.Equal(t, tc.want, e.(Act).Act)
			}
		})
	}
}

func sortRows(rows []backing.Row) {
	slices.SortFunc(rows, func(a, b backing.Row) int { return cmp.Compare(a.Key, b.Key) })
}

func TestAJobMadeAnewWaitsForTheOldOne(t *testing.T) {
	p, v := bench(t, 1)
	v.add("j", record.Job{Count: 1})
	for _, e := range p.pass(t, v, testNow) {
		require.NoError(t, p.Apply(Answered{Effect: e}, testNow))
	}
	old := p.workers[0].tasks[0].ID()
	v.Jobs, v.Version = nil, v.Version+1
	p.pass(t, v, testNow.Add(time.Second))
	v.add("j", record.Job{Count: 1})
	es := p.pass(t, v, testNow.Add(3*time.Second))
	require.Len(t, es, 1)
	require.Equal(t, Act{Task: old, Act: backing.ActStop}, es[0])
	require.NoError(t, p.Apply(Answered{Effect: es[0]}, testNow.Add(3*time.Second)))
	require.NoError(t, p.Apply(Reported{Worker: "w0", Reports: []backing.Report{{Task: old, State: backing.TaskStopped}}}, testNow.Add(4*time.Second)))
	require.Empty(t, p.pass(t, v, testNow.Add(5*time.Second)), "the old job's rows are deleted first")
	es = p.pass(t, v, testNow.Add(6*time.Second))
	require.Len(t, es, 1)
	require.NotEqual(t, old, es[0].(Start).Task.ID)
}
