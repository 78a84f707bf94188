package leader

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// commitBatch is the content of one commit.
type commitBatch struct {
	commitNo  int64
	intents   []*intent
	progress  []progressPut
	shards    []platform.Row         // the changed rows of the runners
	runners   map[string]work.Runner // runners that may have work; nil if neither they nor the silent runners have changed
	silent    map[string]time.Time   // runners that don't answer; set together with runners
	keepUntil map[string]time.Time   // runners that have restarted lately; set together with runners
	epoch     int64                  // heartbeat epoch when the commit was sent
	renewal   bool                   // the commit has to confirm the lease
}

func (b commitBatch) empty() bool { return len(b.parts()) == 0 && !b.renewal }

// parts returns the parts that the commit could do without.
func (b commitBatch) parts() []commitPart {
	var parts []commitPart
	for _, in := range b.intents {
		parts = append(parts, commitPart{intent: in})
	}
	for _, put := range b.progress {
		parts = append(parts, commitPart{job: put.job.ID})
	}
	if b.runners != nil {
		parts = append(parts, runnersPart)
	}
	return parts
}

// size returns the number of bytes of all rows.
func (b commitBatch) size() int {
	n := sizeOf(b.shards)
	for _, in := range b.intents {
		n += len(in.value)
	}
	for _, put := range b.progress {
		n += put.bytes()
	}
	return n
}

// nextBatch collects the pending changes that fit into one transaction, of those that may be in it.
func (l *Leader) nextBatch(now time.Time) (commitBatch, error) {
	var batch commitBatch
	may := l.isolation.filter(now)
	if may(runnersPart) {
		l.addRunners(now, &batch)
	}
	if batch.runners != nil {
		shards, err := l.runnerRows(batch)
		if err != nil {
			return batch, err
		}
		batch.shards = shards
	}
	// New jobs leave room for the starts of accepted ones.
	forStarts := min(l.pool.StartsWaiting(), maxStartEntries)
	batch.intents = l.nextIntents((platform.MaxTxEntries-fixedEntries-maxBatchGates-forStarts)/entriesPerJob, min(maxBatchBytes, maxTxBytes-batch.size()), may)
	return batch, l.addProgress(now, &batch, may)
}

// addProgress adds the progress of jobs, as much as there is room for in the transaction.
func (l *Leader) addProgress(now time.Time, batch *commitBatch, may func(commitPart) bool) error {
	n := len(batch.intents)
	entries, bytes := platform.MaxTxEntries-fixedEntries-len(gatesOf(batch.intents))-entriesPerJob*n, maxTxBytes-batch.size()
	for _, job := range l.pool.UncommittedBatch(now, entries, n > 0 || l.isolation.active()) {
		if !may(commitPart{job: job.ID}) {
			continue
		}
		put, err := newProgressPut(l.lease.Service, job, l.progressRows[job.ID])
		if err != nil {
			return err
		}
		if put.bytes() > maxProgressBytes {
			l.leaveOut(now, job.ID, put.bytes())
			continue
		}
		if put.entries() > entries || put.bytes() > bytes {
			continue // the next commit has room for it, or one of the next
		}
		entries, bytes = entries-put.entries(), bytes-put.bytes()
		batch.progress = append(batch.progress, put)
		l.progressRows[job.ID] = max(l.progressRows[job.ID], len(put.rows))
	}
	return nil
}

// leaveOut leaves a job's progress out of the commits for a time: no commit has room for it. The ends that it consists of
// stay with their runners, which list them until they are acknowledged.
func (l *Leader) leaveOut(now time.Time, id work.ID, size int) {
	l.pool.PostponeCommit(id, now.Add(isolationRetry))
	l.Log.Error("the progress of a job is too large to be stored; the job waits until more of its tasks are done", zap.String("job", string(id)), zap.Int("bytes", size))
}

// nextIntents returns up to limit pending intents of those that may be committed, as many as fit into a number of bytes.
func (l *Leader) nextIntents(limit, bytes int, may func(commitPart) bool) []*intent {
	var next []*intent
	gates := gateSet{}
	size := 0
	for _, in := range l.intents {
		if !may(commitPart{intent: in}) {
			continue
		}
		if in.kind == deleteInbox && !l.inboxRowDone(in) {
			continue // the inbox row is the only record of the request that the next leader would find
		}
		if in.kind != deleteInbox && slices.ContainsFunc(next, func(earlier *intent) bool { return earlier.kind != deleteInbox && earlier.id == in.id }) {
			continue // a transaction can write or delete a job's row once
		}
		if !gates.add(in.gate) {
			continue // one of the next commits has room for its gate
		}
		size += len(in.value)
		if len(next) == min(limit, maxBatchJobs) || (size > bytes && len(next) > 0) {
			break
		}
		next = append(next, in)
	}
	return next
}

// inboxRowDone reports whether the store has the result of an inbox row's request, so that the row may be deleted.
func (l *Leader) inboxRowDone(in *intent) bool {
	if !strings.HasSuffix(in.key, cancelSuffix) {
		return true // the job's own row was stored together with the inbox row
	}
	state, known := l.pool.State(in.id)
	return !known || state.Final()
}

// addRunners adds the runners that may have work and the silent runners to the batch if they differ from the stored
// ones.
func (l *Leader) addRunners(now time.Time, batch *commitBatch) {
	runners := maps.Clone(l.listedRunners)
	for id, runner := range l.storedRunners {
		if _, ok := runners[id]; !ok && l.pool.HasRunner(id) {
			runners[id] = runner // an unlisted runner may still have work
		}
	}
	for id, runner := range runners {
		runner.Born = max(runner.Born, l.pool.Fence(id).Born) // a poll may have shown a restart before the runner's entry does
		runners[id] = runner
	}
	silent, keepUntil := l.pool.SilentRunners(now), l.pool.RestartedRunners(now)
	if l.storeTime == 0 {
		silent, keepUntil = nil, nil // times are stored on the store's clock, which is still unknown
	}
	unchanged := maps.EqualFunc(runners, l.storedRunners, sameIncarnation)
	if unchanged && !l.pool.AwaitsRecords() && !l.silentDirty && len(l.changedKeepUntil(keepUntil)) == 0 && maps.EqualFunc(silent, l.storedSilent, func(_, _ time.Time) bool { return true }) {
		return
	}
	batch.runners, batch.silent, batch.keepUntil = runners, silent, keepUntil
	l.silentDirty = true // until the store confirms the commit
	l.pool.SilentSaveStarted(silent)
}
