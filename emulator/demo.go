package emulator

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/work"
)

// Times of the demo.
const (
	demoStartupTime  = 4 * time.Second  // until the daemons have divided the services among themselves
	demoCooldownTime = 12 * time.Second // until all accepted jobs have ended
	demoJobInterval  = 250 * time.Millisecond
	demoWaveTimeout  = 25 * time.Second
)

// demoCap is what the second workspace of the demo may have running: about half of what it asks for.
var demoCap = work.Resources{CPU: 8000}

// DemoResult is the result that Demo prints.
type DemoResult struct {
	Submitted     int      `json:"asked"`
	Accepted      int      `json:"accepted"`
	Done          int      `json:"done"`
	Failed        int      `json:"failed"`
	MedianLatency string   `json:"median"`
	MaxLatency    string   `json:"worst"`
	Starts        int      `json:"starts"`
	KeysServed    int      `json:"keys"`      // requests that were handled for their keys
	KeysWithdrawn int      `json:"withdrawn"` // requests refused because their keys were withdrawn
	WaveDone      bool     `json:"wave"`
	Violations    []string `json:"broken"`
}

// Demo runs a cluster in real time: jobs of two services by two workspaces, one of them with a cap, keys that are withdrawn,
// long-running tasks, a maintenance wave, a leader that is killed and a leader that is stopped. It prints a DemoResult as one
// line of JSON, and fails if an invariant was violated or the wave was not completed.
func Demo(ctx context.Context, out io.Writer, seed uint64, duration time.Duration) error {
	site := Small
	site.Workspaces = 2
	c := New(ctx, site, seed, zap.NewNop())
	defer c.Close()
	for _, name := range c.Daemons() {
		c.Start(name)
	}
	c.sleep(demoStartupTime)
	c.runDemo(duration)
	c.sleep(demoCooldownTime)
	result := c.demoResult()
	if err := json.NewEncoder(out).Encode(result); err != nil {
		return fault.Wrap(fault.Internal, err, "print the result of the demo")
	}
	if len(result.Violations) > 0 || !result.WaveDone {
		return fault.New(fault.InvariantViolated, "%d invariants were violated", len(result.Violations))
	}
	return ctx.Err()
}

// runDemo generates the load and the faults of the demo.
func (c *Cluster) runDemo(duration time.Duration) {
	shape := JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: 2000, FailingShare: 0.05}
	c.SetCap(1, demoCap)
	wire, job := c.NewLongRunningJob(3, 1, 3000)
	c.Submit(serviceName(0), wire, job)
	c.RequestWave(1, append(c.Machines.Names(serviceName(0)), c.Machines.Names(serviceName(1))...), 2, demoWaveTimeout)
	jobs := int(duration / demoJobInterval)
	victim := ""
	for i := range jobs {
		wire, job := c.NewBatchJob(shape)
		c.Submit(serviceName(i%c.size.Services), wire, job)
		switch i {
		case jobs / 3:
			victim = c.Leader(serviceName(0))
			c.Kill(victim)
		case jobs / 2:
			c.Start(victim)
			c.UpdateConfig()
		case 2 * jobs / 3:
			name := c.Leader(serviceName(1))
			c.wg.Go(func() {
				c.Stop(name)
				c.Start(name)
			})
		}
		if !c.sleep(demoJobInterval) {
			return
		}
	}
	for range int(demoWaveTimeout / time.Second) {
		if c.WaveDone(1) || !c.sleep(time.Second) {
			return
		}
	}
}

// demoResult collects the result of the demo.
func (c *Cluster) demoResult() DemoResult {
	stats := c.Stats()
	result := DemoResult{
		Submitted: stats.Submitted, Accepted: stats.Accepted, Done: stats.Done, Failed: stats.Failed,
		MedianLatency: stats.MedianLatency.Round(time.Millisecond).String(), MaxLatency: stats.MaxLatency.Round(time.Millisecond).String(),
		WaveDone: c.WaveDone(1),
	}
	result.Starts, _ = c.Checker.RunCounts()
	uses := c.Checker.KeyUses()
	result.KeysServed, result.KeysWithdrawn = uses.Served, uses.Withdrawn
	result.Violations = append([]string{}, c.Checker.Verify(c.State)...)
	result.Violations = append(result.Violations, c.Violations()...)
	return result
}
