package slot

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is the agreed list of a data centre's entries. A new view may be acted on only once
// every entry of the one before has acknowledged it or is gone.
type View struct {
	Epoch   int64
	Entries []string // instance IDs, in order
}

// NewView returns a view of the entries in their order.
func NewView(epoch int64, entries ...string) View {
	sorted := slices.Clone(entries)
	slices.Sort(sorted)
	return View{Epoch: epoch, Entries: slices.Compact(sorted)}
}

// Split returns the slots of a runner that entry has under the fixed split; the rest of the
// division goes to other entries from runner to runner.
func (v View) Split(entry, runner string, slots int) int {
	i, ok := slices.BinarySearch(v.Entries, entry)
	if !ok {
		return 0
	}
	n := len(v.Entries)
	first := int(xxhash.Sum64String(runner) % uint64(n))
	own := slots / n
	if (i-first+n)%n < slots%n {
		own++
	}
	return own
}

// Owner returns the entry that lends the runner's slots: the highest rendezvous hash, so that
// a change of entries moves no more runners than it must.
func (v View) Owner(runner string) string {
	owner, most := "", uint64(0)
	for _, e := range v.Entries {
		if h := xxhash.Sum64String(runner + "\x00" + e); owner == "" || h > most {
			owner, most = e, h
		}
	}
	return owner
}

// Acknowledged tells whether next may be acted on: each entry of v has acknowledged it or is gone.
func (v View) Acknowledged(acked map[string]int64, gone map[string]bool, next View) bool {
	for _, e := range v.Entries {
		if !gone[e] && acked[e] < next.Epoch {
			return false
		}
	}
	return true
}
