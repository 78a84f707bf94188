package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// newRackPool returns a pool of three racks with two runners of 4 cores each, in which tasks are twice as slow away from
// their rack. Rack rack0 has r0 and r1, rack1 has r2 and r3, rack2 has r4 and r5.
func newRackPool(t *testing.T) *fakePool {
	f := newFakePool(t, 6, 4)
	f.pool.remoteFactor = 2
	return f
}

// near returns a step of tasks of 4 cores and a second that belong in a rack.
func near(rack string, count int) work.Step {
	s := stepOf(count, 4000)
	s.PreferredRack = rack
	return s
}

// fill starts tasks on both runners of rack0 and lets them report progress after a time.
func (f *fakePool) fill(after time.Duration, percent int) work.ID {
	id := f.accept("f", testQueue, near("rack0", 2))
	f.advance(0)
	require.Equal(f.t, "rack0", f.runners[f.runnerOf(taskOf(id, 0, 0))].info.Labels[1])
	f.advance(after / 2)
	for i := range 2 {
		f.setProgress(taskOf(id, 0, i), percent, 0)
	}
	f.advance(after / 2)
	return id
}

func (f *fakePool) finish(t work.Task) { f.endRun(f.runnerOf(t), t, work.EndDone) }

// A hot rack: tasks that a run's end lets start soon wait for it, one for each end; the third would wait too long and goes.
// Neither a task behind them nor the pool's demand for machines is affected.
func TestTasksWaitForHotRackInOrder(t *testing.T) {
	f := newRackPool(t)
	filler := f.fill(800*time.Millisecond, 80)
	hot := f.accept("a", testQueue, near("rack0", 3))
	behind := f.accept("b", testQueue, near("rack1", 1))
	f.advance(0)
	require.Empty(t, f.runnerOf(taskOf(hot, 0, 0)))
	require.Empty(t, f.runnerOf(taskOf(hot, 0, 1)))
	require.Contains(t, []string{"r2", "r3", "r4", "r5"}, f.runnerOf(taskOf(hot, 0, 2)), "two ends can't serve three tasks")
	require.NotEmpty(t, f.runnerOf(taskOf(behind, 0, 0)))
	require.Zero(t, f.pool.Demand(f.now, f.now).Waiting)
	require.False(t, f.pool.hasWaitingTasks())
	require.Empty(t, f.pool.reserved)
	waits := f.pool.RackWaits(hot)
	require.Len(t, waits, 2)
	require.Equal(t, "rack0", waits[0].Rack)
	require.Equal(t, f.now.Add(time.Second), waits[0].Latest)

	f.finish(taskOf(filler, 0, 0))
	f.finish(taskOf(filler, 0, 1))
	f.advance(200 * time.Millisecond)
	require.Contains(t, []string{"r0", "r1"}, f.runnerOf(taskOf(hot, 0, 0)))
	require.Contains(t, []string{"r0", "r1"}, f.runnerOf(taskOf(hot, 0, 1)))
	require.Equal(t, RackWaits{Begun: 2, InPlace: 2, Waited: 400 * time.Millisecond}, f.pool.Stats(f.now).RackWaits)
}

// A rack that fills and empties: a task goes elsewhere while the rack is full for long, and starts in it when it is empty.
func TestTaskGoesElsewhereOnlyWhileRackIsFull(t *testing.T) {
	f := newRackPool(t)
	filler := f.fill(400*time.Millisecond, 10)
	far := f.accept("a", testQueue, near("rack0", 1))
	f.advance(0)
	require.Contains(t, []string{"r2", "r3", "r4", "r5"}, f.runnerOf(taskOf(far, 0, 0)))
	f.finish(taskOf(filler, 0, 0))
	f.finish(taskOf(filler, 0, 1))
	f.advance(50 * time.Millisecond)
	home := f.accept("b", testQueue, near("rack0", 2))
	f.advance(0)
	require.Contains(t, []string{"r0", "r1"}, f.runnerOf(taskOf(home, 0, 0)))
	require.Zero(t, f.pool.Stats(f.now).RackWaits)
}

// Waiting for a rack that can't come back in time would hold a task for nothing: it ends in the next plan.
func TestWaitEndsWithRack(t *testing.T) {
	for name, lose := range map[string]func(*fakePool, string){
		"unresponsive":    func(f *fakePool, id string) { f.runners[id].silent = true },
		"evacuating":      func(f *fakePool, id string) { f.pool.SetEvacuating(id, true) },
		"maintenance due": func(f *fakePool, id string) { f.pool.SetMaintenanceDue(id, true) },
		"draining": func(f *fakePool, id string) {
			f.runners[id].info.Draining = true
			f.pool.UpdateRunner(f.now, f.runners[id].info)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRackPool(t)
			f.fill(800*time.Millisecond, 80)
			task := taskOf(f.accept("a", testQueue, near("rack0", 1)), 0, 0)
			f.advance(0)
			require.Empty(t, f.runnerOf(task))
			lose(f, "r0")
			lose(f, "r1")
			f.advance(50 * time.Millisecond)
			require.Contains(t, []string{"r2", "r3", "r4", "r5"}, f.runnerOf(task))
			require.Equal(t, int64(1), f.pool.Stats(f.now).RackWaits.Elsewhere)
		})
	}
}

// Runs that take much longer than expected mustn't hold a task beyond what its rack can save, (factor-1) x its run time, nor
// for 3 s, after which a job that could start counts as lost.
func TestTotalWaitIsBounded(t *testing.T) {
	testTotalWait(t, 2, time.Second, 100*time.Millisecond)
	testTotalWait(t, 8, 2500*time.Millisecond, 250*time.Millisecond)
}

