package logs

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTrailFindsJobAndItsTasks(t *testing.T) {
	var tr Trail
	for _, line := range []string{
		`{"msg":"job","job":"00000000000000aa"}`,
		`{"msg":"job","job":"00000000000000ab"}`,
		`{"msg":"stop","task":"00000000000000aa.0.1.2"}`,
		`{"msg":"text with 00000000000000aa in it"}`,
		`not JSON 00000000000000aa`,
	} {
		_, err := tr.Write([]byte(line + "\n"))
		require.NoError(t, err)
	}
	require.Equal(t, []string{`{"msg":"job","job":"00000000000000aa"}`, `{"msg":"stop","task":"00000000000000aa.0.1.2"}`}, tr.Find("00000000000000aa"))
	require.Empty(t, tr.Find("00000000000000ff"))
}

func TestTrailKeepsNewestLinesWithinLimits(t *testing.T) {
	var tr Trail
	for n := range 3 * maxTrailLines {
		_, err := tr.Write(fmt.Appendf(nil, `{"job":"j%d"}`+"\n", n))
		require.NoError(t, err)
	}
	require.Len(t, tr.lines, maxTrailLines)
	require.Empty(t, tr.Find("j0"))
	require.Len(t, tr.Find(fmt.Sprintf("j%d", 3*maxTrailLines-1)), 1)
	large := make([]byte, maxTrailBytes/4)
	for range 8 {
		_, err := tr.Write(large)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, tr.size, maxTrailBytes)
	require.LessOrEqual(t, len(tr.lines), 4)
}

// Lines were read while others evicted them. It fails under the race detector.
func TestTrailIsReadWhileItIsWritten(t *testing.T) {
	var tr Trail
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for range 2 * maxTrailLines {
				_, _ = tr.Write([]byte(`{"job":"j"}` + "\n")) // it never fails
			}
		})
	}
	wg.Go(func() {
		for range 10 {
			tr.Find("j")
		}
	})
	wg.Wait()
	require.Len(t, tr.Find("j"), maxTrailLines)
}
