package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

// TestCutAnswersNeverLookWhole walks through the ways in which an upstream's answer can be less
// than whole; each must end in an error that says that the outcome is unknown.
func TestCutAnswersNeverLookWhole(t *testing.T) {
	for _, tc := range []struct {
		name string
		raw  string
		kind fault.Kind
	}{
		{"nothing", "", fault.Broken},
		{"half a status line", "HTTP/1.", fault.Broken},
		{"no status line", "hello\r\n\r\n", fault.Broken},
		{"headers cut", "HTTP/1.1 200 OK\r\nContent-Le", fault.Broken},
		{"headers without end", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", fault.Broken},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", fault.Broken},
		{"body cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", fault.Broken},
		{"chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", fault.Broken},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", fault.Broken},
		{"last chunk without its end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n", fault.Broken},
		{"bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", fault.Broken},
		{"delimited by the close", "HTTP/1.1 200 OK\r\n\r\nabcde", fault.Broken},
		{"HTTP/1.0, delimited by the close", "HTTP/1.0 200 OK\r\n\r\nabcde", fault.Broken},
		{"only a 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n", fault.Broken},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", fault.Broken},
		{"too many 1xx", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("y", 1000)+"\r\n\r\n", 100), fault.Broken},
		{"headers too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 2*headerLimit) + "\r\n\r\n", fault.Broken},
	} {
		for _, silent := range []bool{false, true} {
			kind := tc.kind
			if silent {
				kind = fault.Timeout
			}
			t.Run(fmt.Sprintf("%s, then silence: %t", tc.name, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &script{answer: func(c net.Conn, _ *http.Request, _ int) {
						_, _ = io.WriteString(c, tc.raw)
						if silent {
							_, _ = io.Copy(io.Discard, c)
						}
						_ = c.Close()
					}}
					f := newFleet(t, 1, WithDial(s.dial))
					_, err := within(t, f, request("a", 10), time.Second)
					require.Error(t, err)
					if !silent || !fault.Is(err, fault.Broken) {
						require.Equal(t, kind, fault.KindOf(err), "%v", err)
					}
					require.Len(t, s.seen, 1)
					require.Zero(t, f.InProgress("u1", "b1"))
					f.Close()
					s.conns.Wait()
				})
			})
		}
	}
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answer: func(c net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}}
		f := newFleet(t, 1, WithDial(s.dial))
		for range 3 {
			got, err := within(t, f, request("a", 0), time.Second)
			requireBody(t, "ok", got, err)
		}
		require.EqualValues(t, 2, f.Stats().Reuses)
		f.Close()
		s.conns.Wait()
	})
}

const wrongAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"

// rightAnswer is the answer to r, with the exchange's number if the upstream echoes it.
func rightAnswer(r *http.Request, echo bool) string {
	number := ""
	if echo {
		number = HeaderExchange + ": " + r.Header.Get(HeaderExchange) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", number, len(r.URL.Path), r.URL.Path)
}

// together sends a surplus answer in the same write as the right one.
func together(c net.Conn, r *http.Request, _ int) {
	_, _ = io.WriteString(c, rightAnswer(r, false)+wrongAnswer)
}

// apart sends a surplus answer right after the right one.
func apart(c net.Conn, r *http.Request, _ int) {
	_, _ = io.WriteString(c, rightAnswer(r, false))
	_, _ = io.WriteString(c, wrongAnswer)
}

// crossing is apart for an upstream that echoes numbers: the surplus may meet the next request on its way.
func crossing(c net.Conn, r *http.Request, _ int) {
	_, _ = io.WriteString(c, rightAnswer(r, true))
	_, _ = io.WriteString(c, wrongAnswer)
}

const mixedRequests = 300

// mixed sends requests in turn and counts those that got another's answer.
func mixed(t *testing.T, answer func(net.Conn, *http.Request, int), pause time.Duration, opts ...Option) int {
	n := 0
	synctest.Test(t, func(t *testing.T) {
		s := &script{answer: answer}
		f := newFleet(t, 1, append(opts, WithDial(s.dial))...)
		for i := range mixedRequests {
			name := fmt.Sprint("q", i)
			got, err := within(t, f, request(name, 0), time.Second)
			if err == nil && got != "/"+name {
				n++
			}
			time.Sleep(pause)
		}
		f.Close()
		s.conns.Wait()
	})
	return n
}

func TestSurplusAnswersReachNobody(t *testing.T) {
	off := func(c *config) { c.off = switches{stray: true, echo: true} }
	without, rounds := 0, 0
	for without == 0 && rounds < 100 {
		without += mixed(t, together, 0, off)
		rounds++
	}
	with := 0
	for range max(rounds, 3) {
		with += mixed(t, together, 0)
	}
	t.Logf("upstream that answers twice, %d rounds of %d requests: %d got another's answer with the check of stray bytes off, %d with it",
		rounds, mixedRequests, without, with)
	require.Positive(t, without)
	require.Zero(t, with)
	require.Zero(t, mixed(t, apart, time.Millisecond))
}

func TestSurplusEndsReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answer: func(c net.Conn, r *http.Request, n int) {
			if r.URL.Path == "/bad" {
				together(c, r, n)
				return
			}
			_, _ = io.WriteString(c, rightAnswer(r, false))
		}}
		f := newFleet(t, 1, WithDial(s.dial))
		for _, name := range []string{"a", "b", "bad", "c", "d"} {
			got, err := within(t, f, request(name, 0), time.Second)
			requireBody(t, "/"+name, got, err)
			synctest.Wait()
		}
		require.EqualValues(t, 2, f.Stats().Reuses)
		require.True(t, f.Stats().Upstreams[0].Single)
		f.Close()
		s.conns.Wait()
	})
}

func TestNoIdleTimeMeansNoReuse(t *testing.T) {
	require.Zero(t, mixed(t, crossing, 0, WithIdle(0), func(c *config) { c.off = switches{stray: true, echo: true} }))
}

func TestCrossingAnswersReachNobody(t *testing.T) {
	without := mixed(t, crossing, 0, func(c *config) { c.off = switches{stray: true, echo: true} })
	with := mixed(t, crossing, 0)
	t.Logf("of %d requests, %d got a surplus answer that crossed them with both checks off, %d with them", mixedRequests, without, with)
	require.Positive(t, without)
	require.Zero(t, with)
}

// lagging answers every second request of a connection with the answer to the one before, as an
// upstream does whose answers have fallen behind.
func lagging(c net.Conn, r *http.Request, n int) {
	number, body := r.Header.Get(HeaderExchange), r.URL.Path
	if n%2 == 1 {
		number, body = "0", "/late"
	}
	_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderExchange, number, len(body), body))
}

func TestLateAnswersReachNobody(t *testing.T) {
	without := mixed(t, lagging, 0, func(c *config) { c.off.echo = true })
	with := mixed(t, lagging, 0)
	t.Logf("of %d requests, %d got the answer of another with the check of numbers off, %d with it", mixedRequests, without, with)
	require.Positive(t, without)
	require.Zero(t, with)
}
