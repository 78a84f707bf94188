package leader

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// shards is how many rows the runners of a service are spread over. A runner takes some 250 bytes, so
// each row has room for about 190 of them, and a change of one runner rewrites one row.
const shards = 8

// shardOf returns the number of the row that a runner stands in.
func shardOf(id string) int {
	f := fnv.New32a()
	f.Write([]byte(id)) // a hash's Write returns no error
	return int(f.Sum32() % shards)
}

// runnersRows are the rows of the runners that may have work; rows that are as the store has them are left out.
func (h *Leader) runnersRows(f flight) ([]platform.Row, error) {
	var all [shards]runnersRow
	for _, w := range slices.SortedFunc(maps.Values(f.runners), func(a, b work.Runner) int { return strings.Compare(a.ID, b.ID) }) {
		s := &all[shardOf(w.ID)]
		s.Runners = append(s.Runners, w)
	}
	for id, over := range f.silent {
		s := &all[shardOf(id)]
		if s.Silent == nil {
			s.Silent = map[string]time.Duration{}
		}
		s.Silent[id] = h.storeNow + over.Sub(h.storeAt)
	}
	var rows []platform.Row
	for n, s := range all {
		if !h.shardDue(n, f) {
			continue
		}
		value, err := encode(s)
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Row{RowKey: place(tableHold, h.claim.Service, keyRunners+strconv.Itoa(n)), Value: value})
	}
	return rows, nil
}

// shardDue tells whether a row has to be written: something in it differs from what the store has at the
// version of the seat's row that the transaction demands.
func (h *Leader) shardDue(n int, f flight) bool {
	return !sameShard(n, h.useful, f.runners, func(a, b work.Runner) bool { return a.Addr == b.Addr }) ||
		!sameShard(n, h.silent, f.silent, func(_, _ time.Time) bool { return true })
}

// sameShard tells whether two maps agree on what they hold of one row.
func sameShard[V any](n int, a, b map[string]V, same func(x, y V) bool) bool {
	for id, x := range a {
		if y, ok := b[id]; shardOf(id) == n && (!ok || !same(x, y)) {
			return false
		}
	}
	for id := range b {
		if _, ok := a[id]; shardOf(id) == n && !ok {
			return false
		}
	}
	return true
}
