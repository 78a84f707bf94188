package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

func (s *Store) tx(w http.ResponseWriter, r *http.Request, f StoreFaults) {
	var tx wireTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > entriesMost || !onePart(tx) || tooLong(tx) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.queue(partOf(tx), txTime+f.ExtraLatency) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	late, lost := s.rand.Float64() < f.DelayedCommitRate, s.rand.Float64() < f.LostReplyRate
	wait := lateLeast + time.Duration(s.rand.Int64N(int64(lateMost-lateLeast)))
	s.mu.Unlock()
	if late {
		go func() {
			time.Sleep(wait)
			s.apply(tx)
		}()
		mute(r)
		return
	}
	conflict, page := s.apply(tx)
	if lost {
		mute(r)
		return
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	send(w, page)
}

// tooLong tells whether a row of the transaction is longer than the store takes.
func tooLong(tx wireTx) bool {
	for _, r := range slices.Concat(tx.Expected, tx.Puts, tx.Remove) {
		if len(r.Value) > valueMost || len(r.Table) > nameMost || len(r.Part) > nameMost || len(r.Key) > nameMost {
			return true
		}
	}
	return false
}

// waitMost is how long the transactions of one part may wait for each other; more are turned away.
const waitMost = time.Second

// queue waits for a part's turn and for the transaction's own time; it is false where too many wait.
func (s *Store) queue(part string, takes time.Duration) bool {
	s.mu.Lock()
	now := time.Now()
	free := s.busy[part]
	if free.Before(now) {
		free = now
	}
	if free.Sub(now) > waitMost {
		s.mu.Unlock()
		return false
	}
	s.busy[part] = free.Add(takes)
	s.mu.Unlock()
	time.Sleep(free.Add(takes).Sub(now))
	return true
}

func partOf(tx wireTx) string {
	for _, list := range [][]wireRow{tx.Puts, tx.Expected, tx.Remove} {
		for _, r := range list {
			return r.Part
		}
	}
	return ""
}

// onePart tells whether all entries lie in one part.
func onePart(tx wireTx) bool {
	parts := map[string]struct{}{}
	for _, list := range [][]wireRow{tx.Expected, tx.Puts, tx.Remove} {
		for _, r := range list {
			parts[r.Part] = struct{}{}
		}
	}
	return len(parts) <= 1
}

// apply carries out a transaction where its conditions hold.
func (s *Store) apply(tx wireTx) (bool, wirePage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var now []wireRow
	for _, e := range tx.Expected {
		have := s.rows[place{e.Table, e.Part, e.Key}]
		conflict = conflict || have.RowVersion != e.RowVersion
		have.Table, have.Part, have.Key = e.Table, e.Part, e.Key
		now = append(now, have)
	}
	if conflict {
		return true, s.stamp(now)
	}
	s.version++
	for _, p := range tx.Puts {
		p.RowVersion = s.version
		s.set(p)
	}
	for _, d := range tx.Remove {
		if _, ok := s.rows[place{d.Table, d.Part, d.Key}]; ok {
			s.set(wireRow{Table: d.Table, Part: d.Part, Key: d.Key, RowVersion: s.version, Deleted: true})
		}
	}
	s.stir()
	return false, s.stamp(nil)
}
