package emulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// entryLike returns the entry of a runner of s0, with changes.
func entryLike(c *Cluster, changes map[string]any) string {
	value := c.runners[runnersOf(c, "s0")[0]].runner.Heartbeat(1, "ready")
	maps.Copy(value, changes)
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // values of tests always encode
	}
	return string(b)
}

// One odd entry of another writer must not end a daemon, keep it from following the list, or cost a task its run.
func TestOddRunnerEntryStopsAService(t *testing.T) {
	const huge = int64(1<<63 - 1)
	labels := slices.Repeat([]string{"x"}, 10_000)
	soon := func() int64 { return time.Now().UnixMilli() + 1000 }
	for _, tc := range []struct {
		name  string
		value func(c *Cluster) string
	}{
		{"not JSON", func(*Cluster) string { return "\xff\x00{" }},
		{"deeply nested", func(*Cluster) string { return strings.Repeat(`{"Service":[`, 20_000) }},
		{"number beyond all types", func(c *Cluster) string {
			return strings.Replace(entryLike(c, nil), `"SeqNo":1`, `"SeqNo":1e999`, 1)
		}},
		{"capacity whose sums overflow", func(c *Cluster) string {
			return entryLike(c, map[string]any{"Machine": "odd", "Capacity": map[string]any{"Cpu": huge, "MemMb": huge, "Gpus": huge}})
		}},
		{"negative capacity", func(c *Cluster) string {
			return entryLike(c, map[string]any{"Machine": "odd", "Capacity": map[string]any{"Cpu": -huge, "MemMb": -huge}})
		}},
		{"born in a distant future", func(c *Cluster) string { return entryLike(c, map[string]any{"born": huge}) }},
		{"port out of range", func(c *Cluster) string {
			return entryLike(c, map[string]any{"Machine": "odd", "Address": "10.2.0.1:70000"})
		}},
		{"no port", func(c *Cluster) string {
			return entryLike(c, map[string]any{"Machine": "odd", "Address": "10.2.0.1:0"})
		}},
		{"labels of a whole row", func(c *Cluster) string { return entryLike(c, map[string]any{"Machine": "odd", "Labels": labels}) }},
		{"service that nobody configured", func(c *Cluster) string { return entryLike(c, map[string]any{"Service": "odd", "born": soon()}) }},
		{"state that isn't named", func(c *Cluster) string { return entryLike(c, map[string]any{"State": "odd", "born": soon()}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, Small, 94, func(t *testing.T, c *Cluster) {
				wire, job := c.NewLongRunningJob(4, 1, 3000)
				c.Submit("s0", wire, job)
				submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
				c.Store.PutBytes("servers", "odd", []byte(tc.value(c)))
				submitEvenly(c, "s0", 20, 5*time.Second, batchShape)
				c.DrainRunner(runnersOf(c, "s0")[1], 8*time.Second)
				time.Sleep(time.Second)
				var ids []work.ID
				for range 10 {
					wire, job := c.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 2, MeanMS: 500, CPU: 2000})
					ids = append(ids, c.Submit("s0", wire, job))
				}
				time.Sleep(5 * time.Second)
				for _, id := range ids {
					require.Equal(t, work.Done, c.State(id))
				}
			})
		})
	}
}
