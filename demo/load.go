package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gypsumlead/backing/standin"
	"gypsumlead/entry"
	"gypsumlead/fault"
)

const (
	callers     = 24
	pauseMost   = 40 * time.Millisecond
	callTimeout = 15 * time.Second
	keyedShare  = 0.3 // of the non-idempotent requests
)

// call is one request and what its caller got.
type call struct {
	id         string
	idempotent bool
	outcome    fault.Outcome
	mixed      bool
	broken     bool   // the answer broke off
	kind       string // of the daemon's own answer
	text       string
}

// load is callers that ask one request after another.
type load struct {
	site   *site
	seed   uint64
	client *http.Client
	n      atomic.Uint64
	wg     sync.WaitGroup

	through atomic.Bool // the script has ended

	mu    sync.Mutex
	calls []call
}

func newLoad(s *site, seed uint64) *load {
	return &load{site: s, seed: seed, client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: callers},
	}}
}

// start begins the callers, which ask for the given time and until the script is through.
func (l *load) start(d time.Duration) {
	end := time.Now().Add(d)
	for i := range callers {
		l.wg.Go(func() { l.ask(rand.New(rand.NewPCG(l.seed, uint64(i))), end) })
	}
}

// wait waits until every caller has its last answer.
func (l *load) wait() {
	l.through.Store(true)
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) ask(rnd *rand.Rand, end time.Time) {
	for time.Now().Before(end) || !l.through.Load() {
		c := l.one(rnd)
		l.mu.Lock()
		l.calls = append(l.calls, c)
		l.mu.Unlock()
		time.Sleep(time.Duration(rnd.Int64N(int64(pauseMost))))
	}
}

// one asks one request of a random kind of work and classifies its answer.
func (l *load) one(rnd *rand.Rand) call {
	svc := services()[rnd.IntN(len(services()))]
	work := svc.record.Works[rnd.IntN(len(svc.record.Works))]
	n := l.n.Add(1)
	c := call{id: fmt.Sprintf("demo-%d-%d", l.seed, n), idempotent: work.Idempotent}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := l.request(ctx, n, svc.name, work.Name, c, rnd.Float64() < keyedShare)
	if err != nil {
		c.outcome, c.text = fault.NotRun, err.Error()
		return c
	}
	res, err := l.client.Do(req)
	if err != nil {
		c.outcome, c.broken, c.text = fault.Unknown, true, err.Error()
		return c
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	c.classify(res, body, err)
	return c
}

func (l *load) request(ctx context.Context, n uint64, service, work string, c call, keyed bool) (*http.Request, error) {
	at := l.site.pick(n).app.Addrs().Callers
	method, body := http.MethodPost, io.Reader(strings.NewReader("request "+c.id))
	if c.idempotent {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/do", at, service), body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the caller's own library must not send anything twice
	req.Header.Set(standin.HeaderID, c.id)
	req.Header.Set(entry.HeaderWork, work)
	req.Header.Set(entry.HeaderCaller, "demo")
	if keyed && !c.idempotent {
		req.Header.Set(entry.HeaderKey, c.id)
	}
	return req, nil
}

// classify compares an answer with the request.
func (c *call) classify(res *http.Response, body []byte, err error) {
	if err != nil {
		c.outcome, c.broken, c.text = fault.Unknown, true, err.Error()
		return
	}
	if res.Header.Get(fault.HeaderKind) != "" {
		c.outcome = fault.Outcome(res.Header.Get(fault.HeaderOutcome))
		c.kind = res.Header.Get(fault.HeaderKind)
		c.text = string(body)
		return
	}
	c.outcome = fault.Ran
	want := standin.AnswerBody(c.id, len(body))
	c.mixed = res.Header.Get(standin.HeaderID) != c.id || len(body) == 0 || !bytes.Equal(body, want)
}
