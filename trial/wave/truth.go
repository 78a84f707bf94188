package wavetrial

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/pool"
	"gypsumlead/record"
)

const (
	inForce   = 2 * time.Second  // from an accepted drain until every entry follows it
	workMean  = 20 * time.Second // of what is in progress when a drain comes in force
	workLimit = 2 * time.Minute
	lossHour  = 0.0005 // share of the instances that fail by themselves in an hour
	lossTime  = 15 * time.Minute
	stuckOdds = 0.002 // of a reboot from which an instance comes back only after lossTime
)

// truth is what the fleet does, whatever its list says; it counts what must never happen. All of
// its chances hang on the seed and the instance alone, so that designs meet the same ones.
type truth struct {
	*standin.Platform
	seed     uint64
	clock    func() time.Time
	budget   record.Budget
	quietAt  map[string]time.Time // instance and boot to the end of its last request
	back     map[string]time.Time // instances that are dead until then
	Reboots  int
	Breaches int // pool rows with more planned takes than the budget
	Cut      int // reboots with requests in progress
}

// chance returns a source of its own for one thing that happens to an instance.
func (t *truth) chance(what string) *rand.Rand {
	return rand.New(rand.NewPCG(t.seed, xxhash.Sum64String(what)))
}

// Read reads from the table.
func (t *truth) Read(ctx context.Context, keys ...string) ([]backing.Row, error) {
	return t.Table.Read(ctx, keys...)
}

// Scan reads from the table.
func (t *truth) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Commit commits, starts the drains that were accepted, and counts the planned takes.
func (t *truth) Commit(ctx context.Context, tx backing.Tx) error {
	if err := t.Table.Commit(ctx, tx); err != nil {
		return err
	}
	for _, op := range tx.Ops {
		p, ok := op.(backing.Put)
		if !ok {
			continue
		}
		if strings.HasPrefix(p.Key, "record/drain/") {
			t.drained(p)
		}
		if strings.HasPrefix(p.Key, "pool/") {
			t.count(p)
		}
	}
	return nil
}

func (t *truth) drained(p backing.Put) {
	var e record.Envelope
	var d record.Drain
	if json.Unmarshal(p.Value, &e) != nil || record.Decode(e, &d) != nil {
		return
	}
	left := time.Duration(t.chance("work "+e.Name+d.Boot).ExpFloat64() * float64(workMean))
	t.quietAt[e.Name+d.Boot] = t.clock().Add(inForce + min(left, workLimit))
}

// count holds the takes of a pool's row against the budget, apart from the program's own checks.
func (t *truth) count(p backing.Put) {
	var s pool.State
	if json.Unmarshal(p.Value, &s) != nil {
		return
	}
	racks, centres := map[string]int{}, map[string]int{}
	over := len(s.Takes) > t.budget.Out
	for _, tk := range s.Takes {
		m, _ := s.Member(tk.Instance)
		racks[m.Rack]++
		centres[m.Centre]++
		over = over || racks[m.Rack] > t.budget.Rack || centres[m.Centre] > t.budget.Centre
	}
	if over {
		t.Breaches++
	}
}

// List returns the platform's lagging list.
func (t *truth) List(ctx context.Context) ([]backing.Instance, error) {
	return t.Instances.List(ctx)
}

// Drain marks an instance leaving.
func (t *truth) Drain(ctx context.Context, id, boot string) error {
	return t.Instances.Drain(ctx, id, boot)
}

// Reboot reboots an instance; a few stay away for long.
func (t *truth) Reboot(ctx context.Context, r backing.Reboot) error {
	if err := t.Instances.Reboot(ctx, r); err != nil {
		return err
	}
	t.Reboots++
	quiet, drained := t.quietAt[r.Instance+r.Boot]
	if !drained || quiet.After(t.clock()) {
		t.Cut++
	}
	if t.chance("stuck "+r.Instance).Float64() < stuckOdds {
		return t.lose(r.Instance)
	}
	return nil
}

// Quiet answers for every entry.
func (t *truth) Quiet(_ context.Context, e backing.Instance, instance, boot string, seq int64) (have, progress int64, err error) {
	quiet, drained := t.quietAt[instance+boot]
	if !drained {
		return 0, 0, fault.New(fault.Conflict, "entry %s has no drain of boot %s", e.ID, boot)
	}
	if quiet.After(t.clock()) {
		return seq, 1, nil
	}
	return seq, 0, nil
}

// lose takes an instance away for lossTime.
func (t *truth) lose(id string) error {
	t.back[id] = t.clock().Add(lossTime)
	return t.Kill(id)
}

// tick fails instances of their own accord and brings lost ones back.
func (t *truth) tick(span time.Duration, runners []string) error {
	now := t.clock()
	for _, id := range runners {
		if until, lost := t.back[id]; lost && !until.After(now) {
			delete(t.back, id)
			if _, err := t.Revive(id); err != nil {
				return err
			}
		}
	}
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(now.UnixNano()))
	r := t.chance("loss " + string(key[:]))
	if r.Float64() >= lossHour*float64(len(runners))*span.Hours() {
		return nil
	}
	id := runners[r.IntN(len(runners))]
	if _, lost := t.back[id]; lost {
		return nil
	}
	return t.lose(id)
}
