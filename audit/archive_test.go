package audit

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

var seeds = flag.Int("seeds", 20, "seeds of each randomised run, from 1 on")

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// archives says how a run's daemons archive.
type archives func(ctx context.Context, t *Trail, before time.Time) error

func asBuilt(ctx context.Context, t *Trail, before time.Time) error {
	_, err := t.Archive(ctx, before)
	return err
}

// deletesFirst is the order that Archive must not have.
func deletesFirst(ctx context.Context, t *Trail, before time.Time) error {
	rows, err := t.table.Scan(ctx, Prefix, "", pageRows)
	if err != nil {
		return err
	}
	parts, err := t.split(rows, before)
	if err != nil {
		return err
	}
	for _, p := range parts {
		n, err := t.remove(ctx, p)
		if err != nil {
			return err
		}
		if n == 0 {
			continue
		}
		if err := t.store(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// nameOfFirst is the object name that a paused daemon would replace a fuller object under.
func nameOfFirst(s Subject, es []Entry) string {
	return fmt.Sprintf("%s%020d", SubjectPrefix(s), es[0].At.UnixNano())
}

// world runs daemons that write, archive and read; before any operation of one, another may run in whole.
type world struct {
	p       *standin.Platform
	rnd     *rand.Rand
	archive archives
	name    func(s Subject, es []Entry) string
	now     time.Time
	made    int
	sure    []Entry // written for sure
	maybe   map[string]bool
	depth   int
	moves   int
	fails   int
}

// hooked lets another daemon run before each operation.
type hooked struct {
	backing.Table
	backing.Objects

	w *world
}

func (h hooked) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	h.w.between()
	return h.Table.Scan(ctx, prefix, after, limit)
}

func (h hooked) Commit(ctx context.Context, tx backing.Tx) error {
	h.w.between()
	return h.Table.Commit(ctx, tx)
}

func (h hooked) Put(ctx context.Context, name string, data []byte) error {
	h.w.between()
	return h.Objects.Put(ctx, name, data)
}

func (h hooked) List(ctx context.Context, prefix string) ([]string, error) {
	h.w.between()
	return h.Objects.List(ctx, prefix)
}

func (w *world) trail() *Trail {
	h := hooked{w.p.Table, w.p.Objects, w}
	t := NewTrail(h, h, WithBatch(3), WithClock(func() time.Time { return w.now }), WithRate(1000, 1000))
	t.name = w.name
	return t
}

// between runs other daemons while one is in the middle of something.
func (w *world) between() {
	if w.depth > 2 || w.rnd.IntN(4) != 0 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	w.step()
}

func (w *world) step() {
	ctx := context.Background()
	switch w.rnd.IntN(3) {
	case 0:
		w.write(ctx)
	case 1:
		w.moves++
		if err := w.archive(ctx, w.trail(), w.now.Add(-time.Duration(w.rnd.IntN(5))*time.Second)); err != nil {
			w.fails++
		}
	case 2:
		w.now = w.now.Add(time.Duration(w.rnd.IntN(1500)) * time.Millisecond)
	}
}

func (w *world) write(ctx context.Context) {
	w.made++
	e := Entry{ID: fmt.Sprint("e", w.made), At: w.now, Actor: "op", Act: "take", Refused: "budget"}
	e.Subjects = []Subject{{"pool", "a"}}
	if w.rnd.IntN(3) == 0 {
		e.Subjects = append(e.Subjects, Subject{"instance", fmt.Sprint("r", w.rnd.IntN(2))})
	}
	err := w.trail().Refuse(ctx, e)
	if err != nil {
		w.maybe[e.ID] = true
		return
	}
	w.sure = append(w.sure, e)
}

// missing returns how many entries written for sure a read of their subject doesn't return, and
// fails where the read has duplicates, strangers or another order than that of time.
func (w *world) missing(t *testing.T, tr *Trail, read reads) int {
	t.Helper()
	lost := 0
	for _, s := range []Subject{{"pool", "a"}, {"instance", "r0"}, {"instance", "r1"}} {
		want := map[string]bool{}
		for _, e := range w.sure {
			for _, es := range e.Subjects {
				if es == s {
					want[e.ID] = true
				}
			}
		}
		got, err := read(t.Context(), tr, s)
		if err != nil {
			require.True(t, fault.Is(err, fault.StoreDown), "%v", err)
			continue
		}
		seen := map[string]bool{}
		for i, e := range got {
			require.False(t, seen[e.ID], "entry %s twice", e.ID)
			seen[e.ID] = true
			require.Contains(t, e.Subjects, s)
			if i > 0 {
				require.False(t, e.At.Before(got[i-1].At))
			}
		}
		for id := range want {
			if !seen[id] {
				lost++
			}
		}
	}
	return lost
}

// TestArchiveLosesNothing first shows the losses of the orders and names that Archive must not have.
func TestArchiveLosesNothing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		archive archives
		object  func(s Subject, es []Entry) string
		loses   bool
	}{
		{"rows deleted before the object is stored", deletesFirst, objectName, true},
		{"object named after its first entry", asBuilt, nameOfFirst, true},
		{"as built", asBuilt, objectName, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var lost, made, moves, fails int
			for seed := range uint64(*seeds) {
				w := &world{
					p: standin.New(standin.WithSeed(seed + 1)), rnd: rand.New(rand.NewPCG(seed+1, 5)),
					archive: tc.archive, name: tc.object, now: began, maybe: map[string]bool{},
				}
				w.p.SetFaults(standin.Faults{Odds: standin.Odds{Down: 0.05, Lose: 0.1}})
				for range 80 {
					w.step()
				}
				w.p.SetFaults(standin.Faults{})
				n := w.missing(t, w.quiet(), tableFirst)
				if !tc.loses {
					require.Zero(t, n, "seed %d", seed+1)
				}
				lost, made, moves, fails = lost+n, made+w.made, moves+w.moves, fails+w.fails
			}
			t.Logf("seeds 1..%d: %d entries, %d archive passes, %d of them failed: %d entries lost", *seeds, made, moves, fails, lost)
			require.Equal(t, tc.loses, lost > 0)
		})
	}
}

