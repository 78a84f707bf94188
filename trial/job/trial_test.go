package jobtrial

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunPrintsOneLine(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Run([]string{"-seed", "3", "-span", "45s"}, &out))
	t.Log(out.String())
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
	var r Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Len(t, r.Runs, 2)
	for _, run := range r.Runs {
		require.Zero(t, run.Doubled)
		require.Positive(t, run.Starts)
	}
}
