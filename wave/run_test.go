package wave

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/pool"
	"gypsumlead/record"
)

const (
	offSeeds  = 4                // tried until one breaks a promise
	runStorm  = 15 * time.Minute // with faults
	runCalm   = 3000             // seconds in which all has to end afterwards
	runFaults = 0.04             // odds of a fault at one call
)

var seeds = flag.Uint64("seeds", 2, "how many seeds the storms run with")

// storm is what happens to the world by chance in one second.
func (w *world) storm() {
	switch r := w.rnd.IntN(1000); {
	case r < 6:
		w.down = !w.down
	case r < 14:
		w.entries[w.rnd.IntN(3)].silent = w.rnd.IntN(2) == 0
	case r < 16:
		w.killRack(fmt.Sprint("r", w.rnd.IntN(6)))
	case r < 18:
		w.kill(fmt.Sprintf("i%02d", w.rnd.IntN(24)))
	case r < 24:
		w.revive()
	case r < 27:
		w.p.SetLag(time.Duration(w.rnd.IntN(12)) * time.Second)
	case r < 60:
		w.move()
	case r < 80:
		w.steer()
	}
}

func (w *world) kill(id string) { require.NoError(w.t, w.p.Kill(id)) }

func (w *world) killRack(rack string) {
	for _, in := range w.view().List() {
		if in.Rack == rack && in.Role == backing.RoleRunner {
			w.kill(in.ID)
		}
	}
}

// revive brings every dead instance back under a new boot; the list tells by its age.
func (w *world) revive() {
	for _, in := range w.view().List() {
		if w.now.Sub(in.Seen) > worldLag+13*time.Second && in.Role == backing.RoleRunner {
			_, err := w.p.Revive(in.ID)
			require.NoError(w.t, err)
		}
	}
}

// move is an operator's move of a random instance.
func (w *world) move() {
	if w.down {
		return
	}
	w.changes++
	i := w.rnd.IntN(2)
	_ = w.accept(pool.ProposeMove(
		pool.Request{ID: fmt.Sprint("move-", w.changes), Actor: "op", View: w.view()},
		pool.Transfer{Instance: fmt.Sprintf("i%02d", w.rnd.IntN(24)), From: w.pools[i], To: w.pools[1-i]},
	)) // most are refused: the instance is taken, or in the other pool
}

// steer is an operator who pauses waves, lets them go on, and resumes what stopped itself.
func (w *world) steer() {
	for _, name := range slices.Sorted(maps.Keys(w.waves)) {
		rec := w.waves[name]
		if !w.down && w.rnd.IntN(2) == 0 {
			rec.Paused = w.rnd.IntN(4) == 0
			rec.Resumed++
			w.put(name, rec)
		}
	}
}

// calm ends all faults and lets the operators resume and revive until every wave is over.
func (w *world) calm() {
	w.chaos, w.down = 0, false
	w.p.SetLag(worldLag)
	for _, e := range w.entries {
		e.silent = false
	}
	for i := range runCalm {
		if i%60 == 0 {
			w.revive()
			for _, name := range slices.Sorted(maps.Keys(w.waves)) {
				rec := w.waves[name]
				rec.Paused = false
				rec.Resumed++
				w.put(name, rec)
			}
		}
		w.tick()
		if i%60 == 59 && w.over() {
			return
		}
	}
}

// over tells whether every wave has ended in every pool.
func (w *world) over() bool {
	for name := range w.waves {
		s, err := ReadStatus(context.Background(), w.p.Table, name)
		require.NoError(w.t, err)
		if len(s.Parts) != len(w.pools) {
			return false
		}
		for _, p := range s.Parts {
			if p.Ended.IsZero() {
				return false
			}
		}
	}
	return true
}

// run drives two overlapping waves through a storm and lets them end.
func run(t *testing.T, seed uint64) *world {
	w := weather(t, seed, "")
	w.calm()
	return w
}

// weather drives two overlapping waves through a storm, with a mechanism switched off.
func weather(t *testing.T, seed uint64, off string) *world {
	w := newWorld(t, seed, off)
	w.startWave("w1", record.Wave{Pools: []string{"a", "b"}})
	w.chaos = runFaults
	for end := w.now.Add(runStorm); w.now.Before(end); {
		if len(w.waves) == 1 && end.Sub(w.now) < runStorm-time.Minute {
			w.down = false
			w.startWave("w2", record.Wave{Racks: []string{"r0", "r1", "r2"}, Pace: 2})
		}
		w.tick()
		w.storm()
		if off != "" && len(w.breaches) > 0 {
			break // shown
		}
	}
	return w
}

func TestWavesThroughStorms(t *testing.T) {
	t.Parallel()
	kills, pauses, lost := 0, 0, 0
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			w := run(t, seed)
			require.Empty(t, w.breaches, w.first)
			kills, pauses, lost = kills+w.kills, pauses+w.pauses, lost+w.lost
			for name := range w.waves {
				s, err := ReadStatus(context.Background(), w.p.Table, name)
				require.NoError(t, err)
				require.True(t, w.over(), "wave %s: %+v", name, s)
				for _, p := range s.Parts {
					for _, it := range p.Items {
						require.True(t, it.State.IsFinal())
						require.False(t, it.State == Dropped && it.Why == "")
					}
				}
				t.Logf("wave %s: %v", name, s.Count)
			}
			t.Logf("reboots %d, kills %d, pauses %d, answers lost %d", w.reboots, w.kills, w.pauses, w.lost)
		})
	}
	require.NotZero(t, kills)
	require.NotZero(t, pauses)
	require.NotZero(t, lost)
}

func TestStormsFindWhatIsSwitchedOff(t *testing.T) {
	t.Parallel()
	for off, promise := range map[string]string{"row": "budget", "boot": "service", "silent": "cut"} {
		t.Run(off, func(t *testing.T) {
			for seed := range uint64(offSeeds) {
				w := weather(t, seed, off)
				t.Logf("seed %d: %v", seed, w.breaches)
				if w.breaches[promise] > 0 {
					return
				}
			}
			t.Fatalf("no run broke the promise %q", promise)
		})
	}
}
