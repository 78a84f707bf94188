package overload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
)

// Limits of the daemon, and sizes and times of the tests.
const (
	memoryMB    = 64
	descriptors = 400
	maxBody     = 256 << 10
	patience    = time.Minute // for whatever has to happen at some time
	host        = "jobs.example"
	key         = "k-1"
)

// program is the daemon's executable, built by TestMain.
var program string

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds the daemon and runs the tests.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "gypsumlead")
	if out, err := exec.Command("go", "build", "-p", "2", "-o", program, "../cmd/gypsumlead").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// daemon is a process of the system with a stand-in of the platform's store.
type daemon struct {
	t                     *testing.T
	pid                   int
	ended                 chan struct{}
	mostFiles             atomic.Int64 // open descriptors at the most
	callers, ready, peers string
}

// startDaemon starts a daemon that is ready and schedules one queue's jobs.
func startDaemon(t *testing.T) *daemon {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 2)))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("op", "config", standin.QueueConfig(host, key, maxBody))
	d := &daemon{t: t, ended: make(chan struct{}), callers: freeAddr(t), ready: freeAddr(t), peers: freeAddr(t)}
	file := filepath.Join(t.TempDir(), "settings.json")
	content, err := json.Marshal(map[string]any{
		"instance": "e1", "centre": "c1", "region": "r", "store": server.Listener.Addr().String(), "memory": memoryMB, "descriptors": descriptors, "log": "warn",
		"listen": map[string]any{"callers": d.callers, "ready": d.ready, "peers": d.peers},
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, content, 0o600))
	cmd := exec.Command(program, "serve", "-settings", file)
	cmd.Stdout, cmd.Stderr = t.Output(), t.Output()
	require.NoError(t, cmd.Start())
	d.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = syscall.Kill(d.pid, syscall.SIGKILL)
		<-d.ended
	})
	go d.countFiles()
	require.Eventually(t, func() bool { return d.submit(newJob(), 0) == http.StatusOK }, patience, 100*time.Millisecond, "the daemon is not ready")
	return d
}

// countFiles keeps track of the open descriptors until the process has ended.
func (d *daemon) countFiles() {
	for {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.pid)) // none after the end
		d.mostFiles.Store(max(d.mostFiles.Load(), int64(len(files))))
		select {
		case <-d.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// freeAddr returns a loopback address that is free.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newJob returns the body of an ordinary job.
func newJob() []byte {
	return []byte(`{"Spec":"s","JobSteps":[{"Count":1,"Cpu":100,"MemMb":16,"EstimateMs":100}]}`)
}

// fullSizeJob returns a job's body of exactly the size limit.
func fullSizeJob() []byte {
	job := newJob()
	return append(job, bytes.Repeat([]byte(" "), maxBody-len(job))...)
}

// submit sends a job with a new ID on a connection of its own and returns the status, 0 without an answer. The body is sent in
// ten parts, with a pause after each.
func (d *daemon) submit(job []byte, pause time.Duration) int {
	body, w := io.Pipe()
	go func() {
		for part := range parts(job, 10) {
			if _, err := w.Write(part); err != nil {
				return
			}
			time.Sleep(pause)
		}
		_ = w.Close()
	}()
	defer body.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+newPath(), body)
	require.NoError(d.t, err)
	req.Host, req.ContentLength, req.Close = host, int64(len(job)), true
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Gypsumlead-Deadline-Ms", "10000")
	client := http.Client{Timeout: 15 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// parts yields n parts of b.
func parts(b []byte, n int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for i := range n {
			if !yield(b[i*len(b)/n : (i+1)*len(b)/n]) {
				return
			}
		}
	}
}

// newPath returns the path of a job with a new ID.
func newPath() string { return fmt.Sprintf("/jobs/%016x", rand.Uint64()) }

// requireWithinLimits checks that the process lives and has stayed within its limits, and that it answers an ordinary request.
func (d *daemon) requireWithinLimits() {
	d.t.Helper()
	d.settle()
	answered := assert.Eventually(d.t, func() bool { return d.submit(newJob(), 0) == http.StatusOK }, patience, 100*time.Millisecond, "an ordinary request is answered")
	peak, files := d.peakMB(), d.mostFiles.Load()
	d.t.Logf("peak %d MB of %d, descriptors %d of %d, answered: %t", peak, memoryMB, files, descriptors, answered)
	assert.Less(d.t, peak, memoryMB, "peak memory in MB")
	assert.Less(d.t, files, int64(descriptors), "open descriptors")
}

// settle waits until the process needs no more memory, as it reads on after the crowd has sent all.
func (d *daemon) settle() {
	for before := -1; before != d.peakMB(); time.Sleep(time.Second) {
		before = d.peakMB()
	}
}

// peakMB returns the process's highest resident memory.
func (d *daemon) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid))
	require.NoError(d.t, err, "the process has ended")
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	require.True(d.t, ok)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(d.t, err)
	return kb >> 10
}
