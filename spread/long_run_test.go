package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// wish is a change that an operator asks a daemon for.
type wish struct {
	node  *node
	id    string
	draft record.Envelope
}

// wish draws a change: of an old schema or the new one, at any daemon.
func (w *world) wish(n *node, id string) wish {
	d := record.Envelope{Kind: record.KindPool, Name: fmt.Sprintf("pool-%d", w.rnd.IntN(8)), Schema: 1 + w.rnd.IntN(2)}
	d.Body = fmt.Appendf(nil, `{"budget":{"out":%d}}`, w.rnd.IntN(9))
	if d.Schema == 1 {
		d.Body = fmt.Appendf(nil, `{"out":%d}`, w.rnd.IntN(9))
	}
	return wish{node: n, id: id, draft: d}
}

// change asks for a change until it is known whether it was accepted.
func (w *world) change(wish wish) {
	c, err := wish.node.writer.Accept(context.Background(), journal.Proposal{
		ID:      wish.id,
		Digest:  journal.Digest([]byte(wish.id)),
		Actor:   "operator",
		Records: []record.Key{wish.draft.Key()},
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			old, _, err := rows.Envelope(wish.draft.Key())
			if err != nil {
				return journal.Decision{}, err
			}
			e, _, err := record.Accept(old, wish.draft)
			return journal.Decision{Edits: []record.Envelope{e}}, err
		},
	})
	if err != nil {
		if !slices.Contains([]fault.Kind{fault.StoreDown, fault.Overload, fault.Broken}, fault.KindOf(err)) {
			w.t.Errorf("%s: %v", wish.id, err)
		}
		return
	}
	wish.node.spread.Accepted(c)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, c)
}

// changeAtOnce has several operators ask different daemons at the same time.
func (w *world) changeAtOnce(round int) {
	var operators sync.WaitGroup
	for i := range 3 {
		one := w.wish(w.nodes[w.rnd.IntN(len(w.nodes))], fmt.Sprintf("change-%d-%d", round, i))
		operators.Go(func() { w.change(one) })
	}
	operators.Wait()
}

// disturb changes which parts reach each other and how the platform fails.
func (w *world) disturb() {
	w.mu.Lock()
	for a := range centreCount {
		w.offline[a] = w.rnd.IntN(3) == 0
		for b := range centreCount {
			cut := a != b && w.rnd.IntN(3) == 0
			w.cut[[2]int{a, b}], w.cut[[2]int{b, a}] = cut, cut
		}
	}
	w.mu.Unlock()
	w.plat.SetFaults(standin.Faults{Down: w.rnd.IntN(4) == 0, Lose: w.rnd.IntN(3)}, standin.ServiceTable)
	if w.rnd.IntN(2) == 0 {
		w.restart(w.rnd.IntN(len(w.nodes)))
	}
}

// restart replaces a daemon by one that knows nothing.
func (w *world) restart(i int) {
	old := w.nodes[i]
	old.stop()
	<-old.done
	fresh := w.start(i)
	w.mu.Lock()
	w.nodes[i] = fresh
	for _, n := range w.nodes {
		delete(n.known, old.id) // the session ended with it
	}
	w.mu.Unlock()
}

// heal ends all disturbances; everything accepted must then be in force everywhere in time.
func (w *world) heal() {
	w.mu.Lock()
	clear(w.cut)
	clear(w.offline)
	w.mu.Unlock()
	w.plat.SetFaults(standin.Faults{}, standin.ServiceTable)
	time.Sleep(inForce)
	rows, err := w.plat.Table.Scan(context.Background(), "journal/log/", "", 1<<20)
	require.NoError(w.t, err)
	seen := map[string]bool{}
	for _, row := range rows {
		var c journal.Change
		require.NoError(w.t, json.Unmarshal(row.Value, &c))
		require.False(w.t, seen[c.ID], "change %s was accepted twice", c.ID)
		seen[c.ID] = true
	}
	newest := int64(0)
	for _, c := range w.accepted {
		newest = max(newest, c.Seq)
	}
	for _, n := range w.nodes {
		require.GreaterOrEqual(w.t, n.state.Seq(), newest, "%s lacks an accepted change", n.id)
		require.Equal(w.t, w.nodes[0].state.Snapshot(), n.state.Snapshot(), "%s", n.id)
	}
	w.checkRecords()
}

// checkRecords compares what is in force with the table's newest records.
func (w *world) checkRecords() {
	rows, err := w.plat.Table.Scan(context.Background(), "record/", "", 1<<20)
	require.NoError(w.t, err)
	list := w.nodes[0].state.List("")
	require.Len(w.t, list, len(rows))
	for i, row := range rows {
		var e record.Envelope
		require.NoError(w.t, json.Unmarshal(row.Value, &e))
		require.Equal(w.t, e, list[i])
		require.NoError(w.t, record.Decode(e, &record.Pool{}), "readable in either schema")
		require.GreaterOrEqual(w.t, e.Schema, w.schemas[e.Name], "%s went back to an older schema", e.Name)
		w.schemas[e.Name] = e.Schema
	}
}

// together checks that daemons that reach each other have the same configuration in time, the
// platform notwithstanding, and that none has gone back.
func (w *world) together(before []int64) {
	for i, n := range w.nodes {
		require.GreaterOrEqual(w.t, n.state.Seq(), before[i], "%s went back", n.id)
		for _, o := range w.nodes {
			if o.centre == n.centre {
				require.Equal(w.t, n.state.Seq(), o.state.Seq(), "%s and %s of one data centre", n.id, o.id)
			}
		}
	}
}

func (w *world) run() {
	for round := range rounds {
		w.disturb()
		compaction := journal.Compaction{Table: w.plat.Table, Objects: w.plat.Objects, State: w.nodes[round%len(w.nodes)].state, Long: 20, Short: 10}
		for more := true; more; {
			more, _ = compaction.Step(context.Background()) // fails while the table does
		}
		w.changeAtOnce(round)
		// A daemon restarted just now has nothing yet; it catches up before it is held to anything.
		time.Sleep(inForce)
		before := make([]int64, len(w.nodes))
		for i, n := range w.nodes {
			before[i] = n.state.Seq()
		}
		time.Sleep(inForce)
		w.together(before)
		if round%10 == 9 {
			w.heal()
		}
	}
	for _, n := range w.nodes {
		n.stop()
		<-n.done
	}
}

func TestAcceptedChangesReachEveryDaemonAndNeverRevert(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			t.Logf("seed %d", seed)
			newWorld(t, seed, true).run()
		})
	}
}

func TestDaemonStartedWhileCutNeedsItsPeers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		peers bool
		want  int64
	}{
		{"without peers it has nothing", false, 0},
		{"with peers it has what they have", true, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, tc.peers)
				w.change(w.wish(w.nodes[0], "change-1"))
				time.Sleep(inForce)
				w.mu.Lock()
				w.offline[0] = true
				w.cut[[2]int{0, 1}], w.cut[[2]int{1, 0}] = true, true
				w.mu.Unlock()
				w.restart(0)
				time.Sleep(inForce)
				require.Equal(t, tc.want, w.nodes[0].state.Seq())
				for _, n := range w.nodes {
					n.stop()
					<-n.done
				}
			})
		})
	}
}
