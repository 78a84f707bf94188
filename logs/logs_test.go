package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stuck takes nothing until it is let go.
type stuck struct {
	mu sync.Mutex
	bytes.Buffer
	gate chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func TestStuckReaderCostsLinesAndNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{gate: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		start := time.Now()
		for range 3000 {
			_, err := w.Write(line)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start))
		require.Positive(t, w.Dropped())
		close(out.gate)
		w.Close()
		synctest.Wait()
		written := int64(bytes.Count(out.Bytes(), []byte("\n")))
		require.Equal(t, int64(3000), written+w.Dropped())
	})
}

func TestFloodOfOneMessageIsSampledAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l, err := New("info", &out)
		require.NoError(t, err)
		for range 1000 {
			l.Info("same", zap.Int("n", 1))
		}
		l.Info("other")
		time.Sleep(time.Second)
		l.Close()
		synctest.Wait()
		sampled, lost := l.Dropped()
		require.Equal(t, 1000-sampleFirst-(1000-sampleFirst)/sampleEach, int(sampled))
		require.Zero(t, lost)
		require.Contains(t, out.String(), `"msg":"other"`)
	})
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := New("loud", &bytes.Buffer{})
	require.ErrorContains(t, err, "log level")
}
