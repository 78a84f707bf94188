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

// manyRunners are as many as a service can have at once on the largest site: every machine of the fleet.
func manyRunners(n int) map[string]work.Runner {
	all := map[string]work.Runner{}
	for i := range n {
		id := fmt.Sprintf("district-desk-ga-north-a-%04d", i)
		all[id] = work.Runner{
			ID: id, Machine: id, Service: "district-desk", Centre: "ga-north-a", Leaves: -1,
			Addr:   netip.MustParseAddrPort("10.200.100.100:18080"),
			Room:   work.Resources{CPU: 64250, Mem: 256 << 10},
			Labels: []string{"rack=ga-north-a-rack-07", "disk=ssd", "kernel=6.12.3"},
			Born:   1775860766008,
		}
	}
	return all
}

func shardHolder() *Leader {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	return New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
}

// read puts the rows that the store would have together, as a next holder does.
func read(t *testing.T, stored map[string]platform.Row) (map[string]work.Runner, int) {
	all, silent := map[string]work.Runner{}, 0
	for _, row := range stored {
		var s runnersRow
		require.NoError(t, decode(row, &s))
		for _, w := range s.Runners {
			all[w.ID] = w
		}
		silent += len(s.Silent)
	}
	return all, silent
}

func TestRunnersOfTheWholeFleetFitIntoTheirRows(t *testing.T) {
	h := shardHolder()
	f := flight{runners: manyRunners(349), silent: map[string]time.Time{}}
	for id := range f.runners {
		f.silent[id] = h.Now()
	}
	tx, err := h.transaction(f)
	require.NoError(t, err)
	for _, row := range tx.Puts {
		require.LessOrEqual(t, len(row.Value), rowMost, row.Key)
	}
	require.LessOrEqual(t, len(tx.Conditions)+len(tx.Puts)+entriesEach*batchMost, platform.MaxTxEntries)
}

func TestChangeOfOneRunnerRewritesOneRow(t *testing.T) {
	h := shardHolder()
	stored := map[string]platform.Row{}
	write := func(f flight) int {
		rows, err := h.runnersRows(f)
		require.NoError(t, err)
		for _, r := range rows {
			stored[r.Key] = r
		}
		h.useful, h.silent = f.runners, f.silent
		return len(rows)
	}
	require.Equal(t, shards, write(flight{runners: manyRunners(100)}))
	require.Zero(t, write(flight{runners: manyRunners(100)}))

	const one = "district-desk-ga-north-a-0042"
	for name, change := range map[string]func(*flight){
		"gone":   func(f *flight) { delete(f.runners, one) },
		"moved":  func(f *flight) { f.runners[one] = work.Runner{ID: one, Addr: netip.MustParseAddrPort("10.0.0.1:80")} },
		"silent": func(f *flight) { f.silent = map[string]time.Time{one: h.Now()} },
	} {
		f := flight{runners: manyRunners(100)}
		change(&f)
		require.Equal(t, 1, write(f), name)
		got, silent := read(t, stored)
		require.Len(t, got, len(f.runners), name)
		require.Equal(t, f.runners[one].Addr, got[one].Addr, name)
		require.Equal(t, len(f.silent), silent, name)
		write(flight{runners: manyRunners(100)})
	}
}
