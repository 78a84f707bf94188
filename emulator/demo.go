package emulator

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
)

// Times of the demonstration.
const (
	demoSettle = 4 * time.Second  // until the daemons have shared the services out
	demoEnd    = 12 * time.Second // until everything that was accepted has ended
	demoGap    = 250 * time.Millisecond
	demoWave   = 25 * time.Second
)

// DemoResult is what the demonstration prints.
type DemoResult struct {
	Submitted     int      `json:"asked"`
	Accepted      int      `json:"accepted"`
	Done          int      `json:"done"`
	Failed        int      `json:"failed"`
	MedianLatency string   `json:"median"`
	MaxLatency    string   `json:"worst"`
	Starts        int      `json:"starts"`
	WaveDone      bool     `json:"wave"`
	Violations    []string `json:"broken"`
}

// Demo plays a day in real time: jobs of two services, a task set that lasts, a wave, a holder that is
// killed and one that is stopped. It prints one JSON line, and fails where a promise was broken.
func Demo(ctx context.Context, out io.Writer, seed uint64, duration time.Duration) error {
	w := New(ctx, Small, seed, zap.NewNop())
	defer w.Close()
	for _, name := range w.Daemons() {
		w.Start(name)
	}
	w.sleep(demoSettle)
	w.demoDay(duration)
	w.sleep(demoEnd)
	s := w.shown()
	if err := json.NewEncoder(out).Encode(s); err != nil {
		return fault.Wrap(fault.Internal, err, "print what was shown")
	}
	if len(s.Violations) > 0 || !s.WaveDone {
		return fault.New(fault.InvariantViolated, "%d promises were broken", len(s.Violations))
	}
	return ctx.Err()
}

// demoDay is the load and the troubles of the demonstration.
func (w *Cluster) demoDay(duration time.Duration) {
	shape := JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: 2000, FailingShare: 0.05}
	wj, j := w.NewLongRunningJob(3, 1, 3000)
	w.Submit(serviceName(0), wj, j)
	w.RequestWave(1, append(w.Machines.Names(serviceName(0)), w.Machines.Names(serviceName(1))...), 2, demoWave)
	steps := int(duration / demoGap)
	victim := ""
	for i := range steps {
		wj, j := w.NewBatchJob(shape)
		w.Submit(serviceName(i%w.size.Services), wj, j)
		switch i {
		case steps / 3:
			victim = w.Leader(serviceName(0))
			w.Kill(victim)
		case steps / 2:
			w.Start(victim)
			w.UpdateConfig()
		case 2 * steps / 3:
			name := w.Leader(serviceName(1))
			w.wg.Go(func() {
				w.Stop(name)
				w.Start(name)
			})
		}
		if !w.sleep(demoGap) {
			return
		}
	}
	for range int(demoWave / time.Second) {
		if w.WaveDone(1) || !w.sleep(time.Second) {
			return
		}
	}
}

func (w *Cluster) shown() DemoResult {
	t := w.Stats()
	s := DemoResult{
		Submitted: t.Submitted, Accepted: t.Accepted, Done: t.Done, Failed: t.Failed,
		MedianLatency: t.MedianLatency.Round(time.Millisecond).String(), MaxLatency: t.MaxLatency.Round(time.Millisecond).String(),
		WaveDone: w.WaveDone(1),
	}
	s.Starts, _ = w.Checker.RunCounts()
	s.Violations = append([]string{}, w.Checker.Verify(w.State)...)
	s.Violations = append(s.Violations, w.Violations()...)
	return s
}
