package standin

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

const (
	shardCount = 16
	opLimit    = 512     // steps of a transaction
	valueLimit = 1 << 20 // bytes of a row
	scanLimit  = 10_000  // rows of one scan
)

// Table is the stand-in's transactional table; its rows are in shards, which a transaction
// locks in their order.
type Table struct {
	gate   *gate
	shards [shardCount]*shard
}

func newTable(g *gate) *Table {
	t := &Table{gate: g}
	for i := range t.shards {
		t.shards[i] = &shard{rows: map[string]backing.Row{}}
	}
	return t
}

// Read returns one row a key; rows of one call needn't be of one instant.
func (t *Table) Read(ctx context.Context, keys ...string) ([]backing.Row, error) {
	var rows []backing.Row
	err := t.gate.read(ctx, "read rows", func() error {
		rows = make([]backing.Row, 0, len(keys))
		for _, k := range keys {
			rows = append(rows, t.shards[shardOf(k)].get(k))
		}
		t.gate.count(Counts{Rows: int64(len(rows))})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Scan returns rows in the order of their keys, as of one instant.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	var rows []backing.Row
	err := t.gate.read(ctx, "scan "+prefix, func() error {
		rows = t.scan(prefix, after, min(limit, scanLimit))
		t.gate.count(Counts{Rows: int64(len(rows))})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

func (t *Table) scan(prefix, after string, limit int) []backing.Row {
	for _, s := range t.shards {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	var left [shardCount][]string
	for i, s := range t.shards {
		left[i] = s.from(prefix, after)
	}
	rows := []backing.Row{}
	for len(rows) < limit {
		i := least(left[:])
		if i < 0 || !strings.HasPrefix(left[i][0], prefix) {
			break
		}
		rows = append(rows, t.shards[i].rows[left[i][0]])
		left[i] = left[i][1:]
	}
	return rows
}

// least returns which of the sorted lists starts with the least key, or -1 where all are empty.
func least(lists [][]string) int {
	best := -1
	for i, l := range lists {
		if len(l) > 0 && (best < 0 || l[0] < lists[best][0]) {
			best = i
		}
	}
	return best
}

// Commit checks every condition on the rows before the transaction, then writes all of it.
func (t *Table) Commit(ctx context.Context, tx backing.Tx) error {
	if err := checkTx(tx); err != nil {
		return err
	}
	return t.gate.write(ctx, "commit", func() error { return t.commit(tx) })
}

func (t *Table) commit(tx backing.Tx) error {
	for _, i := range shardsOf(tx) {
		s := t.shards[i]
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	for _, op := range tx.Ops {
		if err := t.check(op); err != nil {
			return err
		}
	}
	puts := int64(0)
	for _, op := range tx.Ops {
		s := t.shards[shardOf(backing.KeyOf(op))]
		switch o := op.(type) {
		case backing.Put:
			s.put(backing.Row{Key: o.Key, Version: o.IfVersion + 1, Value: slices.Clone(o.Value)})
			puts++
		case backing.Delete:
			s.drop(o.Key)
			puts++
		case backing.Check:
		}
	}
	t.gate.count(Counts{Puts: puts})
	return nil
}

// check holds op's condition against its row, whose shard is locked.
func (t *Table) check(op backing.Op) error {
	key := backing.KeyOf(op)
	have := t.shards[shardOf(key)].rows[key].Version
	want := int64(0)
	switch o := op.(type) {
	case backing.Check:
		want = o.Version
	case backing.Put:
		want = o.IfVersion
	case backing.Delete:
		want = o.IfVersion
	}
	if have != want {
		return fault.New(fault.Conflict, "row %s has version %d, not %d", key, have, want)
	}
	return nil
}

// checkTx refuses what the table service can't take: bad values, and rows written twice.
func checkTx(tx backing.Tx) error {
	if len(tx.Ops) > opLimit {
		return fault.New(fault.TooLarge, "a transaction takes %d steps at most, not %d", opLimit, len(tx.Ops))
	}
	written := make(map[string]bool, len(tx.Ops))
	for _, op := range tx.Ops {
		key := backing.KeyOf(op)
		if key == "" {
			return fault.New(fault.Invalid, "a step of the transaction names no row")
		}
		if _, ok := op.(backing.Check); ok {
			continue
		}
		if written[key] {
			return fault.New(fault.Invalid, "the transaction writes row %s twice", key)
		}
		written[key] = true
		if o, ok := op.(backing.Put); ok {
			if err := checkValue(o); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkValue(o backing.Put) error {
	if len(o.Value) > valueLimit {
		return fault.New(fault.TooLarge, "row %s takes %d bytes at most, not %d", o.Key, valueLimit, len(o.Value))
	}
	if !json.Valid(o.Value) {
		return fault.New(fault.Invalid, "the value of row %s is no JSON", o.Key)
	}
	return nil
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % shardCount)
}

// shardsOf returns the shards of the transaction's rows, sorted, each once.
func shardsOf(tx backing.Tx) []int {
	is := make([]int, 0, len(tx.Ops))
	for _, op := range tx.Ops {
		is = append(is, shardOf(backing.KeyOf(op)))
	}
	slices.Sort(is)
	return slices.Compact(is)
}
