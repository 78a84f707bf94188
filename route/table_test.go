package route

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// world is a configuration and a roster under construction.
type world struct {
	t     testing.TB
	state *journal.State
	list  []backing.Instance
}

func (w *world) put(name string, r record.Record) {
	e, err := record.Encode(name, r)
	require.NoError(w.t, err)
	_, err = w.state.Apply(journal.Change{Seq: w.state.Seq() + 1, Records: []record.Envelope{e}})
	require.NoError(w.t, err)
}

func (w *world) entry(id, centre string) {
	w.list = append(w.list, backing.Instance{ID: id, Role: backing.RoleEntry, Centre: centre, State: backing.StateLive})
}

func (w *world) runner(id, centre, pool string) {
	w.list = append(w.list, backing.Instance{ID: id, Boot: id + "-1", Role: backing.RoleRunner, Centre: centre, State: backing.StateLive})
	w.put(id, &record.Member{Pool: pool})
}

// newWorld has two data centres with two entries each; the pool "far" has runners in one only.
func newWorld(t testing.TB) *world {
	w := &world{t: t, state: journal.NewState()}
	for _, p := range []string{"near", "far"} {
		w.put(p, &record.Pool{Budget: record.Budget{Out: 1}})
	}
	for i := range 4 {
		w.entry(fmt.Sprintf("e%d", i), fmt.Sprintf("c%d", i%2))
	}
	for i := range 6 {
		w.runner(fmt.Sprintf("n%d", i), fmt.Sprintf("c%d", i%2), "near")
	}
	for i := range 3 {
		w.runner(fmt.Sprintf("f%d", i), "c0", "far")
	}
	return w
}

// slots sums over all entries what they may have in progress on each runner.
func (w *world) slots(perRunner int) map[string]int {
	sum := map[string]int{}
	for _, in := range w.list {
		if in.Role != backing.RoleEntry {
			continue
		}
		t, errs := Build(Self{Instance: in.ID, Centre: in.Centre, Slots: perRunner}, w.state, w.list)
		require.Empty(w.t, errs)
		for _, one := range t.Targets {
			sum[one.Instance.ID] += max(one.Slots, 0)
		}
	}
	return sum
}

func TestSlotsOfARunnerAreSplitWithoutRest(t *testing.T) {
	for _, slots := range []int{1, 3, 8} {
		w := newWorld(t)
		sum := w.slots(slots)
		require.Len(t, sum, 9)
		for id, n := range sum {
			require.Equal(t, slots, n, "%s of %d slots", id, slots)
		}
	}
}

func TestEntryWithoutRunnersOfAPoolNearGetsAPartOfTheOthers(t *testing.T) {
	w := newWorld(t)
	far, _ := Build(Self{Instance: "e1", Centre: "c1", Slots: 8}, w.state, w.list)
	for _, c := range far.Capacities {
		if c.Pool == "far" {
			require.Positive(t, c.Slots)
			require.Equal(t, 24, c.Total)
		}
	}
}

func TestDrainedAndLeavingRunnersTakeNoNewWork(t *testing.T) {
	w := newWorld(t)
	w.put("n0", &record.Drain{Boot: "n0-1"})
	w.put("n1", &record.Drain{Boot: "n1-0"}) // of an earlier boot
	for i := range w.list {
		if w.list[i].ID == "n2" {
			w.list[i].State = backing.StateLeaving
		}
	}
	b, _ := Build(Self{Instance: "e0", Centre: "c0", Slots: 8}, w.state, w.list)
	leaving := map[string]bool{}
	for _, one := range b.Targets {
		leaving[one.Instance.ID] = one.Leaving
	}
	require.True(t, leaving["n0"])
	require.False(t, leaving["n1"])
	require.True(t, leaving["n2"])
}

func TestARecordThatCantBeReadIsLeftOut(t *testing.T) {
	w := newWorld(t)
	_, err := w.state.Apply(journal.Change{Seq: w.state.Seq() + 1, Records: []record.Envelope{
		{Kind: record.KindService, Name: "bad", Schema: 1, Body: json.RawMessage(`{"pool":7}`)},
	}})
	require.NoError(t, err)
	b, errs := Build(Self{Instance: "e0", Centre: "c0", Slots: 8}, w.state, w.list)
	require.Len(t, errs, 1)
	require.Empty(t, b.Services)
	require.Len(t, b.Targets, 9)
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{100, 1000, 4200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := &world{t: b, state: journal.NewState()}
			for i := range 51 {
				w.put(fmt.Sprintf("p%d", i), &record.Pool{Budget: record.Budget{Out: 1}})
			}
			for i := range 56 {
				w.entry(fmt.Sprintf("e%d", i), fmt.Sprintf("c%d", i%14))
			}
			for i := range n {
				w.runner(fmt.Sprintf("r%d", i), fmt.Sprintf("c%d", i%14), fmt.Sprintf("p%d", i%51))
			}
			b.ReportAllocs()
			for b.Loop() {
				Build(Self{Instance: "e0", Centre: "c0", Slots: 8}, w.state, w.list)
			}
		})
	}
}
