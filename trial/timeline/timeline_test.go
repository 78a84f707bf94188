package timeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsComeInOrder(t *testing.T) {
	start := time.Unix(0, 0)
	tl := New[string]()
	tl.Add(start.Add(2*time.Second), "c")
	tl.Add(start, "a")
	tl.Add(start, "b")
	var got []string
	for {
		_, e, ok := tl.Next()
		if !ok {
			break
		}
		got = append(got, e)
	}
	require.Equal(t, []string{"a", "b", "c"}, got)
}
