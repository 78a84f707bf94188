package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

func TestListLagsAndNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := New(WithLag(3 * time.Second))
		p.PutInstance(backing.Instance{ID: "r1", Role: backing.RoleRunner})
		list, err := p.Instances.List(ctx)
		require.NoError(t, err)
		require.Empty(t, list)
		time.Sleep(3 * time.Second)
		require.NoError(t, p.Instances.Drain(ctx, "r1", "r1-1"))
		require.Equal(t, backing.StateLive, state(t, p, "r1"))
		time.Sleep(3 * time.Second)
		require.Equal(t, backing.StateLeaving, state(t, p, "r1"))
		p.SetLag(time.Minute)
		require.Equal(t, backing.StateLeaving, state(t, p, "r1"))
	})
}

func state(t *testing.T, p *Platform, id string) backing.State {
	t.Helper()
	list, err := p.Instances.List(t.Context())
	require.NoError(t, err)
	for _, i := range list {
		if i.ID == id {
			return i.State
		}
	}
	return ""
}

func TestRebootHitsOnlyTheBootAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		var hooked []string
		p := New(WithBootTime(time.Minute), WithRebootHook(func(i backing.Instance) { hooked = append(hooked, i.Boot) }))
		p.PutInstance(backing.Instance{ID: "r1"})
		require.NoError(t, p.Instances.Reboot(ctx, backing.Reboot{Instance: "r1", Boot: "r1-1"}))
		late := p.Instances.Reboot(ctx, backing.Reboot{Instance: "r1", Boot: "r1-1"})
		require.True(t, fault.Is(late, fault.Fenced))
		require.Equal(t, []string{"r1-2"}, hooked)
		require.Equal(t, backing.StateLeaving, state(t, p, "r1"))
		list, err := p.Instances.List(ctx)
		require.NoError(t, err)
		require.Equal(t, "r1-1", list[0].Boot, "a boot that is still coming up is not listed as leaving")
		time.Sleep(time.Minute)
		require.Equal(t, backing.StateLive, state(t, p, "r1"))
		require.True(t, fault.Is(p.Instances.Drain(ctx, "r1", "r1-1"), fault.Fenced))
		require.True(t, fault.Is(p.Instances.Drain(ctx, "r9", "r9-1"), fault.Missing))
	})
}

func TestHeartbeatTellsTheNewBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := New()
		i := p.Heartbeat(backing.Instance{ID: "r1", Boot: "x"})
		require.Equal(t, "x", i.Boot)
		require.NoError(t, p.Instances.Reboot(ctx, backing.Reboot{Instance: "r1", Boot: "x"}))
		i = p.Heartbeat(i)
		require.Equal(t, "r1-2", i.Boot)
		require.Equal(t, backing.StateLeaving, i.State)
		require.Equal(t, backing.StateLive, p.Heartbeat(i).State)
	})
}

func TestKilledInstanceIsNotSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		p.PutInstance(backing.Instance{ID: "r1"})
		time.Sleep(time.Second)
		died := time.Now()
		require.NoError(t, p.Kill("r1"))
		time.Sleep(time.Second)
		list, err := p.Instances.List(context.Background())
		require.NoError(t, err)
		require.True(t, list[0].Seen.Equal(died))
		i, err := p.Revive("r1")
		require.NoError(t, err)
		require.Equal(t, backing.StateLive, i.State)
		require.Equal(t, "r1-2", i.Boot)
	})
}
