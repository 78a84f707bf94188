package entry

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/runner"
)

// seeds is how many seeds the storm runs with; raise it for a long run.
var seeds = flag.Uint64("seeds", 3, "seeds of the storm")

// tcpSeed is the seed of the storm over TCP.
var tcpSeed = flag.Uint64("tcpseed", 1, "seed of the storm over TCP")

// asked is one request of a caller and what became of it.
type asked struct {
	id      string
	key     string // empty for an unkeyed one
	safe    bool   // idempotent
	size    int
	patient bool   // sets no timeout
	outcome string // what the caller was told; "cut" where the answer broke off
	wrong   string // what was wrong with an answer that looked whole
}

// broken are the promises that a run of the storm broke, by name, with one example each.
type broken map[string]string

func (b broken) add(promise, example string) {
	if b[promise] == "" {
		b[promise] = example
	}
}

var answerSizes = []int{0, 100, 5000, bufferDefault, bufferDefault + 1, 300 << 10}

// send sends one request and checks the answer.
func (a *asked) send(ctx context.Context, c *http.Client, rng *rand.Rand) {
	method, body := "POST", strings.Repeat("b", rng.IntN(3)*40<<10)
	if a.safe {
		method = "GET"
	}
	if a.safe || a.key != "" {
		body = ""
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://entry/texts/a", strings.NewReader(body))
	req.Header.Set(standin.HeaderID, a.id)
	req.Header.Set(standin.HeaderSize, strconv.Itoa(a.size))
	if !a.patient {
		req.Header.Set(HeaderTimeout, strconv.Itoa(200+rng.IntN(2000)))
	}
	if a.key != "" {
		req.Header.Set(HeaderKey, a.key)
		req.Header.Set(HeaderCaller, "school")
	}
	a.outcome = "cut"
	resp, err := c.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.outcome = resp.Header.Get(fault.HeaderOutcome)
	if a.outcome == "ran" && resp.StatusCode == http.StatusOK {
		a.check(resp, got)
	}
}

// check compares an answer that looks whole with the one that belongs to the request.
func (a *asked) check(resp *http.Response, got []byte) {
	id := resp.Header.Get(standin.HeaderID)
	if resp.Header.Get(HeaderReplay) != "" {
		a.outcome = "replay"
		// A stored answer is that of another attempt of the same key.
		id = a.key + "-" + strings.TrimPrefix(strings.SplitN(string(got)+"\n", "\n", 2)[0], "answer to "+a.key+"-")
		if len(got) < 100 {
			return
		}
	} else if id != a.id {
		a.wrong = fmt.Sprintf("%s got the answer to %q, %d bytes of runner %q", a.id, id, len(got), resp.Header.Get(standin.HeaderRunner))
		return
	}
	if !bytes.Equal(got, standin.AnswerBody(id, a.size)) {
		a.wrong = fmt.Sprintf("%s got %d bytes of %d", a.id, len(got), a.size)
	}
}

// plan returns the requests of one caller in turn; a keyed one is asked several times.
func plan(caller, requests int, rng *rand.Rand) []*asked {
	var out []*asked
	for n := range requests {
		name := fmt.Sprintf("c%d.%d", caller, n)
		size := answerSizes[rng.IntN(len(answerSizes))]
		switch rng.IntN(3) {
		case 0:
			out = append(out, &asked{id: name, size: size})
		case 1:
			out = append(out, &asked{id: name, safe: true, size: size})
		case 2:
			for try := range 3 {
				out = append(out, &asked{id: fmt.Sprintf("%s-%d", name, try), key: name, size: size})
			}
		}
	}
	return out
}

// stormCallers ask in parallel, each stormRequests times or more.
const (
	stormCallers  = 12
	stormRequests = 25
	stormSlots    = 6 // so that some wait for one, and claim their keys meanwhile
	shortRequests = 6
)

// storm runs callers, entries and failing runners on virtual time, and returns the promises that
// were broken.
func storm(t *testing.T, seed uint64, p parts) (broken, map[string]int) {
	bad := broken{}
	count := map[string]int{}
	p.slots = stormSlots
	synctest.Test(t, func(t *testing.T) {
		weather(t, newWorld(t, seed, p), seed, stormRequests, time.Minute, bad, count)
	})
	return bad, count
}

// weather is a storm over w; after the last request it waits for what may still arrive.
func weather(t *testing.T, w *world, seed uint64, requests int, rest time.Duration, bad broken, count map[string]int) {
	ctx, cancel := context.WithCancel(t.Context())
	var chaos, callers sync.WaitGroup
	chaos.Go(func() { w.chaos(ctx, rand.New(rand.NewPCG(seed, 99))) })
	var mu sync.Mutex
	var all []*asked
	for i := range stormCallers {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for _, a := range plan(i, requests, rng) {
				limit := time.Minute
				if rng.IntN(8) == 0 {
					limit = time.Duration(rng.IntN(300)) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				a.send(ctx, w.client(rng.IntN(worldEntries)), rng)
				cancel()
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	cancel()
	chaos.Wait()
	time.Sleep(rest)
	bad.judge(all, w.seen())
	for _, a := range all {
		count[a.outcome]++
	}
	w.stop()
}

// judge holds what callers were told against what the runners saw.
func (b broken) judge(all []*asked, seen map[string]int) {
	keyed := map[string]int{}
	for _, a := range all {
		if a.wrong != "" {
			b.add("whole answer, its own", a.wrong)
		}
		n := seen[a.id]
		if a.outcome == "notrun" && n > 0 {
			b.add("not run means not run", a.id)
		}
		if !a.safe && n > 1 {
			b.add("sent at most once", fmt.Sprintf("%s reached runners %d times", a.id, n))
		}
		if a.key == "" {
			continue
		}
		keyed[a.key] += n
		if keyed[a.key] > 1 {
			b.add("key at most once", fmt.Sprintf("%s reached runners %d times", a.key, keyed[a.key]))
		}
	}
}

func TestPromisesInAStorm(t *testing.T) {
	sum := map[string]int{}
	for seed := range *seeds {
		bad, count := storm(t, seed, parts{})
		require.Empty(t, bad, "seed %d", seed)
		for k, n := range count {
			sum[k] += n
		}
	}
	t.Logf("%d seeds, requests by outcome: %v", *seeds, sum)
	for _, outcome := range []string{"ran", "notrun", "unknown", "cut", "replay"} {
		require.Positive(t, sum[outcome], outcome)
	}
}

// TestPromisesOverTCP is a short storm over the kernel's sockets, whose resets and buffers pipes
// don't have; it has no bounds on time.
func TestPromisesOverTCP(t *testing.T) {
	bad := broken{}
	count := map[string]int{}
	weather(t, newWorld(t, *tcpSeed, parts{tcp: true}), *tcpSeed, shortRequests, time.Second, bad, count)
	require.Empty(t, bad, "seed %d", *tcpSeed)
	t.Logf("seed %d, requests by outcome: %v", *tcpSeed, count)
}

// pooled is the baseline that sends over net/http's own pool and calls a request not run when no
// answer came. That the pool also sends again is shown in package runner.
type pooled struct{ transport *http.Transport }

func (p pooled) Do(ctx context.Context, _ string, q *runner.Request) (*runner.Response, error) {
	u := *q.URL
	u.Scheme = "http"
	u.Host = "any"
	hr, err := http.NewRequestWithContext(ctx, q.Method, u.String(), bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	hr.Header = runner.EndToEnd(q.Header)
	resp, err := p.transport.RoundTrip(hr)
	if err != nil {
		return nil, fault.Wrap(fault.NoUpstream, err, "send")
	}
	return &runner.Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body}, nil
}

func TestPromisesBreakWithoutTheMechanisms(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parts parts
		want  string
	}{
		{"no answer is taken for not run", parts{upstreams: usePool}, "not run means not run"},
		{"each entry claims for itself", parts{table: func(int) backing.Table { return standin.New().Table }}, "key at most once"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(10) {
				bad, _ := storm(t, seed, tc.parts)
				if bad[tc.want] != "" {
					t.Logf("seed %d breaks %q: %s", seed, tc.want, bad[tc.want])
					return
				}
			}
			t.Fatalf("no seed breaks %q", tc.want)
		})
	}
}

// usePool makes an entry send through net/http's own connection pool to one runner after another.
func usePool(w *world, e int, _ *runner.Fleet) Upstreams {
	var mu sync.Mutex
	next := e
	return pooled{&http.Transport{
		IdleConnTimeout: time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			mu.Lock()
			next++
			r := w.runners[next%len(w.runners)]
			mu.Unlock()
			return w.dial(ctx, r.Instance().Addr)
		},
	}}
}
