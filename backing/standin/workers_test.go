package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

func newWorker(p *Platform) {
	p.PutWorker(backing.Worker{Instance: backing.Instance{ID: "w1"}, Total: backing.Size{Cores: 4, Memory: 100, Accels: 1}})
}

func newTestTask(id string) backing.Task {
	return backing.Task{
		ID: id, Job: "j", Worker: "w1", Boot: "w1-1", Epoch: 1,
		Size: backing.Size{Cores: 1, Memory: 10}, Until: time.Now().Add(time.Minute),
	}
}

func TestTaskLife(t *testing.T) {
	const sec = time.Second
	for _, tc := range []struct {
		name string
		pr   Profile
		bad  time.Duration
		act  backing.TaskAct // after 10 s
		want backing.TaskState
		ran  time.Duration
	}{
		{"done", Profile{Run: 30 * sec}, 0, "", backing.TaskDone, 30 * sec},
		{"lease lapses", Profile{}, 0, "", backing.TaskStopped, 60 * sec},
		{"lease renewed", Profile{}, 0, backing.ActRenew, backing.TaskRunning, 100 * sec},
		{"throttled", Profile{Run: 30 * sec}, 0, backing.ActThrottle, backing.TaskDone, 50 * sec},
		{"stopped", Profile{Run: 30 * sec}, 0, backing.ActStop, backing.TaskStopped, 10 * sec},
		{"checkpointed", Profile{Run: 30 * sec}, 0, backing.ActCheckpoint, backing.TaskSaved, 12 * sec},
		{"done before the checkpoint", Profile{Run: 11 * sec}, 0, backing.ActCheckpoint, backing.TaskDone, 11 * sec},
		{"job that can never run", Profile{Never: true}, 0, "", backing.TaskFailed, 0},
		{"job that fails late", Profile{Fail: 5 * sec}, 0, "", backing.TaskFailed, 5 * sec},
		{"worker that fails everything", Profile{Run: 30 * sec}, sec, "", backing.TaskFailed, sec},
		{"more memory than there is", Profile{Used: backing.Size{Memory: 101}}, 0, "", backing.TaskFailed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				p := New(WithSaveTime(2 * sec))
				newWorker(p)
				p.SetProfile("j", tc.pr)
				require.NoError(t, p.SetBad("w1", tc.bad))
				require.NoError(t, p.Workers.Start(ctx, newTestTask("t1")))
				time.Sleep(10 * sec)
				if tc.act != "" {
					require.NoError(t, p.Workers.Act(ctx, "t1", 1, tc.act, time.Now().Add(10*time.Minute)))
				}
				time.Sleep(90 * sec)
				got, err := p.Workers.Reports(ctx, "w1")
				require.NoError(t, err)
				require.Len(t, got, 1)
				require.Equal(t, tc.want, got[0].State)
				require.Equal(t, tc.ran, got[0].Ran)
			})
		})
	}
}

func TestWorkerRefusesLateHands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := New()
		newWorker(p)
		k := newTestTask("t1")
		k.Epoch = 2
		require.NoError(t, p.Workers.Start(ctx, k))
		require.NoError(t, p.Workers.Start(ctx, k))
		require.Len(t, p.Tasks("w1"), 1)
		old := newTestTask("t2")
		require.True(t, fault.Is(p.Workers.Start(ctx, old), fault.Fenced))
		require.True(t, fault.Is(p.Workers.Act(ctx, "t1", 1, backing.ActStop, time.Time{}), fault.Fenced))
		require.True(t, fault.Is(p.Workers.Act(ctx, "t9", 1, backing.ActStop, time.Time{}), fault.Missing))
		lapsed := newTestTask("t3")
		lapsed.Epoch, lapsed.Until = 2, time.Now()
		require.True(t, fault.Is(p.Workers.Start(ctx, lapsed), fault.Fenced))
		require.NoError(t, p.Instances.Reboot(ctx, backing.Reboot{Instance: "w1", Boot: "w1-1"}))
		require.True(t, fault.Is(p.Workers.Start(ctx, k), fault.Fenced))
		require.Equal(t, backing.TaskStopped, p.Tasks("w1")[0].State)
		require.Equal(t, 1, p.Starts("t1"))
		require.Zero(t, p.Starts("t2"))
	})
}

func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := New(WithReportLag(5 * time.Second))
		newWorker(p)
		require.NoError(t, p.Workers.Start(ctx, newTestTask("t1")))
		got, err := p.Workers.Reports(ctx, "w1")
		require.NoError(t, err)
		require.Empty(t, got)
		time.Sleep(6 * time.Second)
		require.NoError(t, p.Workers.Act(ctx, "t1", 1, backing.ActStop, time.Time{}))
		got, err = p.Workers.Reports(ctx, "w1")
		require.NoError(t, err)
		require.Equal(t, backing.TaskRunning, got[0].State)
		require.Equal(t, time.Second, got[0].Ran)
		require.Equal(t, backing.TaskStopped, p.Tasks("w1")[0].State)
	})
}
