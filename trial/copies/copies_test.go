package copies

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func cells(t *testing.T, policy string) []Cell {
	t.Helper()
	l, err := Try(1, policy, 3*time.Second)
	require.NoError(t, err)
	return l.Cells
}

func TestAlwaysCopyingCollapsesUnderLoad(t *testing.T) {
	none, always, adapt := cells(t, policyNone), cells(t, policyAlways), cells(t, policyAdapt)
	for i, c := range none {
		if c.Load < 0.8 {
			continue
		}
		require.Less(t, always[i].Kinds[0].Served, 0.9)
		require.GreaterOrEqual(t, adapt[i].Kinds[0].Served, c.Kinds[0].Served-0.01)
	}
}

func TestCopiesNeedAFailure(t *testing.T) {
	for _, c := range cells(t, policyAdapt) {
		if c.Fail == 0 {
			require.InDelta(t, 1, c.Copies, 1e-9)
		}
	}
}

func TestRunPrintsOneLine(t *testing.T) {
	args := []string{"-policy", "hedge", "-length", "1s"}
	var one, two bytes.Buffer
	require.NoError(t, Run(args, &one))
	require.NoError(t, Run(args, &two))
	require.Equal(t, one.String(), two.String(), "the same seed gives the same line")
	require.True(t, fault.Is(Run([]string{"-policy", "x"}, &bytes.Buffer{}), fault.Invalid))
}
