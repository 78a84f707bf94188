package app

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/settings"
)

const patience = time.Minute

// bench is one daemon over a stand-in of the platform in the same process.
type bench struct {
	t        *testing.T
	platform *standin.Platform
	app      *App
}

func newBench(t *testing.T, change func(*settings.Settings)) *bench {
	b := &bench{t: t, platform: standin.New()}
	b.app = b.addEntry("entry-1", change)
	return b
}

// addEntry starts a daemon and makes it known to the platform.
func (b *bench) addEntry(id string, change func(*settings.Settings)) *App {
	t, p := b.t, b.platform
	open := netip.MustParseAddrPort("127.0.0.1:0")
	set := settings.Defaults()
	set.Instance, set.Region, set.Centre = id, "r", "c"
	set.Platform = netip.MustParseAddrPort("127.0.0.1:1")
	set.Listen = settings.Listen{Callers: open, Operators: open, Peers: open}
	set.Sync.List = 20 * time.Millisecond
	set.Stop.Wait = 0
	change(&set)
	a, err := New(set, Platform{Table: p.Table, Objects: p.Objects, Instances: p.Instances, Workers: p.Workers, Roster: p.Roster}, zap.NewNop())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	p.PutInstance(backing.Instance{ID: id, Role: backing.RoleEntry, Addr: a.Addrs().Callers, Peer: a.Addrs().Peers, Region: "r", Centre: "c"})
	return a
}

// put writes a record as an operator would.
func (b *bench) put(name string, r record.Record) {
	b.t.Helper()
	key := record.Key{Kind: r.Kind(), Name: name}
	b.accept(journal.Proposal{ID: "put-" + key.String(), Records: []record.Key{key}, Decide: func(rows journal.Rows) (journal.Decision, error) {
		e, err := journal.EditOn(rows, key, 0, r)
		return journal.Decision{Edits: []record.Envelope{e}}, err
	}})
}

func (b *bench) accept(p journal.Proposal) {
	b.t.Helper()
	c, err := b.app.writer.Accept(b.t.Context(), p)
	require.NoError(b.t, err)
	b.app.spread.Accepted(c)
}

// addRunner starts a runner and puts it into a pool.
func (b *bench) addRunner(id, in string) {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	r := standin.NewRunner(l, standin.WithInstance(backing.Instance{ID: id, Region: "r", Centre: "c", Rack: id}),
		standin.WithRun(20*time.Millisecond), standin.WithBeat(b.platform.Beat, 50*time.Millisecond))
	b.t.Cleanup(r.Close)
	b.accept(pool.ProposeAssign(pool.Request{ID: "assign-" + id}, in, r.Instance()))
}

func (b *bench) members(name string) int {
	return len(b.app.membersOf(name))
}
