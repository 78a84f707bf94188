package claim

import (
	"sync/atomic"
)

// counters count what the keeper did since it started.
type counters struct {
	asked   atomic.Int64
	won     atomic.Int64
	repeats atomic.Int64
	refused atomic.Int64
	commits atomic.Int64
	reads   atomic.Int64
	rows    atomic.Int64
	dropped atomic.Int64
}

// Stats is a snapshot of the keeper.
type Stats struct {
	Asked   int64 // claims asked for
	Won     int64 // tickets, with those that nobody waited for
	Repeats int64 // asked for while another request had the key
	Refused int64 // not made because the table or the budget didn't allow it
	Commits int64 // transactions sent to the table
	Reads   int64 // reads sent to the table
	Rows    int64 // rows in those transactions
	Dropped int64 // outcomes that were not stored
	Waiting int   // claims that wait now
}

// Stats returns the counts so far.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	waiting := len(k.queue)
	k.mu.Unlock()
	return Stats{
		Asked:   k.count.asked.Load(),
		Won:     k.count.won.Load(),
		Repeats: k.count.repeats.Load(),
		Refused: k.count.refused.Load(),
		Commits: k.count.commits.Load(),
		Reads:   k.count.reads.Load(),
		Rows:    k.count.rows.Load(),
		Dropped: k.count.dropped.Load(),
		Waiting: waiting,
	}
}
