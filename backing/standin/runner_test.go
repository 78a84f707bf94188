package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
)

var anyAddr = netip.MustParseAddrPort("127.0.0.1:1")

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// ask sends one request on a connection of its own and reads the whole answer.
func ask(d func(context.Context, string, string) (net.Conn, error), id string, limit time.Duration) ([]byte, int, error) {
	h := &http.Client{Transport: &http.Transport{DialContext: d, DisableKeepAlives: true}, Timeout: limit}
	return askOver(h, id)
}

func askOver(h *http.Client, id string) ([]byte, int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+anyAddr.String()+"/texts", strings.NewReader("body"))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set(HeaderID, id)
	res, err := h.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return body, res.StatusCode, err
}

func TestMishapsOverTCP(t *testing.T) {
	for _, m := range append(Mishaps(), MishapNone) {
		t.Run("mishap "+string(m), func(t *testing.T) {
			r := NewRunner(listen(t), WithRun(0))
			defer r.Close()
			r.SetFaults(RunnerFaults{Mishaps: []Mishap{m}})
			dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, network, r.Instance().Addr.String())
			}
			body, status, err := ask(dial, "q1", 0)
			whole := m == MishapNone || m == MishapEarly || m == MishapLong
			if whole {
				require.NoError(t, err)
				require.Equal(t, AnswerBody("q1", defaultSize), body)
			} else if m != MishapRefuse {
				require.Error(t, err)
				require.NotEqual(t, AnswerBody("q1", defaultSize), body)
			} else {
				require.Equal(t, http.StatusServiceUnavailable, status)
			}
			ran := whole || m == MishapRan || m == MishapAnswer || m == MishapBody || m == MishapShort
			got := r.Account().Of("q1")
			require.Equal(t, ran, got.Started == 1, "%+v", got)
			require.Equal(t, got.Started, got.Finished)
			require.Zero(t, got.Cut)
			require.Equal(t, m != MishapAccept, got.Seen == 1)
		})
	}
}

func TestSlotsAndConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPipes(anyAddr)
		r := NewRunner(l, WithRun(time.Second), WithSlots(2), WithConns(4))
		began := time.Now()
		var wg sync.WaitGroup
		failed := make(chan error, 6)
		for i := range 6 {
			wg.Go(func() {
				if _, _, err := ask(l.Dial, strconv.Itoa(i), 0); err != nil {
					failed <- err
				}
			})
		}
		wg.Wait()
		require.Equal(t, 2*time.Second, time.Since(began))
		require.Len(t, failed, 2)
		r.Close()
		a := r.Account()
		require.Equal(t, 4, a.Total().Finished)
		require.Equal(t, 4, a.Peak)
		require.Equal(t, 2, a.Waits)
		require.Equal(t, 2, a.Shed)
	})
}

func TestSilenceOfOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPipes(anyAddr)
		r := NewRunner(l)
		defer r.Close()
		tr := &http.Transport{DialContext: l.Dial}
		h := &http.Client{Transport: tr, Timeout: time.Minute}
		_, _, err := askOver(h, "q1")
		require.NoError(t, err)
		r.Silence()
		_, _, err = askOver(h, "q2")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, r.Account().Of("q2").Seen)
		_, _, err = askOver(h, "q3")
		require.NoError(t, err)
		r.SetFaults(RunnerFaults{Silent: true})
		tr.CloseIdleConnections()
		_, _, err = askOver(h, "q4")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		tr.CloseIdleConnections()
	})
}

func TestRebootCutsWhatIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		l := NewPipes(anyAddr)
		r := NewRunner(l, WithRun(time.Minute), WithInstance(backing.Instance{ID: "r1"}), WithBeat(p.Beat, time.Second))
		defer r.Close()
		failed := make(chan error, 1)
		go func() {
			_, _, err := ask(l.Dial, "q1", 0)
			failed <- err
		}()
		time.Sleep(time.Second)
		require.NoError(t, p.Instances.Reboot(t.Context(), backing.Reboot{Instance: "r1", Boot: "r1-1"}))
		require.Error(t, <-failed)
		time.Sleep(2 * time.Second)
		a := r.Account()
		require.Equal(t, Run{ID: "q1", Seen: 1, Started: 1, Cut: 1}, a.Of("q1"))
		require.Equal(t, "r1-2", a.Boot)
		require.Zero(t, a.Now)
		i, err := p.Instance("r1")
		require.NoError(t, err)
		require.Equal(t, backing.StateLive, i.State)
	})
}

func TestHeartbeatsOverHTTP(t *testing.T) {
	p := New()
	l := listen(t)
	srv := &http.Server{Handler: p.Handler()}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	beat := BeatOver(netip.MustParseAddrPort(l.Addr().String()))
	i, err := beat(t.Context(), backing.Instance{ID: "r1", Boot: "b", Addr: anyAddr})
	require.NoError(t, err)
	require.Equal(t, "b", i.Boot)
	require.NoError(t, p.Instances.Reboot(t.Context(), backing.Reboot{Instance: "r1", Boot: "b"}))
	i, err = beat(t.Context(), i)
	require.NoError(t, err)
	require.Equal(t, "r1-2", i.Boot)
}

func TestAnswerBodyNamesTheRequest(t *testing.T) {
	require.Equal(t, "answer to a\nansw", string(AnswerBody("a", 16)))
	require.Empty(t, AnswerBody("a", 0))
	require.False(t, bytes.Equal(AnswerBody("a", 100), AnswerBody("b", 100)))
}
