package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/runner"
)

// benchSite starts an upstream and an entry before it, and returns both URLs.
func benchSite(b *testing.B) (direct, proxied string) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("a", 512))
	}))
	b.Cleanup(up.Close)
	fleet := runner.NewFleet(runner.WithConns(64))
	b.Cleanup(fleet.Close)
	addr := netip.MustParseAddrPort(up.Listener.Addr().String())
	fleet.Update([]runner.Target{{Pool: "p", Instance: backing.Instance{ID: "u1", Boot: "b1", Addr: addr}}})
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(New(oneService{}, fleet, WithBreach(func(err error) { b.Error(err) })))
	srv.Start()
	b.Cleanup(srv.Close)
	return up.URL, srv.URL
}

// ask512 sends one small request and reads the answer.
func ask512(b *testing.B, c *http.Client, url string) {
	resp, err := c.Post(url+"/texts/a", "text/plain", strings.NewReader("a notice of about forty bytes in one text"))
	if err != nil {
		b.Error(err)
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != 512 {
		b.Error(n, err)
	}
	_ = resp.Body.Close()
}

// BenchmarkAddedDelay sends each request directly and through the entry by turns, one at a time.
func BenchmarkAddedDelay(b *testing.B) {
	direct, proxied := benchSite(b)
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	var took [2]time.Duration
	for b.Loop() {
		for i, url := range []string{direct, proxied} {
			start := time.Now()
			ask512(b, c, url)
			took[i] += time.Since(start)
		}
	}
	b.ReportMetric(float64(took[0].Microseconds())/float64(b.N), "direct-µs")
	b.ReportMetric(float64((took[1]-took[0]).Microseconds())/float64(b.N), "added-µs")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkThroughput keeps the entry busy from many callers; the cost of the same load without
// the entry is taken off the processor time, which callers and upstream share.
func BenchmarkThroughput(b *testing.B) {
	for _, through := range []bool{false, true} {
		name := "direct"
		if through {
			name = "proxied"
		}
		b.Run(name, func(b *testing.B) {
			direct, proxied := benchSite(b)
			url := direct
			if through {
				url = proxied
			}
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			defer c.CloseIdleConnections()
			ask512(b, c, url)
			b.SetParallelism(2)
			b.ReportAllocs()
			cpu := processorTime(b)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					ask512(b, c, url)
				}
			})
			b.StopTimer()
			cpu = processorTime(b) - cpu
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
			b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "procs")
		})
	}
}

// processorTime returns what the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
