package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
	"gypsumlead/settings"
)

// TestPeersHearOfALeavingBoot has a daemon that looks at the platform's list once an hour: what it
// knows of a boot that leaves it has from its peer.
func TestPeersHearOfALeavingBoot(t *testing.T) {
	b := newBench(t, func(*settings.Settings) {})
	b.put("texts", &record.Pool{Budget: record.Budget{Out: 1}})
	b.addRunner("runner-1", "texts")
	eyes := b.app
	require.Eventually(t, func() bool { return len(eyes.router.targets()) == 1 }, patience, time.Millisecond)
	blind := b.addEntry("entry-2", func(s *settings.Settings) { s.Sync.List = time.Hour })
	require.Eventually(t, func() bool {
		return len(blind.router.targets()) == 1 && eyes.Peers() == 1
	}, patience, time.Millisecond)

	in, err := b.platform.Instance("runner-1")
	require.NoError(t, err)
	require.NoError(t, b.platform.Instances.Drain(t.Context(), in.ID, in.Boot))
	start := time.Now()
	leaving := func(a *App) bool {
		all := a.router.targets()
		return len(all) == 1 && all[0].Leaving
	}
	require.Eventually(t, func() bool { return leaving(eyes) }, patience, time.Millisecond)
	seen := time.Now()
	require.Eventually(t, func() bool { return leaving(blind) }, patience, time.Millisecond)
	t.Logf("one daemon saw it after %v, the other heard of it %v later", seen.Sub(start), time.Since(seen))
}
