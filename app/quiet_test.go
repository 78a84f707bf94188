package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
	"gypsumlead/record"
	"gypsumlead/settings"
)

// TestQuietOnlyUnderTheDrainedBoot asks an entry that still sends to the runner under a boot other
// than the drained one: it must not be taken for quiet, however little is in progress.
func TestQuietOnlyUnderTheDrainedBoot(t *testing.T) {
	b := newBench(t, func(*settings.Settings) {})
	b.put("texts", &record.Pool{Budget: record.Budget{Out: 1}})
	b.addRunner("runner-1", "texts")
	entry, err := b.platform.Instance("entry-1")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.app.router.targets()) == 1 }, patience, time.Millisecond)
	ask := func(boot string) error {
		_, _, err := b.app.peers.Quiet(t.Context(), entry, "runner-1", boot, b.app.state.Seq())
		return err
	}
	require.True(t, fault.Is(ask("runner-1-1"), fault.Conflict), "there is no drain")

	b.put("runner-1", &record.Drain{Boot: "runner-1-9"})
	require.Eventually(t, func() bool { return b.app.Seq() == b.app.state.Seq() }, patience, time.Millisecond)
	require.True(t, fault.Is(ask("runner-1-9"), fault.Conflict), "the list shows another boot, which takes new work")

	b.app.roster.Leave("runner-1", "runner-1-1")
	require.Eventually(t, func() bool { return ask("runner-1-9") == nil }, patience, time.Millisecond)
}
