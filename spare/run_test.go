package spare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

// fleet drives a lender with random demands, losses and ends of moves.
type fleet struct {
	rng    *rand.Rand
	lender *Lender
	now    time.Time
	have   map[string]int
	moves  []Move
	moved  int
}

func pools() []string { return []string{"spare", "a", "b", "c"} }

func newFleet(seed uint64, opts ...Option) *fleet {
	return &fleet{
		rng:    rand.New(rand.NewPCG(seed, 0)),
		lender: New("spare", 4, opts...),
		now:    time.Unix(1, 0),
		have:   map[string]int{"spare": 8, "a": 10, "b": 10, "c": 10},
	}
}

func (f *fleet) apply(t *testing.T, ev Event) {
	effects, err := f.lender.Apply(ev, f.now)
	require.NoError(t, err)
	for _, e := range effects {
		m := e.(Move)
		f.moves = append(f.moves, m)
		f.moved++
		require.True(t, m.From == "spare" || m.To == "spare", "%+v", m)
	}
	leaving := 0
	for _, m := range f.moves {
		if m.From == "spare" {
			leaving++
		}
	}
	require.GreaterOrEqual(t, f.have["spare"]-leaving, 4, "the spare pool's floor")
}

func (f *fleet) step(t *testing.T) {
	f.now = f.now.Add(time.Duration(1+f.rng.IntN(5)) * time.Second)
	if len(f.moves) > 0 && f.rng.IntN(10) == 0 {
		m := f.moves[0]
		f.moves = f.moves[1:]
		f.have[m.From]--
		f.have[m.To]++
		f.apply(t, Moved{From: m.From, To: m.To})
		return
	}
	p := pools()[f.rng.IntN(4)]
	f.apply(t, Observe{Pool: p, Have: f.have[p], Out: f.rng.IntN(2), Limit: 2, Asked: 16 * f.rng.Float64()})
}

func TestMovesKeepFloorAndBudgets(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, WithSmooth(0), WithHold(0, 0))
		for range 5000 {
			f.step(t)
		}
		sum := 0
		for _, n := range f.have {
			sum += n
		}
		require.Equal(t, 38, sum, "seed %d", seed)
		require.Greater(t, f.moved, 20, "seed %d", seed)
	}
}

func TestHysteresisMovesLess(t *testing.T) {
	moved := func(opts ...Option) int {
		n := 0
		for seed := range uint64(5) {
			f := newFleet(seed, opts...)
			for range 2000 {
				f.step(t)
			}
			n += f.moved
		}
		return n
	}
	with := moved()
	without := moved(WithSmooth(0), WithLead(0), WithLoads(1, 1), WithHold(0, 0))
	require.Less(t, 5*with, without, fmt.Sprint(with, " with, ", without, " without"))
}

func TestUnknownMovesAreRefused(t *testing.T) {
	_, err := New("spare", 1).Apply(Moved{From: "spare", To: "a"}, time.Unix(1, 0))
	require.True(t, fault.Is(err, fault.Conflict))
}

func TestCheckFindsBrokenBounds(t *testing.T) {
	l := New("spare", 4)
	l.members["spare"] = &member{name: "spare", have: 4, limit: 3, going: 1}
	l.members["a"] = &member{name: "a", have: 4, limit: 3, coming: 1}
	require.True(t, fault.Is(l.check([]Effect{Move{From: "spare", To: "a"}}), fault.Breach), "floor")
	l.floor = 3
	require.NoError(t, l.check([]Effect{Move{From: "spare", To: "a"}}))
	l.members["a"].out = 3
	require.True(t, fault.Is(l.check([]Effect{Move{From: "spare", To: "a"}}), fault.Breach), "budget")
	l.members["a"].coming = 2
	require.True(t, fault.Is(l.check(nil), fault.Breach), "sums")
}

func TestNewHolderGoesOn(t *testing.T) {
	now := time.Unix(1, 0)
	l := New("spare", 4, WithSmooth(0), WithHold(0, 0))
	apply := func(ev Event) []Effect {
		effects, err := l.Apply(ev, now)
		require.NoError(t, err)
		now = now.Add(time.Second)
		return effects
	}
	_, err := l.Apply(Began{From: "spare", To: "a"}, now)
	require.True(t, fault.Is(err, fault.Conflict), "unknown pools")
	apply(Observe{Pool: "spare", Have: 6, Limit: 1, Asked: 1})
	require.Empty(t, apply(Observe{Pool: "a", Have: 12, Lent: 1, Limit: 1, Asked: 9}))
	require.Empty(t, apply(Began{From: "spare", To: "a"}))
	require.Equal(t, 2, l.Lent("a"))
	require.Empty(t, apply(Observe{Pool: "a", Have: 12, Limit: 1, Asked: 20}), "the move taken over uses up the budgets")
	require.Len(t, apply(Moved{From: "spare", To: "a"}), 1, "then the next may begin")
}
