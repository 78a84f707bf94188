package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

func put(key string, ifVersion int64, v string) backing.Put {
	return backing.Put{Key: key, IfVersion: ifVersion, Value: json.RawMessage(v)}
}

func TestCommitIsWholeOrNothing(t *testing.T) {
	ctx := context.Background()
	p := New()
	require.NoError(t, p.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{put("a", 0, "1"), put("b", 0, "1")}}))
	for _, tc := range []struct {
		name string
		ops  []backing.Op
		kind fault.Kind
	}{
		{"insert of a row that exists", []backing.Op{put("c", 0, "1"), put("a", 0, "2")}, fault.Conflict},
		{"check of a newer version", []backing.Op{put("c", 0, "1"), backing.Check{Key: "b", Version: 2}}, fault.Conflict},
		{"delete of a missing row", []backing.Op{put("c", 0, "1"), backing.Delete{Key: "d", IfVersion: 1}}, fault.Conflict},
		{"row written twice", []backing.Op{put("c", 0, "1"), put("c", 1, "1")}, fault.Invalid},
		{"value that is no JSON", []backing.Op{put("c", 0, "{")}, fault.Invalid},
		{"no key", []backing.Op{put("c", 0, "1"), put("", 0, "1")}, fault.Invalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := p.Table.Commit(ctx, backing.Tx{Ops: tc.ops})
			require.True(t, fault.Is(err, tc.kind), "%v", err)
			rows, err := p.Table.Scan(ctx, "", "", 10)
			require.NoError(t, err)
			require.Len(t, rows, 2)
		})
	}
}

// TestTableAgainstModel drives random transactions and scans against a plain map.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		p := New()
		model := map[string]backing.Row{}
		keys := rapid.StringMatching(`[ab]/[a-c]{1,2}`)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := keys.Draw(t, "key")
			have := model[key].Version
			want := max(0, have+int64(rapid.IntRange(-1, 1).Draw(t, "off")))
			if rapid.Bool().Draw(t, "delete") {
				err := p.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{backing.Delete{Key: key, IfVersion: want}}})
				require.Equal(t, want == have, err == nil)
				if err == nil {
					delete(model, key)
				}
			} else {
				err := p.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{put(key, want, "1")}})
				require.Equal(t, want == have, err == nil)
				if err == nil {
					model[key] = backing.Row{Key: key, Version: want + 1, Value: json.RawMessage("1")}
				}
			}
			prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/", "c"}).Draw(t, "prefix")
			after := rapid.SampledFrom([]string{"", key, "a/b", "b/"}).Draw(t, "after")
			limit := rapid.IntRange(0, 5).Draw(t, "limit")
			got, err := p.Table.Scan(ctx, prefix, after, limit)
			require.NoError(t, err)
			require.Equal(t, modelScan(model, prefix, after, limit), got)
		}
	})
}

func modelScan(model map[string]backing.Row, prefix, after string, limit int) []backing.Row {
	rows := []backing.Row{}
	for k, r := range model {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}

func TestRacingCommitsLoseNothing(t *testing.T) {
	ctx := context.Background()
	p := New()
	const writers, adds = 8, 50
	done := make(chan error, writers)
	for range writers {
		go func() { done <- addUp(ctx, p.Table, adds) }()
	}
	for range writers {
		require.NoError(t, <-done)
	}
	rows, err := p.Table.Read(ctx, "a", "b")
	require.NoError(t, err)
	for _, r := range rows {
		require.EqualValues(t, writers*adds, r.Version)
		require.Equal(t, fmt.Sprint(writers*adds), string(r.Value))
	}
}

func addUp(ctx context.Context, tb backing.Table, adds int) error {
	for adds > 0 {
		rows, err := tb.Read(ctx, "a", "b")
		if err != nil {
			return err
		}
		var ops []backing.Op
		for _, r := range rows {
			ops = append(ops, put(r.Key, r.Version, fmt.Sprint(r.Version+1)))
		}
		err = tb.Commit(ctx, backing.Tx{Ops: ops})
		if err == nil {
			adds--
		} else if !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return nil
}

func TestFaults(t *testing.T) {
	tx := backing.Tx{Ops: []backing.Op{put("a", 0, "1")}}
	for _, tc := range []struct {
		name   string
		f      Faults
		err    bool
		effect bool
	}{
		{"healthy", Faults{}, false, true},
		{"down", Faults{Down: true}, true, false},
		{"frozen", Faults{Freeze: true}, true, false},
		{"slow", Faults{Slow: time.Second}, false, true},
		{"too slow to take effect in time", Faults{Slow: 10 * time.Second}, true, false},
		{"too slow to answer in time", Faults{Slow: 3 * time.Second}, true, true},
		{"answer lost", Faults{Lose: 1}, true, true},
		{"always down by chance", Faults{Odds: Odds{Down: 1}}, true, false},
		{"always lost by chance", Faults{Odds: Odds{Lose: 1}}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New()
				p.SetFaults(tc.f)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				err := p.Table.Commit(ctx, tx)
				require.Equal(t, tc.err, fault.Is(err, fault.StoreDown), "%v", err)
				p.SetFaults(Faults{})
				rows, err := p.Table.Read(context.Background(), "a")
				require.NoError(t, err)
				require.Equal(t, tc.effect, rows[0].Version == 1)
				require.Equal(t, Counts{Reads: 1, Writes: 1, Rows: 1, Puts: rows[0].Version}, p.Counts(ServiceTable))
			})
		})
	}
}