// quiet returns a trail that nobody comes between.
func (w *world) quiet() *Trail {
	return NewTrail(w.p.Table, w.p.Objects)
}

// TestReadWhileArchiving reads while others write and archive between its own operations.
func TestReadWhileArchiving(t *testing.T) {
	for _, tc := range []struct {
		name   string
		read   reads
		misses bool
	}{
		{"objects read first", objectsFirst, true},
		{"as built", tableFirst, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			count, missed := 0, 0
			for seed := range uint64(*seeds) {
				w := &world{
					p: standin.New(), rnd: rand.New(rand.NewPCG(seed+1, 6)),
					archive: asBuilt, name: objectName, now: began, maybe: map[string]bool{},
				}
				for range 40 {
					w.step()
					count++
					n := w.missing(t, w.trail(), tc.read)
					if !tc.misses {
						require.Zero(t, n, "seed %d", seed+1)
					}
					missed += n
				}
			}
			t.Logf("seeds 1..%d: %d reads of three subjects each: %d entries missed", *seeds, count, missed)
			require.Equal(t, tc.misses, missed > 0)
		})
	}
}

// reads says how a run reads a subject.
type reads func(ctx context.Context, t *Trail, s Subject) ([]Entry, error)

func tableFirst(ctx context.Context, t *Trail, s Subject) ([]Entry, error) {
	return t.Read(ctx, s, time.Time{}, time.Time{})
}

// objectsFirst is the order that Read must not have.
func objectsFirst(ctx context.Context, t *Trail, s Subject) ([]Entry, error) {
	old, err := t.readObjects(ctx, s, time.Time{}, time.Time{})
	if err != nil {
		return nil, err
	}
	rows, err := t.readTable(ctx, s)
	if err != nil {
		return nil, err
	}
	return arrange(append(rows, old...), time.Time{}, time.Time{}), nil
}
