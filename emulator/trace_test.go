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

// sink keeps log lines.
type sink struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *sink) Sync() error { return nil }

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// logged runs a small world whose log lines are kept, as a daemon writes them, and returns what a trace of the job says.
func logged(t *testing.T, seed uint64, what func(w *Cluster) work.ID) (story string, id work.ID) {
	t.Helper()
	emptyPools()
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zapcore.InfoLevel)
		w := New(context.Background(), Small, seed, zap.New(core))
		defer synctest.Wait()
		defer w.Close()
		for _, name := range w.Daemons() {
			w.Start(name)
		}
		time.Sleep(4 * time.Second)
		id = what(w)
		time.Sleep(12 * time.Second)
		var b bytes.Buffer
		require.NoError(t, logs.Trace(strings.NewReader(out.text()), &b, string(id)))
		story = b.String()
	})
	return story, id
}

// A caller was refused: the line of the job says by which daemon, under which configuration, and why.
func TestWalkFromARefusedJobToItsCause(t *testing.T) {
	story, _ := logged(t, 1, func(w *Cluster) work.ID {
		w.Store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Second)
		wj, j := w.NewBatchJob(batch)
		id := w.Submit("s0", wj, j)
		time.Sleep(2 * time.Second)
		w.Store.SetFaults(standin.StoreFaults{})
		return id
	})
	require.Contains(t, story, "refused")
	require.Contains(t, story, "status 503")
	require.Contains(t, story, "accepted") // once the store was back
}

// A job was late: the lines of its tasks name the runner on which they stood still.
func TestWalkFromALateJobToItsCause(t *testing.T) {
	story, id := logged(t, 2, func(w *Cluster) work.ID {
		for _, r := range w.Runners() {
			w.SetRunnerFaults(r, standin.RunnerFaults{StallRuns: true})
		}
		wj, j := w.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 600, CPU: 1000})
		id := w.Submit("s0", wj, j)
		time.Sleep(4 * time.Second)
		for _, r := range w.Runners() {
			w.SetRunnerFaults(r, standin.RunnerFaults{})
		}
		return id
	})
	require.Contains(t, story, "stands still")
	require.Contains(t, story, string(id)+".0.0.0")
	require.Contains(t, story, "i-m")
}

// A task was run again: the lines say which run was given up, on which runner, and why.
func TestWalkFromATaskRunAgainToItsCause(t *testing.T) {
	story, _ := logged(t, 3, func(w *Cluster) work.ID {
		wj, j := w.NewLongRunningJob(1, 1, 1000)
		id := w.Submit("s0", wj, j)
		time.Sleep(2 * time.Second)
		for _, r := range w.Runners() {
			if w.runners[r].r.Service == "s0" {
				w.Net.Cut([]netip.Addr{w.RunnerAddr(r)}, places(w))
			}
		}
		time.Sleep(7 * time.Second)
		w.Net.Heal()
		return id
	})
	require.Contains(t, story, "run given up")
	require.Contains(t, story, "its runner is silent and the lease is over")
}

func TestMetricsTellWhatWasDone(t *testing.T) {
	play(t, Small, 9, func(t *testing.T, w *Cluster) {
		flow(w, "s0", 10, 3*time.Second, batch)
		time.Sleep(3 * time.Second)
		n := w.daemons[w.Leader("s0")]
		resp, err := w.http.Get("http://" + netip.AddrPortFrom(n.at, portReady).String() + "/metrics")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		for _, name := range []string{
			"gypsumlead_starts_total", "gypsumlead_ends_total", "gypsumlead_calls_total", "gypsumlead_answers_total",
			"gypsumlead_seats_term", "gypsumlead_jobs_waiting", "gypsumlead_log_lost_total",
		} {
			require.Contains(t, string(data), name)
		}
	})
}

func TestLinesAreJSON(t *testing.T) {
	var b bytes.Buffer
	l, err := logs.New("info", &b)
	require.NoError(t, err)
	l.Info("job", zap.String("job", "x"))
	l.Close()
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.Equal(t, "x", line["job"])
}
