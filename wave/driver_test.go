package wave

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
)

// script is a wave told as an operator sees it.
type script struct {
	*world
	t *testing.T
}

func play(t *testing.T, rec record.Wave) *script {
	w := newWorld(t, 7, "")
	w.startWave("w", rec)
	return &script{world: w, t: t}
}

func (s *script) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick()
	}
	require.Empty(s.t, s.breaches, s.first)
}

// end runs until the wave is over in the pool.
func (s *script) end() {
	for range 40 {
		s.run(time.Minute)
		if !s.part().Ended.IsZero() {
			return
		}
	}
	s.t.Fatalf("the wave doesn't end: %+v", s.part())
}

func (s *script) status() Status {
	st, err := ReadStatus(context.Background(), s.p.Table, "w")
	require.NoError(s.t, err)
	return st
}

// part is the wave's progress in pool a.
func (s *script) part() Part {
	var p Part
	s.load(Key("w", "a"), &p)
	return p
}

// out returns an instance that the wave has in a state, waiting for it.
func (s *script) out(st State) string {
	for range 600 {
		for _, it := range s.part().Items {
			if it.State == st {
				return it.Instance
			}
		}
		s.run(time.Second)
	}
	s.t.Fatalf("no instance becomes %s: %+v", st, s.part())
	return ""
}

func TestWaveReturnsEveryInstance(t *testing.T) {
	t.Parallel()
	for _, rec := range []record.Wave{
		{Pools: []string{"a"}},
		{Pools: []string{"a"}, Racks: []string{"r1", "r4"}, Order: record.OrderRack},
		{Pools: []string{"a"}, Racks: []string{"r1", "r4"}, Order: record.OrderSerial},
		{Instances: []string{"i02", "i04"}},
	} {
		t.Run(string(rec.Order), func(t *testing.T) {
			s := play(t, rec)
			s.end()
			require.Equal(t, map[State]int{Returned: s.reboots}, s.status().Count)
			for _, it := range s.part().Items {
				require.True(t, rec.Holds(it.Instance, fmt.Sprint("r", rackOf(it.Instance))))
			}
		})
	}
}

func rackOf(id string) int {
	n, _ := strconv.Atoi(id[1:])
	return n / 4
}

func TestSilentEntryMakesTheWaveWait(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}})
	s.entries[1].silent = true
	s.run(4 * time.Minute)
	require.Zero(t, s.reboots)
	require.Contains(t, s.part().Items[0].Why+s.part().Items[1].Why, "entry e1 doesn't answer")
	require.NoError(t, s.p.Remove("e1"))
	for _, r := range s.entries[1].work {
		s.busy[r.instance+r.boot]-- // ended with the entry
	}
	s.entries = append(s.entries[:1], s.entries[2:]...)
	s.run(time.Minute)
	require.NotZero(t, s.reboots, "the platform says that the entry is gone")
}

func TestPauseAndCancelFinishWhatIsOut(t *testing.T) {
	t.Parallel()
	for _, rec := range []record.Wave{{Pools: []string{"a"}, Paused: true}, {Pools: []string{"a"}, Cancelled: true}} {
		s := play(t, record.Wave{Pools: []string{"a"}})
		s.out(Draining)
		s.startWave("w", rec)
		s.run(4 * time.Minute)
		require.Equal(t, 3, s.reboots)
		require.Equal(t, 3, s.status().Count[Returned])
		if rec.Cancelled {
			require.Equal(t, 9, s.status().Count[Dropped])
			require.False(t, s.part().Ended.IsZero())
			continue
		}
		require.Equal(t, "paused by the operator", s.part().Why)
		s.startWave("w", record.Wave{Pools: []string{"a"}})
		s.end()
		require.Equal(t, 12, s.status().Count[Returned])
	}
}

func TestDeletedRecordFinishesWhatIsOut(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}})
	s.out(Draining)
	delete(s.waves, "w")
	require.NoError(t, s.accept(journal.Proposal{ID: "delete", Records: []record.Key{RecordKey("w")}, Decide: func(rows journal.Rows) (journal.Decision, error) {
		old, _, err := rows.Envelope(RecordKey("w"))
		require.NoError(t, err)
		e, err := journal.DeleteOn(rows, RecordKey("w"), old.Version)
		return journal.Decision{Edits: []record.Envelope{e}}, err
	}}))
	s.run(2 * time.Minute)
	require.Equal(t, 3, s.status().Count[Returned], "the takes in the pool's row keep the wave known")
}

