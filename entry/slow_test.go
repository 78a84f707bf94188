package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

// slots is a gate with few slots and no order.
type slots chan struct{}

func (s slots) Acquire(ctx context.Context, _, _ string, _ time.Time) (func(), error) {
	select {
	case s <- struct{}{}:
		return func() { <-s }, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Overload, "no slot")
	}
}

// besideSlowCallers measures an ordinary request while callers that send or take one byte in a
// while are being served on an entry with two slots.
func besideSlowCallers(t *testing.T, slow func(w *world, i int), opts ...Option) (took time.Duration, outcome string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, parts{options: append(opts, WithGate(make(slots, 2)))})
		for i := range 10 {
			go slow(w, i)
		}
		time.Sleep(time.Second)
		a := &asked{id: "quick", size: 100, patient: true}
		start := time.Now()
		a.send(t.Context(), w.client(0), rand.New(rand.NewPCG(1, 1)))
		took, outcome = time.Since(start), a.outcome
		time.Sleep(time.Minute)
		w.stop()
	})
	return took, outcome
}

// slowSender sends a body at ten bytes a second until the entry gives it up.
func slowSender(w *world, i int) {
	c, err := w.fronts[0].Dial(context.Background(), "", "")
	if err != nil {
		return
	}
	defer c.Close()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	_, err = fmt.Fprintf(c, "POST /texts/a HTTP/1.1\r\nHost: e\r\n%s: slow%d\r\nContent-Length: 1000\r\n\r\n", standin.HeaderID, i)
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = c.Write([]byte("x"))
	}
}

// slowReader takes an answer of 60 KB at ten bytes a second.
func slowReader(w *world, i int) {
	c, err := w.fronts[0].Dial(context.Background(), "", "")
	if err != nil {
		return
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /texts/a HTTP/1.1\r\nHost: e\r\n%s: slow%d\r\n%s: 60000\r\nContent-Length: 0\r\n\r\n", standin.HeaderID, i, standin.HeaderSize)
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = c.Read(make([]byte, 1))
	}
}

func TestSlowCallersHoldNoSlot(t *testing.T) {
	for _, tc := range []struct {
		name string
		slow func(*world, int)
	}{{"senders", slowSender}, {"readers", slowReader}} {
		t.Run(tc.name, func(t *testing.T) {
			with, outcome := besideSlowCallers(t, tc.slow)
			without, _ := besideSlowCallers(t, tc.slow, WithBuffer(0))
			t.Logf("request beside 10 slow %s, 2 slots: %v (%s), %v without buffers", tc.name, with, outcome, without)
			require.Equal(t, "ran", outcome)
			require.Less(t, with, 200*time.Millisecond)
			require.Greater(t, without, time.Second)
		})
	}
}

func TestSlowBodyIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, parts{})
		c, err := w.fronts[0].Dial(t.Context(), "", "")
		require.NoError(t, err)
		start := time.Now()
		_, err = fmt.Fprint(c, "POST /texts/a HTTP/1.1\r\nHost: e\r\nContent-Length: 1000\r\n\r\nabc")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, "notrun", resp.Header.Get(fault.HeaderOutcome))
		require.LessOrEqual(t, time.Since(start), uploadDefault)
		require.NoError(t, c.Close())
		require.Zero(t, w.entries[0].memory.used)
		w.stop()
	})
}
