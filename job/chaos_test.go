package job_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/job"
	jobtrial "gypsumlead/trial/job"
)

// chaos plays a workload with kills and pauses of holders, lost answers, outages of table and
// workers, workers that fall silent and run on, racks that die, and workers that fail everything.
type chaos struct {
	t      *testing.T
	w      *jobtrial.World
	rnd    *rand.Rand
	opts   []job.Option
	procs  []*mortal
	silent map[string]backing.Worker
	depth  int
	mends  []mend
}

// mend ends a fault at a time.
type mend struct {
	at time.Time
	do func()
}

func newChaos(t *testing.T, seed uint64, span time.Duration, y job.Policy) *chaos {
	sc := jobtrial.Scale{
		Name: "chaos", Pools: 1, Workers: chaosWorkers, Teams: 3, Span: span,
		Size: backing.Size{Cores: 16, Memory: 64 << 30},
	}
	c := &chaos{t: t, rnd: rand.New(rand.NewPCG(seed, 3)), opts: []job.Option{job.WithPolicy(y)}, silent: map[string]backing.Worker{}}
	c.w = jobtrial.NewWorld(sc, "pool", seed, 0)
	for range 3 {
		c.spawn()
	}
	return c
}

// shortLeases makes leases end within the faults of a run.
func shortLeases() job.Policy {
	y := job.DefaultPolicy()
	y.Lease, y.Renew = 90*time.Second, 20*time.Second
	return y
}

func (c *chaos) spawn() {
	m := newMortal(c.w)
	c.procs = append(c.procs, m)
	c.w.AddHolder(m, m, c.opts...)
}

// tick runs one step of all processes; only a breach fails the test, errors of outages are met by the next step.
func (c *chaos) tick() {
	err := c.w.Tick(context.Background())
	if err != nil {
		require.False(c.t, fault.Is(err, fault.Breach) || fault.Is(err, fault.Internal), "%v", err)
	}
	for i, m := range c.procs {
		if m.dead {
			n := newMortal(c.w)
			c.procs[i] = n
			c.w.AddHolder(n, n, c.opts...)
			last := len(c.w.Holders) - 1
			c.w.Holders[i], c.w.Holders[last] = c.w.Holders[last], c.w.Holders[i]
			c.w.Retire()
		}
	}
	now := c.w.Clock.Now()
	for i := 0; i < len(c.mends); i++ {
		if now.After(c.mends[i].at) {
			c.mends[i].do()
			c.mends = append(c.mends[:i], c.mends[i+1:]...)
			i--
		}
	}
}

func (c *chaos) later(d time.Duration, do func()) {
	c.mends = append(c.mends, mend{c.w.Clock.Now().Add(d), do})
}

func (c *chaos) member() string {
	return c.w.Members()[c.rnd.IntN(len(c.w.Members()))]
}

func (c *chaos) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rnd.Int64N(int64(high-low)))
}

// misfortune makes at most one thing go wrong.
func (c *chaos) misfortune() {
	switch c.rnd.IntN(250) {
	case 0:
		c.kill()
	case 1:
		c.pause()
	case 2:
		c.w.Truth.SetFaults(standin.Faults{Down: true}, standin.ServiceTable)
		c.later(c.between(5*time.Second, 60*time.Second), func() { c.w.Truth.SetFaults(standin.Faults{}, standin.ServiceTable) })
	case 3:
		c.w.Truth.SetFaults(standin.Faults{Down: true}, standin.ServiceWorkers)
		c.later(c.between(5*time.Second, 60*time.Second), func() { c.w.Truth.SetFaults(standin.Faults{}, standin.ServiceWorkers) })
	case 4:
		odds := standin.Odds{Down: 0.02, Lose: 0.05}
		c.w.Truth.SetFaults(standin.Faults{Odds: odds}, standin.ServiceTable, standin.ServiceWorkers)
		c.later(c.between(10*time.Second, 60*time.Second), func() {
			c.w.Truth.SetFaults(standin.Faults{}, standin.ServiceTable, standin.ServiceWorkers)
		})
	case 5:
		c.fallSilent(c.member())
	case 6:
		id := c.member()
		_ = c.w.Truth.Kill(id)
		c.later(c.between(20*time.Second, 3*time.Minute), func() { _, _ = c.w.Truth.Revive(id) })
	case 7:
		i := c.rnd.IntN(chaosWorkers)
		c.w.Break(i, true)
		c.later(c.between(time.Minute, 5*time.Minute), func() { c.w.Break(i, false) })
	}
}

func (c *chaos) kill() {
	c.procs[c.rnd.IntN(len(c.procs))].fuse = 1 + c.rnd.IntN(40)
}

