package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
	"gypsumlead/platform"
	"gypsumlead/platform/standin"
	"gypsumlead/record"
)

const (
	centreCount = 3
	perCentre   = 2
	inForce     = 4 * time.Second // the target
	rounds      = 40
)

// world is daemons, the platform, and which of them reach each other.
type world struct {
	t     *testing.T
	rnd   *rand.Rand
	plat  *standin.Platform
	peers bool // daemons talk to each other

	mu       sync.Mutex
	nodes    []*node
	cut      map[[2]int]bool // data centres that don't reach each other
	offline  map[int]bool    // data centres that don't reach the platform
	accepted []journal.Change
}

// node is one daemon's configuration.
type node struct {
	w      *world
	id     string
	centre int
	state  *journal.State
	writer *journal.Writer
	spread *Spreader
	stop   context.CancelFunc
	done   chan struct{}
	known  map[string]int64
}

func newWorld(t *testing.T, seed uint64, peers bool) *world {
	w := &world{
		t:       t,
		rnd:     rand.New(rand.NewPCG(seed, 0)),
		plat:    standin.New(standin.WithSeed(seed)),
		peers:   peers,
		cut:     map[[2]int]bool{},
		offline: map[int]bool{},
	}
	for i := range centreCount * perCentre {
		n := w.start(i)
		w.mu.Lock()
		w.nodes = append(w.nodes, n)
		w.mu.Unlock()
	}
	return w
}

func (w *world) start(i int) *node {
	n := &node{w: w, id: fmt.Sprintf("entry-%d", i), centre: i % centreCount, done: make(chan struct{}), known: map[string]int64{}}
	n.state = journal.NewState(func(c journal.Change) { n.spread.Applied(c) })
	table := &reached{w.plat.Table, n}
	n.writer = journal.NewWriter(table)
	n.spread = New(n.state, journal.NewReader(table, w.plat.Objects), n, time.Second, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.spread.Run(ctx) })
	wg.Go(func() { n.pingAll(ctx) })
	go func() {
		wg.Wait()
		close(n.done)
	}()
	return n
}

// reached is the table as one daemon reaches it.
type reached struct {
	platform.Table
	n *node
}

func (r *reached) check() error {
	if r.n.w.isOffline(r.n.centre) {
		return fault.New(fault.StoreDown, "cut off")
	}
	return nil
}

func (r *reached) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return r.Table.Read(ctx, keys...)
}

func (r *reached) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return r.Table.Scan(ctx, prefix, after, limit)
}

func (r *reached) Commit(ctx context.Context, tx platform.Tx) error {
	if err := r.check(); err != nil {
		return err
	}
	return r.Table.Commit(ctx, tx)
}

func (w *world) isOffline(centre int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offline[centre]
}

// other returns a daemon if from reaches it.
func (w *world) other(from *node, id string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.id == id && w.peers && !w.cut[[2]int{from.centre, n.centre}] {
			return n
		}
	}
	return nil
}

// Call is the fake mesh: the other daemon answers at once, or can't be reached.
func (n *node) Call(_ context.Context, id string, req *wire.Request) (*wire.Response, error) {
	o := n.w.other(n, id)
	if o == nil {
		return nil, fault.New(fault.NoUpstream, "no session")
	}
	switch b := req.GetBody().(type) {
	case *wire.Request_Push:
		ack, err := o.spread.Push(n.id, b.Push)
		return &wire.Response{Body: &wire.Response_Ack{Ack: ack}}, err
	case *wire.Request_Pull:
		pulled, err := o.spread.Pull(b.Pull)
		return &wire.Response{Body: &wire.Response_Pulled{Pulled: pulled}}, err
	}
	return nil, fault.New(fault.Invalid, "unexpected request")
}

func (n *node) Behind(seq int64) []peer.Lag {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var out []peer.Lag
	for _, o := range n.w.nodes {
		if o.id != n.id && n.known[o.id] < seq {
			out = append(out, peer.Lag{Identity: peer.Identity{Instance: o.id}, Seq: n.known[o.id]})
		}
	}
	return out
}

func (n *node) Learn(id string, seq int64) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.known[id] = max(n.known[id], seq)
}

// pingAll tells every daemon in reach how far this one is, once a second.
func (n *node) pingAll(ctx context.Context) {
	for ctx.Err() == nil {
		n.w.mu.Lock()
		all := append([]*node(nil), n.w.nodes...)
		n.w.mu.Unlock()
		for _, o := range all {
			if o.id != n.id && n.w.other(n, o.id) != nil {
				o.spread.Saw(n.id, n.state.Seq())
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// change asks for a change until it is known whether it was accepted.
func (w *world) change(n *node, id string) {
	key := record.Key{Kind: record.KindPool, Name: fmt.Sprintf("pool-%d", w.rnd.IntN(8))}
	budget := w.rnd.IntN(9)
	c, err := n.writer.Accept(context.Background(), journal.Proposal{
		ID:      id,
		Digest:  journal.Digest([]byte(id)),
		Actor:   "operator",
		Records: []record.Key{key},
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			old, _, err := rows.Envelope(key)
			if err != nil {
				return journal.Decision{}, err
			}
			e, err := record.Rewrite(old, key.Name, &record.Pool{Budget: record.Budget{Out: budget}})
			return journal.Decision{Edits: []record.Envelope{e}}, err
		},
	})
	if err != nil {
		require.Contains(w.t, []fault.Kind{fault.StoreDown, fault.Overload, fault.Broken}, fault.KindOf(err), "%v", err)
		return
	}
	n.spread.Accepted(c)
	w.accepted = append(w.accepted, c)
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
	newest := w.accepted[len(w.accepted)-1].Seq
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
		for i := range 3 {
			w.change(w.nodes[w.rnd.IntN(len(w.nodes))], fmt.Sprintf("change-%d-%d", round, i))
		}
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
				w.change(w.nodes[0], "change-1")
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
