package machines

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
)

// Several waves with the same machine claimed it in one step, and the order of the first of them was repeated under its
// permit after orders of the others with higher fencing tokens.
func TestFencingTokensOfWavesWithOneMachineNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waves []platform.Wave
		for number := range int64(4) {
			waves = append(waves, platform.Wave{Number: number + 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Minute})
		}
		s := newSite(t, waves...)
		s.machines.Add(&standin.Machine{Name: "m0", Pool: sparePool})
		s.first.held.Store(true)
		time.Sleep(30 * time.Second)
		require.Empty(t, s.checker.Violations)
		require.Equal(t, len(waves), s.machines.MaintenanceCount("m0"))
	})
}
