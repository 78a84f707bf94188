package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
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
	schemas  map[string]int // newest seen of each record
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
		schemas: map[string]int{},
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
	backing.Table
	n *node
}

func (r *reached) check() error {
	if r.n.w.isOffline(r.n.centre) {
		return fault.New(fault.StoreDown, "cut off")
	}
	return nil
}

func (r *reached) Read(ctx context.Context, keys ...string) ([]backing.Row, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return r.Table.Read(ctx, keys...)
}

func (r *reached) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return r.Table.Scan(ctx, prefix, after, limit)
}

func (r *reached) Commit(ctx context.Context, tx backing.Tx) error {
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
