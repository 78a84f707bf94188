package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

const (
	raceMembers = 24
	raceBudget  = 3
	raceFloor   = 6
	raceSteps   = 200
	raceSeeds   = 6
)

// race is several operators at the same two pools. Between an operator's reading and its commit
// another one may act, as deep as the dice go.
type race struct {
	*standin.Table
	rnd    *rand.Rand
	depth  int
	blind  bool // mechanism off: the pools' rows are written without their condition
	now    time.Time
	n      int
	over   int                               // instants with more planned takes decided than the budget
	out    map[audit.Subject]map[string]bool // pool to the instances whose takes were decided
	double int                               // instants with an instance in no pool, in two, or in another than its record says
	done   int
	kinds  map[string]int
}

const raceDepth = 3

// Commit lets other operators go first, may lose its answer, and then looks at the rows.
func (r *race) Commit(ctx context.Context, tx backing.Tx) error {
	for r.depth < raceDepth && r.rnd.IntN(3) == 0 {
		r.depth++
		r.act(ctx)
		r.depth--
	}
	if r.blind {
		tx = r.unconditional(ctx, tx)
	}
	err := r.Table.Commit(ctx, tx)
	if err == nil {
		r.follow(tx)
	}
	r.inspect(ctx)
	if err == nil && r.rnd.IntN(10) == 0 {
		return fault.New(fault.StoreDown, "answer lost")
	}
	return err
}

// follow keeps account of the takes by the audit entries of what was committed, apart from the rows.
func (r *race) follow(tx backing.Tx) {
	for _, op := range tx.Ops {
		p, ok := op.(backing.Put)
		if !ok || !strings.HasPrefix(p.Key, audit.Prefix+"instance/") {
			continue
		}
		var e audit.Entry
		_ = json.Unmarshal(p.Value, &e)
		in := r.out[e.Subjects[1]]
		if in == nil {
			in = map[string]bool{}
			r.out[e.Subjects[1]] = in
		}
		switch e.Act {
		case "take":
			in[e.Subjects[0].Name] = true
		case "return":
			delete(in, e.Subjects[0].Name)
		}
		if len(in) > raceBudget {
			r.over++
		}
	}
}

func (r *race) unconditional(ctx context.Context, tx backing.Tx) backing.Tx {
	var out backing.Tx
	for _, op := range tx.Ops {
		if p, ok := op.(backing.Put); ok {
			rows, _ := r.Read(ctx, p.Key)
			p.IfVersion = rows[0].Version
			op = p
		}
		out.Ops = append(out.Ops, op)
	}
	return out
}

func (r *race) load(ctx context.Context, key string, v any) {
	rows, _ := r.Read(ctx, key)
	if rows[0].Version > 0 {
		_ = json.Unmarshal(rows[0].Value, v)
	}
}

// inspect holds the rows against the promises.
func (r *race) inspect(ctx context.Context) {
	in := map[string][]string{}
	for _, p := range []string{"a", "b"} {
		var s State
		r.load(ctx, Key(p), &s)
		if len(s.Takes) > raceBudget || s.Check() != nil {
			r.over++ // the row itself is wrong
		}
		for _, m := range s.Members {
			in[m.ID] = append(in[m.ID], p)
		}
	}
	rows, _ := r.Scan(ctx, "record/member/", "", 100)
	for _, row := range rows {
		var e record.Envelope
		var m record.Member
		_ = json.Unmarshal(row.Value, &e)
		_ = record.Decode(e, &m)
		if len(in[e.Name]) != 1 || in[e.Name][0] != m.Pool {
			r.double++
		}
	}
}

// act is one decision of a random operator.
func (r *race) act(ctx context.Context) {
	r.n++
	id := fmt.Sprintf("i%02d", r.rnd.IntN(raceMembers))
	ends := []string{"a", "b"}
	r.rnd.Shuffle(2, func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	req := Request{ID: fmt.Sprint(r.n), Actor: "op", View: r.view()}
	var p journal.Proposal
	switch r.rnd.IntN(4) {
	case 0:
		p = ProposeMove(req, Transfer{Instance: id, From: ends[0], To: ends[1], Lend: r.rnd.IntN(2) == 0})
	case 1, 2:
		p = ProposeTake(req, ends[0], Ask{id, CauseReboot, "op"})
	case 3:
		p = ProposeReturn(req, ends[0], r.taken(ctx, ends[0], id), "op")
	}
	_, err := r.writer().Accept(ctx, p)
	if err == nil {
		r.done++
		return
	}
	r.kinds[fault.KindOf(err).String()]++
}

// taken returns an instance that is taken from the pool, or id where none is.
func (r *race) taken(ctx context.Context, name, id string) string {
	var s State
	r.load(ctx, Key(name), &s)
	if len(s.Takes) == 0 {
		return id
	}
	return s.Takes[r.rnd.IntN(len(s.Takes))].Instance
}

func (r *race) writer() *journal.Writer {
	return journal.NewWriter(r, journal.WithClock(
		func() time.Time { return r.now },
		func(context.Context, time.Duration) error { return nil },
	))
}

// view shows every instance well, half of the time under a new boot.
func (r *race) view() View {
	r.now = r.now.Add(time.Second)
	var list []backing.Instance
	for i := range raceMembers {
		boot := fmt.Sprint(r.now.Unix() / 8)
		list = append(list, backing.Instance{ID: fmt.Sprintf("i%02d", i), Boot: boot, State: backing.StateLive, Seen: r.now, Rack: fmt.Sprint(i / 4)})
	}
	return NewView(list, r.now, testLag)
}

func runRace(t *testing.T, seed uint64, blind bool) *race {
	ctx := context.Background()
	r := &race{Table: standin.New().Table, rnd: rand.New(rand.NewPCG(seed, 0)), now: start, kinds: map[string]int{}, out: map[audit.Subject]map[string]bool{}, depth: raceDepth}
	w := r.writer()
	for _, name := range []string{"a", "b"} {
		e, err := record.Encode(name, &record.Pool{Budget: record.Budget{Out: raceBudget}, Floor: raceFloor})
		require.NoError(t, err)
		_, err = w.Accept(ctx, journal.Proposal{ID: name, Decide: func(journal.Rows) (journal.Decision, error) {
			return journal.Decision{Edits: []record.Envelope{e}}, nil
		}})
		require.NoError(t, err)
	}
	v := r.view()
	for i, in := range v.List() {
		_, err := w.Accept(ctx, ProposeAssign(Request{ID: in.ID, View: v}, []string{"a", "b"}[i%2], in))
		require.NoError(t, err)
	}
	r.depth, r.blind, r.double = 0, blind, 0
	for range raceSteps {
		r.act(ctx)
	}
	return r
}

func TestRacingOperatorsKeepBudgetAndOnePool(t *testing.T) {
	over, double := 0, 0
	for seed := range uint64(raceSeeds) {
		off := runRace(t, seed, true)
		over += off.over
		double += off.double
		on := runRace(t, seed, false)
		require.Zero(t, on.over, "seed %d", seed)
		require.Zero(t, on.double, "seed %d", seed)
		require.Zero(t, on.kinds[fault.Breach.String()], "seed %d", seed)
		require.Greater(t, on.done, raceSteps/10)
		t.Logf("seed %d: done %d, refused %v; unconditional rows: over budget %d times, pools wrong %d times", seed, on.done, on.kinds, off.over, off.double)
	}
	require.NotZero(t, over, "unconditional rows should break the budget")
	require.NotZero(t, double, "unconditional rows should break the one pool")
}
