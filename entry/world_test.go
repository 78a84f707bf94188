package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/claim"
	"gypsumlead/runner"
)

// world is several entries in front of several runners, all real servers over pipes.
type world struct {
	t        *testing.T
	platform *standin.Platform
	runners  []*standin.Runner
	doors    map[netip.AddrPort]door // of the runners
	fleets   []*runner.Fleet
	keepers  []*claim.Keeper
	entries  []*Entry
	servers  []*http.Server
	fronts   []door // of the entries
	served   sync.WaitGroup
}

// parts is what a baseline replaces.
type parts struct {
	upstreams func(w *world, e int, f *runner.Fleet) Upstreams // nil for the fleet itself
	table     func(e int) backing.Table                        // nil for one table of all entries
	tcp       bool                                             // over loopback, in real time
	slots     int                                              // of all entries together; 0 for no bound
	options   []Option                                         // of the entries
}

const (
	worldEntries = 3
	worldRunners = 4
)

// door is a listener that can be dialled: pipes, or a port of the loopback.
type door interface {
	net.Listener

	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

type port struct{ net.Listener }

func (p port) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", p.Addr().String())
}

func newDoor(t *testing.T, tcp bool, name string) door {
	if !tcp {
		return standin.NewPipes(netip.MustParseAddrPort(name))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return port{l}
}

// newWorld starts everything; stop must be called inside the bubble.
func newWorld(t *testing.T, seed uint64, p parts) *world {
	w := &world{t: t, doors: map[netip.AddrPort]door{}}
	for i := range worldRunners {
		d := newDoor(t, p.tcp, fmt.Sprintf("10.0.0.%d:80", i+1))
		addr := netip.MustParseAddrPort(d.Addr().String())
		w.doors[addr] = d
		id := fmt.Sprintf("u%d", i+1)
		w.runners = append(w.runners, standin.NewRunner(d,
			standin.WithInstance(backing.Instance{ID: id, Boot: "b1", Addr: addr, Centre: "c1"}),
			standin.WithRunnerSeed(seed+uint64(i))))
	}
	if p.slots > 0 {
		p.options = append(p.options, WithGate(make(slots, p.slots)))
	}
	w.platform = standin.New(standin.WithSeed(seed))
	for e := range worldEntries {
		w.addEntry(e, seed, w.platform.Table, p)
	}
	w.update()
	return w
}

func (w *world) addEntry(e int, seed uint64, shared backing.Table, p parts) {
	fleet := runner.NewFleet(runner.WithZone("c1", "r1"), runner.WithSeed(seed+uint64(e)),
		runner.WithDial(w.dial), runner.WithBreach(w.breach))
	table := shared
	if p.table != nil {
		table = p.table(e)
	}
	keeper := claim.NewKeeper(table, claim.WithEntry(fmt.Sprint("e", e)), claim.WithBreach(w.breach))
	var ups Upstreams = fleet
	if p.upstreams != nil {
		ups = p.upstreams(w, e, fleet)
	}
	entry := New(oneService{}, ups, append([]Option{WithClaims(keeper), WithBreach(w.breach)}, p.options...)...)
	srv := NewServer(entry)
	front := newDoor(w.t, p.tcp, fmt.Sprintf("10.0.1.%d:80", e+1))
	w.served.Go(func() { _ = srv.Serve(front) })
	w.fleets = append(w.fleets, fleet)
	w.keepers = append(w.keepers, keeper)
	w.entries = append(w.entries, entry)
	w.servers = append(w.servers, srv)
	w.fronts = append(w.fronts, front)
}

func (w *world) breach(err error) { w.t.Error(err) }

func (w *world) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return w.doors[addr].Dial(ctx, "tcp", addr.String())
}

// update gives every fleet the runners as they are now.
func (w *world) update() {
	var targets []runner.Target
	for _, r := range w.runners {
		targets = append(targets, runner.Target{Pool: "p", Instance: r.Instance()})
	}
	for _, f := range w.fleets {
		f.Update(targets)
	}
}

// seen returns how often each request reached any runner.
func (w *world) seen() map[string]int {
	out := map[string]int{}
	for _, r := range w.runners {
		for _, run := range r.Account().Runs {
			out[run.ID] += run.Seen
		}
	}
	return out
}

func (w *world) stop() {
	for i := range w.servers {
		_ = w.servers[i].Close()
		w.keepers[i].Close()
		w.fleets[i].Close()
	}
	w.served.Wait()
	for _, r := range w.runners {
		r.Close()
	}
}

// client returns a caller's client of one entry, which opens a connection a request.
func (w *world) client(e int) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: w.fronts[e].Dial, DisableKeepAlives: true}}
}

// chaos does one random harm to the runners until ctx ends, every now and then.
func (w *world) chaos(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r := w.runners[rng.IntN(len(w.runners))]
		switch rng.IntN(6) {
		case 0:
			r.Silence()
		case 1:
			r.Reboot(fmt.Sprint("b", rng.IntN(1000)+2))
			w.update()
		case 2:
			r.SetFaults(standin.RunnerFaults{Off: rng.IntN(2) == 0, Silent: rng.IntN(4) == 0})
		case 3:
			r.SetFaults(standin.RunnerFaults{Mishaps: standin.Mishaps(), Odds: 0.4, Chunked: rng.IntN(2) == 0})
		case 4:
			w.platform.SetFaults(tableFaults(rng), standin.ServiceTable)
		case 5:
			w.blackout(time.Duration(rng.IntN(3000)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
}

// tableFaults returns a table that is well, unreliable, slow, or gone.
func tableFaults(rng *rand.Rand) standin.Faults {
	switch rng.IntN(4) {
	case 0:
		return standin.Faults{Odds: standin.Odds{Down: 0.1, Lose: 0.2, Slow: 0.1, Most: 3 * time.Second}}
	case 1:
		return standin.Faults{Slow: 400 * time.Millisecond}
	case 2:
		return standin.Faults{Freeze: rng.IntN(2) == 0, Down: rng.IntN(2) == 0}
	}
	return standin.Faults{}
}

// blackout makes all runners refuse connections for a while.
func (w *world) blackout(d time.Duration) {
	for _, r := range w.runners {
		r.SetFaults(standin.RunnerFaults{Off: true})
		r.Silence()
	}
	time.Sleep(d)
	for _, r := range w.runners {
		r.SetFaults(standin.RunnerFaults{})
	}
}
