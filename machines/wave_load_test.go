package machines

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
)

// A queue's peak that comes shortly after a large wave, while the store is slow: the claims of the wave, made one by one
// and before the moves, kept the pool waiting for its machines, and half of the free machines were down at once.
func TestPoolGetsItsMachinesWhileAWaveIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wave := platform.Wave{Number: 1, MaxDown: 40, TimeLimit: 25 * time.Second}
		for i := range 60 {
			wave.Machines = append(wave.Machines, fmt.Sprintf("w%02d", i))
		}
		s := newSite(t, wave)
		for _, name := range wave.Machines {
			s.machines.Add(&standin.Machine{Name: name, Pool: sparePool})
		}
		for i := range 40 {
			s.machines.Add(&standin.Machine{Name: fmt.Sprintf("m%02d", i), Pool: sparePool})
		}
		s.store.SetFaults(standin.StoreFaults{ExtraLatency: 170 * time.Millisecond})
		s.first.held.Store(true)
		time.Sleep(500 * time.Millisecond)
		s.first.report(3*time.Second, Report{Service: "s0", Want: 30})
		require.GreaterOrEqual(t, len(s.machines.Names("s0")), 30)
		s.first.report(20*time.Second, Report{Service: "s0"})
		row, _ := s.first.Waves.get(1)
		require.True(t, row.Complete)
		require.Empty(t, s.checker.Violations)
	})
}