// pause stops a process right before a start; the others go on and may take over, and then
// the start is sent.
func (c *chaos) pause() {
	i := c.rnd.IntN(len(c.procs))
	span := c.between(time.Second, 3*time.Minute)
	c.procs[i].pause = func() {
		if c.depth > 0 {
			return
		}
		c.depth++
		h := c.w.Holders[i]
		h.Paused = true
		for end := c.w.Clock.Now().Add(span); c.w.Clock.Now().Before(end); {
			c.misfortune()
			c.tick()
		}
		h.Paused = false
		c.depth--
	}
}

// fallSilent makes the platform hear nothing more of a worker, whose tasks run on.
func (c *chaos) fallSilent(id string) {
	i, err := c.w.Truth.Instance(id)
	if err != nil || c.silent[id].ID != "" || i.State != backing.StateLive {
		return
	}
	w := backing.Worker{Instance: i, Total: backing.Size{Cores: 16, Memory: 64 << 30}}
	c.silent[id] = w
	c.w.Truth.Heartbeat(i)
	c.later(c.between(40*time.Second, 4*time.Minute), func() {
		delete(c.silent, id)
		now, err := c.w.Truth.Instance(id)
		if err != nil {
			return
		}
		w.Instance = now // it beats again, perhaps under another boot by now
		if now.State == backing.StateLive {
			w.Seen = c.w.Clock.Now()
		}
		c.w.Truth.PutWorker(w)
	})
}

// run plays the workload for span, with misfortunes if calm is to follow, and then for calm without.
func (c *chaos) run(span, calm time.Duration) jobtrial.Result {
	for c.w.Elapsed() < span {
		if calm > 0 {
			c.misfortune()
		}
		c.tick()
	}
	for range 1000 { // ends every fault
		if len(c.mends) == 0 {
			break
		}
		c.tick()
	}
	end := c.w.Clock.Now().Add(calm)
	for c.w.Clock.Now().Before(end) {
		c.tick()
	}
	return c.w.Result()
}

const chaosWorkers = 6

const chaosShort = 3 * time.Minute

// long returns the seeds and the spans: few and short in CI, more by the environment variable SEEDS.
func long() (uint64, time.Duration, time.Duration) {
	n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64)
	if err != nil {
		return 1, chaosShort, 16 * time.Minute
	}
	return n, 15 * time.Minute, 30 * time.Minute
}

func TestInvariantsHoldUnderChaos(t *testing.T) {
	seeds, span, calm := long()
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newChaos(t, seed, span, shortLeases())
			r := c.run(span, calm)
			t.Logf("seed %d: starts %d doubled %d again %d quarantines right %d wrong %d caught %d/%d accused %d wasted %.1f", seed,
				r.Starts, r.Doubled, r.Again, r.Right, r.Wrong, r.Caught, r.Broken, r.Accused, r.Wasted)
			require.Zero(t, r.Doubled, "tries of one task ran at once")
			require.Zero(t, r.Accused, "good jobs were stopped")
			require.Zero(t, r.Wrong, "good workers were quarantined")
			require.Positive(t, r.Starts)
			require.Empty(t, c.w.Open(), "jobs that didn't end after the faults")
		})
	}
}

func TestTasksOfASilentWorkerStartElsewhereOnlyWhenTheirLeasesHaveEnded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		noLapse bool
	}{
		{"waiting for the lease", false},
		{"starting at once", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			y := shortLeases()
			y.NoLapse = tc.noLapse
			c := newChaos(t, 1, time.Minute, y)
			c.run(time.Minute, 0)
			for _, id := range c.w.Members()[:chaosWorkers/2] {
				c.fallSilent(id)
			}
			for range 360 {
				c.tick()
			}
			r := c.w.Result()
			t.Logf("seed 1: starts %d doubled %d", r.Starts, r.Doubled)
			require.Equal(t, tc.noLapse, r.Doubled > 0)
		})
	}
}

func TestTasksRunOnWhileTheTableIsDown(t *testing.T) {
	for _, tc := range []struct {
		name string
		y    job.Policy
		cut  bool
	}{
		{"leases of 10 minutes", job.DefaultPolicy(), false},
		{"leases of 90 seconds", shortLeases(), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.y.NoDisplace = true
			c := newChaos(t, 1, time.Hour, tc.y)
			c.run(2*time.Minute, 0)
			c.w.Truth.SetFaults(standin.Faults{Down: true}, standin.ServiceTable)
			for range 600 {
				c.tick()
			}
			cut := 0
			for _, id := range c.w.Members() {
				for _, r := range c.w.Truth.Tasks(id) {
					if r.State == backing.TaskStopped {
						cut++
					}
				}
			}
			t.Logf("seed 1: %d tasks stopped in 5 minutes without the table", cut)
			require.Equal(t, tc.cut, cut > 0)
		})
	}
}
