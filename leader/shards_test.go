package leader

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// testRunners returns n runners with entries as large as on a real site.
func testRunners(n int) map[string]work.Runner {
	runners := map[string]work.Runner{}
	for i := range n {
		id := fmt.Sprintf("district-desk-ga-north-a-%04d", i)
		runners[id] = work.Runner{
			ID: id, Machine: id, Service: "district-desk", Centre: "ga-north-a", Leaves: -1,
			Addr:   netip.MustParseAddrPort("10.200.100.100:18080"),
			Room:   work.Resources{CPU: 64250, Mem: 256 << 10},
			Labels: []string{"rack=ga-north-a-rack-07", "disk=ssd", "kernel=6.12.3"},
			Born:   1775860766008,
		}
	}
	return runners
}

func newTestLeader() *Leader {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	return New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
}

// mergeRows merges stored rows as the next leader does, and returns the runners and the number of silent ones.
func mergeRows(t *testing.T, stored map[string]platform.Row) (map[string]work.Runner, int) {
	runners, silent := map[string]work.Runner{}, 0
	for _, row := range stored {
		var content runnersRow
		require.NoError(t, decode(row, &content))
		for _, runner := range content.Runners {
			runners[runner.ID] = runner
		}
		silent += len(content.Silent)
	}
	return runners, silent
}

// The largest site has 349 machines, and one service can have a runner on each of them.
func TestRunnerRowsFitLargestFleet(t *testing.T) {
	l := newTestLeader()
	batch := commitBatch{runners: testRunners(349), silent: map[string]time.Time{}}
	for id := range batch.runners {
		batch.silent[id] = l.Now()
	}
	tx, err := l.buildTx(batch)
	require.NoError(t, err)
	for _, row := range tx.Puts {
		require.LessOrEqual(t, len(row.Value), MaxRowBytes, row.Key)
	}
	require.LessOrEqual(t, len(tx.Conditions)+len(tx.Puts)+entriesPerJob*maxBatchJobs, platform.MaxTxEntries)
}

func TestRunnerChangeRewritesOneRow(t *testing.T) {
	l := newTestLeader()
	stored := map[string]platform.Row{}
	write := func(batch commitBatch) int {
		rows, err := l.runnerRows(batch)
		require.NoError(t, err)
		for _, r := range rows {
			stored[r.Key] = r
		}
		l.storedRunners, l.storedSilent = batch.runners, batch.silent
		return len(rows)
	}
	require.Equal(t, shardCount, write(commitBatch{runners: testRunners(100)}))
	require.Zero(t, write(commitBatch{runners: testRunners(100)}))

	const changedID = "district-desk-ga-north-a-0042"
	for name, change := range map[string]func(*commitBatch){
		"gone": func(batch *commitBatch) { delete(batch.runners, changedID) },
		"moved": func(batch *commitBatch) {
			batch.runners[changedID] = work.Runner{ID: changedID, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
		},
		"silent": func(batch *commitBatch) { batch.silent = map[string]time.Time{changedID: l.Now()} },
	} {
		batch := commitBatch{runners: testRunners(100)}
		change(&batch)
		require.Equal(t, 1, write(batch), name)
		got, silent := mergeRows(t, stored)
		require.Len(t, got, len(batch.runners), name)
		require.Equal(t, batch.runners[changedID].Addr, got[changedID].Addr, name)
		require.Equal(t, len(batch.silent), silent, name)
		write(commitBatch{runners: testRunners(100)})
	}
}
