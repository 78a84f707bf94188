package claim

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/backing"
)

const (
	markTries   = 5
	unsentLife  = 10 * time.Minute // after which a claim's write can't arrive late any more
	forgetPause = 10 * time.Second
)

// mark is the outcome of a claim on its way to the table. Losing one is safe: the key stays claimed.
type mark struct {
	key     string
	version int64 // of the row that it is written over; 0 until the row is read
	row     row
	tries   int
}

// mark queues m; the lock is held. Where too many wait, the newest is dropped.
func (k *Keeper) mark(m *mark) {
	if len(k.marks) >= marksLimit {
		k.count.dropped.Add(1)
		return
	}
	k.marks = append(k.marks, m)
	k.nudge()
}

// retry queues marks again whose write may or may not have taken effect; a table that is down
// doesn't count as a try.
func (k *Keeper) retry(marks []*mark, counted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range marks {
		m.version = 0
		if counted {
			m.tries++
		}
		if m.tries >= markTries {
			k.count.dropped.Add(1)
			continue
		}
		k.mark(m)
	}
}

// resolve reads the rows of marks that don't know their version and returns those that still
// have to be written.
func (k *Keeper) resolve(ctx context.Context, marks []*mark) []*mark {
	var keys []string
	for _, m := range marks {
		if m.version == 0 {
			keys = append(keys, m.key)
		}
	}
	if len(keys) == 0 {
		return marks
	}
	rows, err := k.read(ctx, keys)
	if err != nil {
		k.retry(marks, false)
		k.failed()
		return nil
	}
	var ready, early []*mark
	for _, m := range marks {
		if m.version > 0 {
			ready = append(ready, m)
			continue
		}
		have := rows[0]
		rows = rows[1:]
		if have.Version == 0 {
			// The claim's own write may still be under way.
			early = append(early, m)
			continue
		}
		if m.version = versionOf(have, m); m.version > 0 {
			ready = append(ready, m)
		}
	}
	k.retry(early, true)
	return ready
}

// versionOf returns the version that m is to be written over, or 0 if there is nothing to write:
// the row is another's, or says so already.
func versionOf(have backing.Row, m *mark) int64 {
	var r row
	if json.Unmarshal(have.Value, &r) != nil {
		return 0
	}
	if r.Nonce != m.row.Nonce || r.State != stateHeld {
		return 0
	}
	return have.Version
}

// forgetUnsent drops nonces whose writes can't arrive any more; the lock is held.
func (k *Keeper) forgetUnsent(now time.Time) {
	if now.Sub(k.forgot) < forgetPause {
		return
	}
	k.forgot = now
	for nonce, at := range k.unsent {
		if now.Sub(at) > unsentLife || len(k.unsent) > unsentLimit {
			delete(k.unsent, nonce)
		}
	}
}