// testTotalWait checks that a task waits for a rack whose runs don't end no longer than want, and at most early less.
func testTotalWait(t *testing.T, factor float64, want, early time.Duration) {
	f := newRackPool(t)
	f.pool.remoteFactor = factor
	filler := f.fill(800*time.Millisecond, 80)
	task := taskOf(f.accept("a", testQueue, near("rack0", 1)), 0, 0)
	begun := f.now
	f.advance(0)
	for i := 0; f.runnerOf(task) == "" && i < 100; i++ {
		for j := range 2 {
			f.setProgress(taskOf(filler, 0, j), 90+i%9, 0)
		}
		f.advance(50 * time.Millisecond)
	}
	require.Contains(t, []string{"r2", "r3", "r4", "r5"}, f.runnerOf(task))
	waited := f.now.Sub(begun)
	require.InDelta(t, want, waited, float64(early))
	require.LessOrEqual(t, waited, want)
	require.Equal(t, waited, f.pool.Stats(f.now).RackWaits.Waited)
}

// A step that belongs in one rack was spread over two as soon as one rack couldn't hold all of it. Its tasks gather in
// one; a gang, which can't start in parts, waits for a whole rack.
func TestSameRackStepGathersAndGangWaits(t *testing.T) {
	for name, gang := range map[string]bool{"step": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			f := newRackPool(t)
			filler := f.accept("f", testQueue, near("rack0", 1), near("rack1", 1), near("rack2", 1))
			f.advance(0)
			f.advance(400 * time.Millisecond)
			for step := range 3 {
				f.setProgress(taskOf(filler, step, 0), 80, 0)
			}
			f.advance(400 * time.Millisecond)
			group := stepOf(2, 4000)
			group.SameRack, group.Gang = true, gang
			id := f.accept("a", testQueue, group)
			f.advance(0)
			first := f.runnerOf(taskOf(id, 0, 0))
			require.Equal(t, gang, first == "")
			require.Empty(t, f.runnerOf(taskOf(id, 0, 1)))
			f.finish(taskOf(filler, 0, 0))
			f.finish(taskOf(filler, 1, 0))
			f.advance(200 * time.Millisecond)
			rackOf := func(i int) string { return f.runners[f.runnerOf(taskOf(id, 0, i))].info.Labels[1] }
			require.Equal(t, rackOf(0), rackOf(1))
		})
	}
}

// What decides, by itself: the margin for wrong expectations, the objective, the crowd and the limit.
func TestRackChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	base := rackChoice{now: now, room: now.Add(500 * time.Millisecond), local: time.Second, factor: 2, latest: now.Add(time.Second), objective: now.Add(time.Hour)}
	for name, tc := range map[string]struct {
		change func(*rackChoice)
		waits  bool
	}{
		"room soon":                          {func(*rackChoice) {}, true},
		"room nearly too late":               {func(c *rackChoice) { c.room = now.Add(700 * time.Millisecond) }, false},
		"the same, but others need the room": {func(c *rackChoice) { c.room, c.crowded = now.Add(700*time.Millisecond), true }, true},
		"others need it, room far too late":  {func(c *rackChoice) { c.room, c.crowded = now.Add(2*time.Second), true }, false},
		"has waited long enough":             {func(c *rackChoice) { c.latest, c.crowded = now, true }, false},
		"little time left to wait":           {func(c *rackChoice) { c.latest = now.Add(400 * time.Millisecond) }, false},
		"three times as slow elsewhere":      {func(c *rackChoice) { c.room, c.factor, c.latest = now.Add(time.Second), 3, now.Add(2*time.Second) }, true},
		"objective met by going, not for sure": {func(c *rackChoice) {
			c.room, c.crowded, c.objective = now.Add(900*time.Millisecond), true, now.Add(2100*time.Millisecond)
		}, false},
		"objective missed by going": {func(c *rackChoice) { c.objective = now.Add(1900 * time.Millisecond) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := base
			tc.change(&c)
			require.Equal(t, tc.waits, c.wait())
		})
	}
}

// Where the platform has no factor, where the store can't take placements and under a new leader, tasks go at once as before.
func TestTasksGoAtOnceAsBefore(t *testing.T) {
	for name, set := range map[string]func(*fakePool, work.ID){
		"no factor":    func(f *fakePool, _ work.ID) { f.pool.remoteFactor = 0 },
		"factor of 1":  func(f *fakePool, _ work.ID) { f.pool.remoteFactor = 1 },
		"new leader":   func(f *fakePool, id work.ID) { f.pool.jobs[id].inherited = true },
		"another rule": func(f *fakePool, _ work.ID) { f.pool.strategy = GoAtOnce },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRackPool(t)
			f.fill(800*time.Millisecond, 80)
			id := f.accept("a", testQueue, near("rack0", 1))
			set(f, id)
			f.advance(0)
			require.NotEmpty(t, f.runnerOf(taskOf(id, 0, 0)))
		})
	}
}

// A run away from its rack is slower because of its rack: the queue mustn't learn from it that tasks are longer than
// declared, and it isn't a straggler.
func TestRemoteRunsAreLearnedByTheirLocalTime(t *testing.T) {
	f := newRackPool(t)
	f.pool.remoteFactor = 3
	f.fill(400*time.Millisecond, 2)
	id := f.accept("a", testQueue, near("rack0", 2))
	f.pool.strategy = GoAtOnce
	f.advance(0)
	for i := range 5 {
		f.advance(600 * time.Millisecond)
		for j := range 2 {
			f.setProgress(taskOf(id, 0, j), 5+i, 0)
		}
	}
	f.finish(taskOf(id, 0, 0))
	f.advance(0)
	require.InDelta(t, 1, f.pool.estimateRatios["q"].mean, 0.01)
}
