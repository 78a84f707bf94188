package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// serveTx commits a transaction, subject to the store's faults.
func (s *Store) serveTx(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	var tx wireTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > maxTxEntries || !singlePartition(tx) || oversized(tx) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	faults.abortIfReset(partitionOf(tx))
	if !s.waitTurn(partitionOf(tx), txLatency+faults.ExtraLatency) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	delayed, lostReply := s.rand.Float64() < faults.DelayedCommitRate, s.rand.Float64() < faults.LostReplyRate
	delay := minCommitDelay + time.Duration(s.rand.Int64N(int64(maxCommitDelay-minCommitDelay)))
	s.mu.Unlock()
	if delayed {
		go func() {
			time.Sleep(delay)
			s.apply(tx)
		}()
		withholdReply(r)
		return
	}
	conflict, page := s.apply(tx)
	if lostReply {
		withholdReply(r)
		return
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	writeJSON(w, page)
}

// oversized reports whether a row of the transaction exceeds the store's size limits.
func oversized(tx wireTx) bool {
	for _, r := range slices.Concat(tx.Expected, tx.Puts, tx.Remove) {
		if len(r.Value) > maxValueSize || len(r.Table) > maxNameSize || len(r.Partition) > maxNameSize || len(r.Key) > maxNameSize {
			return true
		}
	}
	return false
}

// maxQueueWait limits how long a transaction may wait for others of its partition; beyond it the store replies 429.
const maxQueueWait = time.Second

// waitTurn waits until the earlier transactions of a partition are done and then for duration, the transaction's own
// time. It returns false immediately if the wait would exceed maxQueueWait.
func (s *Store) waitTurn(partition string, duration time.Duration) bool {
	s.mu.Lock()
	now := time.Now()
	freeAt := s.busyUntil[partition]
	if freeAt.Before(now) {
		freeAt = now
	}
	if freeAt.Sub(now) > maxQueueWait {
		s.mu.Unlock()
		return false
	}
	s.busyUntil[partition] = freeAt.Add(duration)
	s.mu.Unlock()
	time.Sleep(freeAt.Add(duration).Sub(now))
	return true
}

// partitionOf returns the partition of a transaction whose rows are all in one.
func partitionOf(tx wireTx) string {
	for _, rows := range [][]wireRow{tx.Puts, tx.Expected, tx.Remove} {
		for _, r := range rows {
			return r.Partition
		}
	}
	return ""
}

// singlePartition reports whether all rows of the transaction are in one partition.
func singlePartition(tx wireTx) bool {
	partitions := map[string]struct{}{}
	for _, rows := range [][]wireRow{tx.Expected, tx.Puts, tx.Remove} {
		for _, r := range rows {
			partitions[r.Partition] = struct{}{}
		}
	}
	return len(partitions) <= 1
}

// apply commits a transaction if every expected row has the expected version. Otherwise it returns true and the current
// rows.
func (s *Store) apply(tx wireTx) (bool, wirePage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []wireRow
	for _, expected := range tx.Expected {
		row := s.rows[rowKey{expected.Table, expected.Partition, expected.Key}]
		conflict = conflict || row.RowVersion != expected.RowVersion
		row.Table, row.Partition, row.Key = expected.Table, expected.Partition, expected.Key
		current = append(current, row)
	}
	if conflict {
		return true, s.newPage(current)
	}
	s.version++
	for _, put := range tx.Puts {
		put.RowVersion = s.version
		s.setRow(put)
	}
	for _, removed := range tx.Remove {
		if _, ok := s.rows[rowKey{removed.Table, removed.Partition, removed.Key}]; ok {
			s.setRow(wireRow{Table: removed.Table, Partition: removed.Partition, Key: removed.Key, RowVersion: s.version, Deleted: true})
		}
	}
	s.wakeWaiters()
	return false, s.newPage(nil)
}
