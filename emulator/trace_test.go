package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gypsumlead/logs"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// logBuffer is a zap sink that keeps the log lines in memory.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *logBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *logBuffer) Sync() error { return nil }

func (s *logBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// traceJob runs a scenario on a small cluster whose log lines are kept in the daemons' format, and returns the trace of
// the job that the scenario returns.
func traceJob(t *testing.T, seed uint64, scenario func(c *Cluster) work.ID) (trace string, id work.ID) {
	t.Helper()
	drainSyncPools()
	synctest.Test(t, func(t *testing.T) {
		out := &logBuffer{}
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zapcore.InfoLevel)
		c := New(context.Background(), Small, seed, zap.New(core))
		defer synctest.Wait()
		defer c.Close()
		for _, name := range c.Daemons() {
			c.Start(name)
		}
		time.Sleep(4 * time.Second)
		id = scenario(c)
		time.Sleep(12 * time.Second)
		var b bytes.Buffer
		require.NoError(t, logs.Trace(strings.NewReader(out.text()), &b, string(id)))
		trace = b.String()
	})
	return trace, id
}

// The trace of a refused job shows which daemon refused it, under which configuration and why.
func TestTraceOfRefusedJob(t *testing.T) {
	trace, _ := traceJob(t, 1, func(c *Cluster) work.ID {
		c.Store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Second)
		wire, job := c.NewBatchJob(batchShape)
		id := c.Submit("s0", wire, job)
		time.Sleep(2 * time.Second)
		c.Store.SetFaults(standin.StoreFaults{})
		return id
	})
	require.Contains(t, trace, "refused")
	require.Contains(t, trace, "status 503")
	require.Contains(t, trace, "accepted") // when the store was available again
}

// The trace of a late job names the runner on which its tasks stalled.
func TestTraceOfLateJob(t *testing.T) {
	trace, id := traceJob(t, 2, func(c *Cluster) work.ID {
		for _, runner := range c.Runners() {
			c.SetRunnerFaults(runner, standin.RunnerFaults{StallRuns: true})
		}
		wire, job := c.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 600, CPU: 1000})
		id := c.Submit("s0", wire, job)
		time.Sleep(4 * time.Second)
		for _, runner := range c.Runners() {
			c.SetRunnerFaults(runner, standin.RunnerFaults{})
		}
		return id
	})
	require.Contains(t, trace, "stands still")
	require.Contains(t, trace, string(id)+".0.0.0")
	require.Contains(t, trace, "i-m")
}

// The trace of a task that was started again shows which run was abandoned, on which runner and why.
func TestTraceOfRestartedTask(t *testing.T) {
	trace, _ := traceJob(t, 3, func(c *Cluster) work.ID {
		wire, job := c.NewLongRunningJob(1, 1, 1000)
		id := c.Submit("s0", wire, job)
		time.Sleep(2 * time.Second)
		for _, runner := range c.Runners() {
			if c.runners[runner].runner.Service == "s0" {
				cut(c, []netip.Addr{c.RunnerAddr(runner)}, daemonAddrs(c))
			}
		}
		time.Sleep(7 * time.Second)
		c.Net.Heal()
		return id
	})
	require.Contains(t, trace, "run given up")
	require.Contains(t, trace, "its runner is silent and the lease is over")
}

func TestMetricsEndpoint(t *testing.T) {
	runScenario(t, Small, 9, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
		time.Sleep(3 * time.Second)
		node := c.daemons[c.Leader("s0")]
		resp, err := c.http.Get("http://" + netip.AddrPortFrom(node.addr, portReady).String() + "/metrics")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		for _, name := range []string{
			"gypsumlead_starts_total", "gypsumlead_ends_total", "gypsumlead_calls_total", "gypsumlead_answers_total",
			"gypsumlead_seats_term", "gypsumlead_jobs_waiting", "gypsumlead_log_lost_total", "gypsumlead_config_version", "gypsumlead_config_age_seconds",
		} {
			require.Contains(t, string(data), name)
		}
	})
}

func TestLogLinesAreJSON(t *testing.T) {
	var b bytes.Buffer
	l, err := logs.New("info", &b)
	require.NoError(t, err)
	l.Info("job", zap.String("job", "x"))
	l.Close()
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.Equal(t, "x", line["job"])
}
