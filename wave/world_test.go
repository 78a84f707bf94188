package wave

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
)

const (
	worldLag  = 4 * time.Second  // of the platform's list
	worldBoot = 20 * time.Second // of a reboot
	proofLag  = 15 * time.Second // age at which evidence proves nothing
	leaseLife = 10 * time.Second
	leaseEdge = 2 * time.Second // a holder stops this long before its lease ends
)

// world is a fleet with daemons on virtual time, in one goroutine. Daemons are cut off, paused
// and replaced at any call that they make to the outside.
type world struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	p       *standin.Platform
	off     string // mechanism that is switched off
	pools   []string
	entries []*entry
	daemons []*daemon
	waves   map[string]*record.Wave
	drains  []drained
	busy    map[string]int // instance and boot to the requests in progress, over all entries
	budget  record.Budget
	chaos   float64 // odds of a fault at one call
	down    bool    // the table answers nobody
	changes int

	calls     int // made by daemons
	killAt    int // call at which the daemon is cut off; zero for none
	killAfter bool
	late      int // seconds by which the next request to reboot is late

	breaches map[string]int // what broke, by name
	reboots  int
	kills    int
	pauses   int
	lost     int
	first    string
}

// drained is one accepted drain.
type drained struct {
	seq            int64
	instance, boot string
	at             time.Time
}

func newWorld(t *testing.T, seed uint64, off string) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, off: off,
		pools: []string{"a", "b"}, waves: map[string]*record.Wave{}, busy: map[string]int{},
		budget: record.Budget{Out: 3, Rack: 2, Centre: 2}, breaches: map[string]int{},
	}
	w.p = standin.New(standin.WithClock(w.clock, w.sleep), standin.WithLag(worldLag), standin.WithBootTime(worldBoot), standin.WithSeed(seed))
	for i := range 3 {
		e := &entry{id: fmt.Sprintf("e%d", i), behind: time.Duration(1+i) * time.Second}
		w.entries = append(w.entries, e)
		w.p.PutInstance(backing.Instance{ID: e.id, Role: backing.RoleEntry, Centre: fmt.Sprint("c", i)})
	}
	for i := range 24 {
		w.p.PutInstance(backing.Instance{ID: fmt.Sprintf("i%02d", i), Role: backing.RoleRunner, Rack: fmt.Sprint("r", i/4), Centre: fmt.Sprint("c", i/8)})
	}
	w.now = w.now.Add(worldLag + time.Second)
	for _, name := range w.pools {
		w.put(name, &record.Pool{Budget: w.budget})
	}
	v := w.view()
	for i := range 24 {
		in, _ := v.Find(fmt.Sprintf("i%02d", i))
		w.accept(pool.ProposeAssign(pool.Request{ID: "assign-" + in.ID, View: v}, w.pools[i%2], in))
	}
	for i := range 3 {
		d := &daemon{w: w, id: fmt.Sprint("d", i)}
		d.boot()
		w.daemons = append(w.daemons, d)
	}
	return w
}

func (w *world) clock() time.Time { return w.now }

func (w *world) sleep(_ context.Context, d time.Duration) error {
	w.now = w.now.Add(d)
	return nil
}

func (w *world) view() pool.View {
	list, err := w.p.Instances.List(context.Background())
	require.NoError(w.t, err)
	return pool.NewView(list, w.now, proofLag)
}

// accept is an operator's change over a daemon that has no faults of its own.
func (w *world) accept(p journal.Proposal) error {
	wr := journal.NewWriter(&gate{w: w}, journal.WithClock(w.clock, w.sleep))
	_, err := wr.Accept(context.Background(), p)
	w.check("operator", err)
	return err
}

// put writes an operator's record.
func (w *world) put(name string, r record.Record) {
	w.changes++
	err := w.accept(journal.Proposal{ID: fmt.Sprint("put-", w.changes), Decide: func(rows journal.Rows) (journal.Decision, error) {
		old, _, err := rows.Envelope(record.Key{Kind: r.Kind(), Name: name})
		if err != nil {
			return journal.Decision{}, err
		}
		e, err := record.Rewrite(old, name, r)
		return journal.Decision{Edits: []record.Envelope{e}}, err
	}, Records: []record.Key{{Kind: r.Kind(), Name: name}}})
	require.NoError(w.t, err)
}

