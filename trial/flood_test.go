package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace that sends six times its usual and takes the others' room: their share of jobs on time stays
// within a tenth of what it is without the flood.
func TestFloodOfOneWorkspaceLeavesOthersOnTime(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			calm, err := Run("calm", "now", seed)
			require.NoError(t, err)
			flood, err := Run("flood", "now", seed)
			require.NoError(t, err)
			require.Zero(t, flood.Violations)
			require.GreaterOrEqual(t, flood.WorkspaceShare, 0.9*calm.WorkspaceShare)
			require.GreaterOrEqual(t, calm.WorkspaceShare, 0.8)
		})
	}
}