func TestInstancesThatStayAwayStopTheWave(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}})
	s.out(Rebooting)
	for _, it := range s.part().Items {
		if it.State.IsOut() {
			require.NoError(t, s.p.Kill(it.Instance))
		}
	}
	s.run(4 * time.Minute)
	st := s.status()
	require.NotNil(t, st.Stop)
	require.Contains(t, st.Stop.Why, "not back within 2m0s")
	require.Equal(t, 3, st.Count[Late], "late ones still count")
	require.Contains(t, s.part().Why+st.Stop.Why, "not back")
	s.revive()
	s.startWave("w", record.Wave{Pools: []string{"a"}, Resumed: 1})
	s.end()
	require.Equal(t, 12, s.status().Count[Returned])
}

func TestLostRackStopsTheWave(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}, Pace: 1})
	s.out(Draining)
	s.killRack("r5")
	s.run(time.Minute)
	require.NotNil(t, s.status().Stop)
	require.Contains(t, s.status().Stop.Why, "rack r5 lost i20, i22")
	before := s.reboots
	s.run(2 * time.Minute)
	require.Equal(t, before, s.reboots, "a stopped wave reboots nothing")
}

func TestLateRebootHitsNoInstanceInService(t *testing.T) {
	t.Parallel()
	for _, off := range []string{"boot", ""} {
		w := newWorld(t, 7, off)
		w.startWave("w", record.Wave{Instances: []string{"i00"}})
		w.late = 120 // another holder reboots and returns the instance meanwhile
		for range 200 {
			w.tick()
		}
		var p Part
		w.load(Key("w", "a"), &p)
		require.Equal(t, Returned, p.Items[0].State)
		require.Equal(t, map[string]int{"boot": 2, "": 1}[off], w.reboots)
		require.Equal(t, off == "boot", w.breaches["service"] > 0, "%v", w.breaches)
	}
}

func TestLossesOverTheBudgetStopTheWave(t *testing.T) {
	t.Parallel()
	for lost, stops := range []bool{false, false, true} {
		s := play(t, record.Wave{Pools: []string{"a"}})
		s.out(Draining)
		killed := 0
		for i := 0; killed < lost; i += 4 { // one in a rack
			id := fmt.Sprintf("i%02d", i)
			if it, _ := s.part().Item(id); it.State != Queued {
				id = fmt.Sprintf("i%02d", i+2)
			}
			s.kill(id)
			killed++
		}
		s.run(time.Minute)
		require.Equal(t, stops, s.status().Stop != nil, "%d lost: %+v", lost, s.status().Stop)
	}
}

func TestListOutageIsNoFailureOfTheFleet(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}})
	s.out(Returned)
	s.p.SetLag(time.Hour)
	s.run(5 * time.Minute)
	require.Nil(t, s.status().Stop)
	require.Contains(t, s.part().Why+fmt.Sprint(s.part().Items), "list may not show every entry")
	s.p.SetLag(worldLag)
	s.end()
	require.Equal(t, 12, s.status().Count[Returned])
}

func TestReleasedInstanceLeavesTheWave(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}})
	id := s.out(Rebooting)
	require.NoError(t, s.p.Remove(id))
	s.run(10 * time.Second)
	require.NoError(t, s.accept(pool.ProposeRelease(pool.Request{ID: "rel", View: s.view()}, "a", id)))
	s.end()
	require.Equal(t, map[State]int{Returned: 11, Dropped: 1}, s.status().Count)
}

func TestWaveSpreadsOverRacksAndCentres(t *testing.T) {
	t.Parallel()
	s := play(t, record.Wave{Pools: []string{"a"}})
	s.out(Taken)
	var st pool.State
	s.load(pool.Key("a"), &st)
	racks, centres := map[string]bool{}, map[string]bool{}
	for _, tk := range st.Takes {
		m, _ := st.Member(tk.Instance)
		racks[m.Rack] = true
		centres[m.Centre] = true
	}
	require.Len(t, st.Takes, 3)
	require.Len(t, racks, 3)
	require.Greater(t, len(centres), 1)
}
