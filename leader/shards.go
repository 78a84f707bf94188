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

// shardCount is the number of rows that the runners of a service are spread over. A runner takes about 250 bytes, so a
// row has room for about 190 of them. A change of one runner rewrites only one row.
const shardCount = 8

// shardOf returns the number of the row that contains a runner.
func shardOf(id string) int {
	hash := fnv.New32a()
	hash.Write([]byte(id)) // Write of a hash never returns an error
	return int(hash.Sum32() % shardCount)
}

// runnerRows returns the changed rows of the runners that may have work.
func (l *Leader) runnerRows(batch commitBatch) ([]platform.Row, error) {
	var contents [shardCount]runnersRow
	for _, runner := range slices.SortedFunc(maps.Values(batch.runners), func(a, b work.Runner) int { return strings.Compare(a.ID, b.ID) }) {
		content := &contents[shardOf(runner.ID)]
		content.Runners = append(content.Runners, runner)
	}
	for id, endsAt := range batch.silent {
		content := &contents[shardOf(id)]
		if content.Silent == nil {
			content.Silent = map[string]time.Duration{}
		}
		content.Silent[id] = l.storeTime + endsAt.Sub(l.storeTimeReadAt)
	}
	for id, keep := range batch.keepUntil {
		content := &contents[shardOf(id)]
		if content.Restarted == nil {
			content.Restarted = map[string]time.Duration{}
		}
		content.Restarted[id] = l.storeTime + keep.Sub(l.storeTimeReadAt)
	}
	var rows []platform.Row
	for shard, content := range contents {
		if !l.shardChanged(shard, batch) {
			continue
		}
		value, err := encode(content)
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Row{RowKey: rowKey(tableLease, l.lease.Service, keyRunners+strconv.Itoa(shard)), Value: value})
	}
	return rows, nil
}

// shardChanged reports whether a row has to be written, because it differs from the stored one at the version of the
// lease row that the transaction requires.
func (l *Leader) shardChanged(shard int, batch commitBatch) bool {
	return !sameShard(shard, l.storedRunners, batch.runners, sameIncarnation) ||
		!sameShard(shard, l.storedSilent, batch.silent, func(_, _ time.Time) bool { return true }) ||
		slices.ContainsFunc(l.changedKeepUntil(batch.keepUntil), func(id string) bool { return shardOf(id) == shard })
}

// changedKeepUntil returns the runners whose time in keepUntil differs from the stored one. A stored time that is over does no harm.
func (l *Leader) changedKeepUntil(keepUntil map[string]time.Time) []string {
	var changed []string
	for id, keep := range keepUntil {
		stored, ok := l.storedKeepUntil[id]
		if !ok || stored.Sub(keep).Abs() > clockSlack {
			changed = append(changed, id)
		}
	}
	return changed
}

// sameIncarnation reports whether two states of a runner are of the same incarnation at the same address.
func sameIncarnation(a, b work.Runner) bool { return a.Addr == b.Addr && a.Born == b.Born }

// sameShard reports whether two maps have the same entries in one shard.
func sameShard[V any](shard int, a, b map[string]V, same func(x, y V) bool) bool {
	for id, x := range a {
		if y, ok := b[id]; shardOf(id) == shard && (!ok || !same(x, y)) {
			return false
		}
	}
	for id := range b {
		if _, ok := a[id]; shardOf(id) == shard && !ok {
			return false
		}
	}
	return true
}
