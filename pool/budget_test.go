package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/record"
)

const testLag = 10 * time.Second

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// row is one row of the list in a scenario.
type row struct {
	id    string
	boot  string
	state backing.State
	age   time.Duration
}

func viewOf(now time.Time, rows ...row) View {
	var list []backing.Instance
	for _, r := range rows {
		list = append(list, backing.Instance{ID: r.id, Boot: r.boot, State: r.state, Seen: now.Add(-r.age)})
	}
	return NewView(list, now, testLag)
}

// four members: two in rack r1 of centre c1, two in racks r2 and r3 of centre c2.
func four() State {
	return State{Members: []Member{
		{ID: "a", Rack: "r1", Centre: "c1"},
		{ID: "b", Rack: "r1", Centre: "c1"},
		{ID: "c", Rack: "r2", Centre: "c2"},
		{ID: "d", Rack: "r3", Centre: "c2"},
	}}
}

func allLive(now time.Time) []row {
	return []row{
		{"a", "a1", backing.StateLive, 0},
		{"b", "b1", backing.StateLive, 0},
		{"c", "c1", backing.StateLive, 0},
		{"d", "d1", backing.StateLive, 0},
	}
}

func TestTakeCountsPlansAndLosses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		taken  []string
		rows   []row // replaces rows of allLive
		budget record.Budget
		ask    string
		kind   fault.Kind // Internal means that the take is allowed
		text   string
	}{
		{"room", nil, nil, record.Budget{Out: 1}, "a", fault.Internal, ""},
		{"no budget", nil, nil, record.Budget{}, "a", fault.Budget, "budget.out is 0"},
		{"no member", nil, nil, record.Budget{Out: 1}, "x", fault.Missing, "no member"},
		{"taken already", []string{"a"}, nil, record.Budget{Out: 2}, "a", fault.Conflict, "wave w"},
		{"planned", []string{"a"}, nil, record.Budget{Out: 1}, "c", fault.Budget, "a (wave w)"},
		{"rack", []string{"a"}, nil, record.Budget{Out: 2, Rack: 1}, "b", fault.Budget, "budget.rack is 1"},
		{"other rack", []string{"a"}, nil, record.Budget{Out: 2, Rack: 1}, "c", fault.Internal, ""},
		{"centre", []string{"c"}, nil, record.Budget{Out: 2, Centre: 1}, "d", fault.Budget, "budget.centre is 1"},
		{"gone counts", nil, []row{{"b", "b1", backing.StateGone, 0}}, record.Budget{Out: 1}, "c", fault.Budget, "b (gone)"},
		{"leaving counts", nil, []row{{"b", "b1", backing.StateLeaving, 0}}, record.Budget{Out: 1}, "c", fault.Budget, "b (leaving)"},
		{"old evidence counts", nil, []row{{"b", "b1", backing.StateLive, testLag + time.Second}}, record.Budget{Out: 1}, "c", fault.Budget, "b (not seen since"},
		{"loss in the rack counts", nil, []row{{"b", "b1", backing.StateGone, 0}}, record.Budget{Out: 2, Rack: 1}, "a", fault.Budget, "budget.rack is 1"},
		{"a lost one can't be taken", nil, []row{{"b", "b1", backing.StateGone, 0}}, record.Budget{Out: 2}, "b", fault.Conflict, "out without a plan"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := four()
			for _, id := range tc.taken {
				var err error
				s, _, err = s.Take(Ask{id, CauseWave, "w"}, record.Budget{Out: 9}, viewOf(start, allLive(start)...), start)
				require.NoError(t, err)
			}
			rows := append(allLive(start), tc.rows...) // the last row of an ID counts
			_, _, err := s.Take(Ask{tc.ask, CauseWave, "v"}, tc.budget, viewOf(start, rows...), start)
			if tc.kind == fault.Internal {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.kind.String(), fault.KindOf(err).String())
			require.ErrorContains(t, err, tc.text)
		})
	}
}

func TestMissingFromTheListIsOut(t *testing.T) {
	losses := Losses(four(), viewOf(start, allLive(start)[:3]...), start)
	require.Equal(t, []Loss{{"d", "not in the platform's list", true}}, losses)
	require.Len(t, Losses(four(), View{Lag: testLag}, start), 4)
}

func TestReturnNeedsNewerBootSeenWell(t *testing.T) {
	v := viewOf(start, allLive(start)...)
	taken, _, err := four().Take(Ask{"a", CauseWave, "w"}, record.Budget{Out: 1}, v, start)
	require.NoError(t, err)
	later := start.Add(time.Minute)
	for _, tc := range []struct {
		name string
		row  row
		by   string
		ok   bool
	}{
		{"same boot", row{"a", "a1", backing.StateLive, 0}, "w", false},
		{"still leaving", row{"a", "a2", backing.StateLeaving, 0}, "w", false},
		{"old evidence", row{"a", "a2", backing.StateLive, testLag + time.Second}, "w", false},
		{"older boot in a lagging list", row{"a", "a0", backing.StateLive, 2 * time.Minute}, "w", false},
		{"someone else's take", row{"a", "a2", backing.StateLive, 0}, "v", false},
		{"seen well", row{"a", "a2", backing.StateLive, 0}, "w", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, err := taken.Return("a", tc.by, viewOf(later, tc.row), later)
			require.Equal(t, tc.ok, err == nil, "%v", err)
			require.Len(t, s.Takes, map[bool]int{true: 0, false: 1}[tc.ok])
			if tc.ok {
				// A list from before the return must not turn the instance into a loss.
				stale := viewOf(later, row{"a", "a1", backing.StateLeaving, 3 * time.Second}, allLive(later)[1], allLive(later)[2], allLive(later)[3])
				require.Empty(t, Losses(s, stale, later))
			}
		})
	}
}

func TestCheckFindsBrokenStates(t *testing.T) {
	for _, s := range []State{
		{Members: []Member{{ID: "b"}, {ID: "a"}}},
		{Members: []Member{{ID: "a"}, {ID: "a"}}},
		{Takes: []Take{{Instance: "a"}}},
	} {
		require.True(t, fault.Is(s.Check(), fault.Breach))
	}
}
