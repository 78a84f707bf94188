package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
)

// script is an upstream on pipes that answers the n-th request of a connection as it likes.
type script struct {
	answer func(c net.Conn, r *http.Request, n int)
	conns  sync.WaitGroup

	mu   sync.Mutex
	seen []string // paths of the requests, in the order of their coming
}

func (s *script) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	s.conns.Go(func() {
		defer far.Close()
		r := bufio.NewReader(far)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			s.mu.Lock()
			s.seen = append(s.seen, req.URL.Path)
			s.mu.Unlock()
			s.answer(far, req, n)
		}
	})
	return near, nil
}

var oneAddr = netip.MustParseAddrPort("10.0.0.1:80")

// newFleet returns a fleet with n upstreams u1.. of the pool "p".
func newFleet(t *testing.T, n int, opts ...Option) *Fleet {
	opts = append([]Option{WithZone("c1", "r1"), WithBreach(func(err error) { t.Error(err) })}, opts...)
	f := NewFleet(opts...)
	f.Update(targets(n))
	return f
}

func targets(n int) []Target {
	var out []Target
	addr := oneAddr
	for i := range n {
		id := "u" + string(rune('1'+i))
		out = append(out, Target{Pool: "p", Instance: backing.Instance{ID: id, Boot: "b1", Addr: addr, Centre: "c1"}})
		addr = netip.AddrPortFrom(addr.Addr().Next(), addr.Port())
	}
	return out
}

// request returns a request whose path is its name; a body of 0 bytes is none.
func request(name string, body int) *Request {
	return &Request{
		Method: "POST",
		URL:    &url.URL{Path: "/" + name},
		Header: http.Header{standin.HeaderID: {name}},
		Body:   []byte(strings.Repeat("b", body)),
		Length: int64(body),
	}
}

// exchangeAll sends one request and reads the whole answer.
func exchangeAll(ctx context.Context, f *Fleet, req *Request) (string, error) {
	resp, err := f.Do(ctx, "p", req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// within runs one exchange under a deadline.
func within(t *testing.T, f *Fleet, req *Request, d time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return exchangeAll(ctx, f, req)
}

// farm is several stand-in runners behind one dial function.
type farm struct {
	runners []*standin.Runner
	pipes   map[netip.AddrPort]*standin.Pipes
}

func newFarm(n int, opts ...standin.RunnerOption) *farm {
	m := &farm{pipes: map[netip.AddrPort]*standin.Pipes{}}
	for _, t := range targets(n) {
		p := standin.NewPipes(t.Instance.Addr)
		m.pipes[t.Instance.Addr] = p
		all := append([]standin.RunnerOption{standin.WithInstance(t.Instance)}, opts...)
		m.runners = append(m.runners, standin.NewRunner(p, all...))
	}
	return m
}

func (m *farm) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return m.pipes[addr].Dial(ctx, "tcp", "")
}

func (m *farm) seen() int {
	n := 0
	for _, r := range m.runners {
		n += r.Account().Total().Seen
	}
	return n
}

func (m *farm) close() {
	for _, r := range m.runners {
		r.Close()
	}
}

func requireBody(t *testing.T, want, got string, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, want, got)
}
