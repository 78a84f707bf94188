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

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	mu sync.Mutex
	bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(b)
}

func TestBlockedReaderDropsLinesWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		start := time.Now()
		for range 3000 {
			_, err := w.Write(line)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start))
		require.Positive(t, w.Dropped())
		close(out.unblock)
		w.Close()
		synctest.Wait()
		written := int64(bytes.Count(out.Bytes(), []byte("\n")))
		require.Equal(t, int64(3000), written+w.Dropped())
	})
}

func TestRepeatedMessageIsSampledAndCounted(t *testing.T) {
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
		require.Equal(t, 1000-sampleFirst-(1000-sampleFirst)/sampleThereafter, int(sampled))
		require.Zero(t, lost)
		require.Contains(t, out.String(), `"msg":"other"`)
	})
}

func TestUnknownLevelIsRejected(t *testing.T) {
	_, err := New("loud", &bytes.Buffer{})
	require.ErrorContains(t, err, "log level")
}