func (w *world) startWave(name string, rec record.Wave) {
	w.waves[name] = &rec
	w.put(name, &rec)
}

// breach counts something that must never happen.
func (w *world) breach(what, format string, args ...any) {
	w.breaches[what]++
	if w.first == "" {
		w.first = what + ": " + fmt.Sprintf(format, args...)
	}
}

// check counts invariants that the program itself found broken.
func (w *world) check(who string, err error) {
	if fault.Is(err, fault.Breach) {
		w.breach("program", "%s: %v", who, err)
	}
}

// tick lets a second go by: requests, then each daemon in a random order.
func (w *world) tick() {
	w.now = w.now.Add(time.Second)
	w.serve()
	for _, i := range w.rnd.Perm(len(w.daemons)) {
		w.daemons[i].tick()
	}
}

// beforeReboot holds a reboot that is about to take effect against the promise.
func (w *world) beforeReboot(r backing.Reboot) {
	in, err := w.p.Instance(r.Instance)
	if err != nil || in.Boot != r.Boot {
		return
	}
	w.reboots++
	for _, e := range w.entries {
		if _, ok := w.drainedFor(e, in.ID, in.Boot); !ok {
			w.breach("service", "%s: instance %s boot %s is rebooted while entry %s sends to it", w.now, in.ID, in.Boot, e.id)
		}
	}
	if n := w.busy[in.ID+in.Boot]; n > 0 {
		w.breach("cut", "%s: instance %s boot %s is rebooted with %d requests in progress", w.now, in.ID, in.Boot, n)
	}
}

func (w *world) load(key string, v any) bool {
	rows, err := w.p.Table.Read(context.Background(), key)
	require.NoError(w.t, err)
	if rows[0].Version > 0 {
		require.NoError(w.t, json.Unmarshal(rows[0].Value, v))
	}
	return rows[0].Version > 0
}

// committed holds the rows after a commit against the promises, by counts of its own.
func (w *world) committed(tx backing.Tx) {
	pools := false
	for _, op := range tx.Ops {
		key := backing.KeyOf(op)
		pools = pools || strings.HasPrefix(key, "pool/") || strings.HasPrefix(key, "record/")
		if p, ok := op.(backing.Put); ok && strings.HasPrefix(p.Key, "record/drain/") {
			var e record.Envelope
			var d record.Drain
			require.NoError(w.t, json.Unmarshal(p.Value, &e))
			require.NoError(w.t, record.Decode(e, &d))
			w.drains = append(w.drains, drained{e.Version, e.Name, d.Boot, w.now})
		}
	}
	if !pools {
		return
	}
	in := map[string]string{}
	for _, name := range w.pools {
		var s pool.State
		w.load(pool.Key(name), &s)
		w.check("row", s.Check())
		for _, m := range s.Members {
			if in[m.ID] != "" {
				w.breach("pools", "instance %s is in pools %s and %s", m.ID, in[m.ID], name)
			}
			in[m.ID] = name
		}
		w.countOut(name, s)
	}
	for id, name := range in {
		var e record.Envelope
		var m record.Member
		w.load("record/member/"+id, &e)
		if e.Gone || record.Decode(e, &m) != nil || m.Pool != name {
			w.breach("pools", "instance %s is in row %s and record %s", id, name, m.Pool)
		}
	}
}

// countOut counts the members whose present boot is drained, whatever the takes in the row say.
func (w *world) countOut(name string, s pool.State) {
	out, rack := 0, map[string]int{}
	for _, m := range s.Members {
		in, err := w.p.Instance(m.ID)
		require.NoError(w.t, err)
		for _, d := range w.drains {
			if d.instance == m.ID && d.boot == in.Boot {
				out++
				rack[m.Rack]++
				break
			}
		}
		if rack[m.Rack] > w.budget.Rack {
			w.breach("budget", "%s: pool %s has %d drained in rack %s", w.now, name, rack[m.Rack], m.Rack)
		}
	}
	if out > w.budget.Out {
		w.breach("budget", "%s: pool %s has %d drained", w.now, name, out)
	}
}
